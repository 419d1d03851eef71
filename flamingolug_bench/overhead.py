"""Scene `overhead`: what two nodes add to a call, and processor time a call.

In one run, calls go straight to the backend server and through two nodes in
turns: the caller's node and the one beside the backend server. The load is
290 calls a second into each node and 290 out of it.
"""

from typing import NamedTuple

import msgspec

from flamingolug import manifest
from flamingolug_bench import deployment
from flamingolug_bench import load
from flamingolug_bench import measure
from flamingolug_bench import runner

RATE = 290.0
DEFAULT_SECONDS = 8.0
SLICE_S = 0.5
WARM_UP_S = 1.5
_MANIFEST = """\
schema_version: 1
deployment: overhead
services: [front, deep]
kinds:
  shallow: {service: deep, rank: 0, worth: 1, deadline_ms: 2000,
            attempts: 3, service_time_ms: 3, route: {method: GET, path: /}}
  chain: {service: front, rank: 0, worth: 1, deadline_ms: 2000, attempts: 6,
          service_time_ms: 3, calls: [shallow],
          route: {method: GET, path: /chain}}
"""


class _Route(NamedTuple):
    """One way to the backend server."""

    name: str
    kind: str
    #: Straight to the backend server, without nodes.
    direct: bool


_ROUTES = (
    _Route("direct", "shallow", True),
    _Route("nodes", "shallow", False),
    _Route("chain", "chain", False),
)


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene and returns its figures."""
    seconds = duration_s or DEFAULT_SECONDS
    found = manifest.parse(_MANIFEST, "overhead")
    plan = deployment.DeploymentPlan(
        found,
        (
            deployment.ServicePlan("front", ("a",), 200, 400),
            deployment.ServicePlan("deep", ("a",), 200, 400),
        ),
        backend_changes={
            name: {"jitter": 0.0} for name in ("front-0", "deep-0")
        },
    )
    with deployment.Deployment(plan) as running:
        took = _measure_latency(running, found, seconds, seed)
        cpu_us = _measure_cpu(running, found, seconds / 2.0, seed)
        rss = max(status["rss_kb"] for status in _statuses(running))
    figures: dict[str, object] = {}
    for name, values in took.items():
        for part in (0.5, 0.99):
            key = f"{name}_p{int(part * 100)}_ms"
            figures[key] = measure.percentile(values, part)
    for part in (50, 99):
        added = _difference(figures, f"nodes_p{part}_ms", f"direct_p{part}_ms")
        figures[f"added_p{part}_ms"] = added
    figures["cpu_us"] = cpu_us
    figures["rss_mb"] = rss / 1024.0
    figures["samples"] = min(len(values) for values in took.values())
    return figures


def _difference(figures: dict[str, object], left: str, right: str) -> float:
    return float(str(figures[left])) - float(str(figures[right]))


def _measure_latency(
    running: deployment.Deployment,
    found: manifest.Manifest,
    seconds: float,
    seed: int,
) -> dict[str, list[float]]:
    """Returns milliseconds taken by each route, in interleaved slices.

    The routes take turns every half second, so that whatever else the machine
    does falls on all of them alike. The first slices warm the links up.
    """
    front, deep = running.nodes
    slices = int(seconds / SLICE_S)
    runs: list[runner.LoadRun] = []
    for index, route in enumerate(_ROUTES):
        phases = [
            load.Phase(begin * SLICE_S, (begin + 1) * SLICE_S, RATE)
            for begin in range(index, slices * len(_ROUTES), len(_ROUTES))
        ]
        target = deep.backend if route.direct else front.http
        stream = _stream(found.kinds[route.kind], phases)
        runs.append(runner.LoadRun(running, [stream], seed, nodes=[target]))
    took: dict[str, list[float]] = {}
    for route, each in zip(_ROUTES, runs, strict=True):
        took[route.name] = [
            record.took_s * 1000.0
            for record in each.finish()
            if record.status == 200 and record.arrived_s > WARM_UP_S
        ]
    return took


def _measure_cpu(
    running: deployment.Deployment,
    found: manifest.Manifest,
    seconds: float,
    seed: int,
) -> float:
    """Returns processor microseconds of both nodes for one call."""
    front = running.nodes[0]
    stream = _stream(found.kinds["shallow"], [load.Phase(0.0, seconds, RATE)])
    before = sum(status["cpu_s"] for status in _statuses(running))
    records = runner.LoadRun(
        running, [stream], seed, nodes=[front.http]
    ).finish()
    after = sum(status["cpu_s"] for status in _statuses(running))
    return (after - before) / max(len(records), 1) * 1e6


def _stream(kind: manifest.Kind, phases: list[load.Phase]) -> load.Stream:
    return load.Stream(
        kind=kind.name,
        service=kind.service,
        method="GET",
        path="/",
        caller="bench",
        deadline_ms=kind.deadline_ms,
        phases=phases,
    )


def _statuses(running: deployment.Deployment) -> list[dict[str, float]]:
    return [
        msgspec.json.decode(deployment.request(each.http, "/-/status"))
        for each in running.nodes
    ]
