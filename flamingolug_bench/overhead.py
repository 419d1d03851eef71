"""Scene `overhead`: latency and CPU time that two nodes add to a call.

Calls alternate between three paths: `direct` to the backend server, `nodes`
through the node of the caller and the one beside the backend server, and
`chain`, in which a backend server makes a nested call through its node. During
the turn of `nodes`, each node receives 290 calls per second and sends 290.
"""

from typing import NamedTuple

import msgspec

from flamingolug import manifest
from flamingolug_bench import deployment
from flamingolug_bench import load
from flamingolug_bench import measure
from flamingolug_bench import runner

#: Calls per second on each call path during its turn.
CALLS_PER_S = 290.0
#: Duration of the load on each call path.
DEFAULT_DURATION_S = 8.0
#: Length of the turn of one call path.
TURN_S = 0.5
#: Calls in the first seconds of a run are not counted.
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


class _CallPath(NamedTuple):
    """One path of calls and the kind that is called on it."""

    name: str
    kind: str
    #: Whether calls go to the backend server without passing a node.
    direct: bool


_CALL_PATHS = (
    _CallPath("direct", "shallow", True),
    _CallPath("nodes", "shallow", False),
    _CallPath("chain", "chain", False),
)


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene and returns its figures."""
    run_length_s = duration_s or DEFAULT_DURATION_S
    deployed_manifest = manifest.parse(_MANIFEST, "overhead")
    plan = deployment.DeploymentPlan(
        deployed_manifest,
        (
            deployment.ServicePlan("front", ("a",), 200, 400),
            deployment.ServicePlan("deep", ("a",), 200, 400),
        ),
        backend_changes={
            name: {"jitter": 0.0} for name in ("front-0", "deep-0")
        },
    )
    with deployment.Deployment(plan) as running:
        latencies_ms = _measure_latency(
            running, deployed_manifest, run_length_s, seed
        )
        cpu_us = _measure_cpu(
            running, deployed_manifest, run_length_s / 2.0, seed
        )
        rss_kb = max(status["rss_kb"] for status in _statuses(running))
    figures: dict[str, object] = {}
    for name, values in latencies_ms.items():
        for fraction in (0.5, 0.99):
            key = f"{name}_p{int(fraction * 100)}_ms"
            figures[key] = measure.percentile(values, fraction)
    for percent in (50, 99):
        added = _difference(
            figures, f"nodes_p{percent}_ms", f"direct_p{percent}_ms"
        )
        figures[f"added_p{percent}_ms"] = added
    figures["cpu_us"] = cpu_us
    figures["rss_mb"] = rss_kb / 1024.0
    figures["samples"] = min(len(values) for values in latencies_ms.values())
    return figures


def _difference(figures: dict[str, object], left: str, right: str) -> float:
    return float(str(figures[left])) - float(str(figures[right]))


def _measure_latency(
    running: deployment.Deployment,
    deployed_manifest: manifest.Manifest,
    run_length_s: float,
    seed: int,
) -> dict[str, list[float]]:
    """Returns the latencies in milliseconds by call path.

    The paths alternate every half second, so that other work on the machine
    affects all of them alike. The calls of the first turns warm up the
    connections and are not counted.
    """
    front_node, callee_node = running.nodes
    turns_per_path = int(run_length_s / TURN_S)
    load_runs: list[runner.LoadRun] = []
    for index, call_path in enumerate(_CALL_PATHS):
        phases = [
            load.Phase(turn * TURN_S, (turn + 1) * TURN_S, CALLS_PER_S)
            for turn in range(
                index, turns_per_path * len(_CALL_PATHS), len(_CALL_PATHS)
            )
        ]
        address = callee_node.backend if call_path.direct else front_node.http
        stream = _make_stream(deployed_manifest.kinds[call_path.kind], phases)
        load_runs.append(
            runner.LoadRun(running, [stream], seed, addresses=[address])
        )
    latencies_ms: dict[str, list[float]] = {}
    for call_path, load_run in zip(_CALL_PATHS, load_runs, strict=True):
        latencies_ms[call_path.name] = [
            record.took_s * 1000.0
            for record in load_run.finish()
            if record.status == 200 and record.scheduled_s > WARM_UP_S
        ]
    return latencies_ms


def _measure_cpu(
    running: deployment.Deployment,
    deployed_manifest: manifest.Manifest,
    run_length_s: float,
    seed: int,
) -> float:
    """Returns the CPU microseconds per call, summed over both nodes."""
    front_node = running.nodes[0]
    stream = _make_stream(
        deployed_manifest.kinds["shallow"],
        [load.Phase(0.0, run_length_s, CALLS_PER_S)],
    )
    before = sum(status["cpu_s"] for status in _statuses(running))
    records = runner.LoadRun(
        running, [stream], seed, addresses=[front_node.http]
    ).finish()
    after = sum(status["cpu_s"] for status in _statuses(running))
    return (after - before) / max(len(records), 1) * 1e6


def _make_stream(kind: manifest.Kind, phases: list[load.Phase]) -> load.Stream:
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
