"""Scenes about the fleet itself: cost of control, joining, spreading.

Real node processes, idle of traffic, ten beside each service, in four zones.
The bench announces the backend servers; none is started.
"""

import statistics
import time
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import operations
from flamingolug import store
from flamingolug_bench import deployment
from flamingolug_bench import measure

FLEET = 730
PER_SERVICE = 10
_ZONES = ("a1", "a2", "b1", "b2")
_SETTLE_S = 8.0
_MEASURE_S = 12.0
_SPREAD_TIMEOUT_S = 20.0
_SIZES = (10, 20, 40, 80)
#: Bytes of a manifest that is close to the largest allowed.
_LARGE_KINDS = 1_900
_LARGE_PATH = "x" * 250


class Cost(NamedTuple):
    """Cost of one node of an idle fleet."""

    nodes: int
    cpu_pct: float
    rss_mb: float
    kb_s: float
    messages_s: float
    store_calls_s: float


def start(count: int) -> deployment.Deployment:
    """Returns a deployment of idle nodes, not started yet."""
    services: list[deployment.ServicePlan] = []
    for begin in range(0, count, PER_SERVICE):
        size = min(PER_SERVICE, count - begin)
        zones = tuple(_ZONES[index % len(_ZONES)] for index in range(size))
        services.append(
            deployment.ServicePlan(f"s{begin // PER_SERVICE}", zones, 10, 100)
        )
    return deployment.Deployment(
        deployment.DeploymentPlan(
            make_manifest("idle", [each.name for each in services], 1),
            tuple(services),
            with_backends=False,
        )
    )


def make_manifest(
    name: str, services: Sequence[str], kinds: int, path: str = "/x"
) -> manifest.Manifest:
    """Returns a manifest with so many kinds."""
    return manifest.Manifest(
        name,
        tuple(services),
        {
            f"k{index}": manifest.Kind(
                name=f"k{index}",
                service=services[0],
                route=manifest.Route("GET", f"/{index}{path}"),
                rank=0,
                worth=1.0,
                non_idempotent=False,
                deadline_ms=1000,
                attempts=2,
                service_time_ms=10.0,
                calls=(),
            )
            for index in range(kinds)
        },
    )


def run_cost(seed: int, duration_s: float) -> dict[str, object]:
    """Scene `control-cost`: slopes of the cost of control."""
    del seed
    largest = int(duration_s) or _SIZES[-1]
    costs: list[Cost] = []
    for count in _SIZES:
        if count > largest:
            break
        with start(count) as running:
            time.sleep(_SETTLE_S)
            costs.append(_measure_cost(running))
            print(
                "  "
                + " ".join(
                    f"{key}={value:.3f}"
                    for key, value in costs[-1]._asdict().items()
                ),
                flush=True,
            )
    return {
        "nodes": costs[-1].nodes,
        "cpu_pct_at_730": _extrapolate(costs, "cpu_pct"),
        "rss_mb_at_730": _extrapolate(costs, "rss_mb"),
        "kb_s_at_730": _extrapolate(costs, "kb_s"),
        "messages_s_at_730": _extrapolate(costs, "messages_s"),
        "store_calls_s_at_730": _extrapolate(costs, "store_calls_s"),
    }


def _measure_cost(running: deployment.Deployment) -> Cost:
    before = [running.status(node) for node in running.nodes]
    store_before = sum(running.store_counts().values())
    began = time.monotonic()
    time.sleep(_MEASURE_S)
    after = [running.status(node) for node in running.nodes]
    store_after = sum(running.store_counts().values())
    took = time.monotonic() - began

    def rate(key: str) -> float:
        return statistics.fmean(
            (late[key] - early[key]) / took
            for early, late in zip(before, after, strict=True)
        )

    return Cost(
        nodes=len(running.nodes),
        cpu_pct=rate("cpu_s") * 100.0,
        rss_mb=max(each["rss_kb"] for each in after) / 1024.0,
        kb_s=(rate("bytes_sent") + rate("bytes_received")) / 1000.0,
        messages_s=rate("messages_sent"),
        store_calls_s=(store_after - store_before) / took,
    )


def _extrapolate(costs: Sequence[Cost], key: str) -> float:
    """Returns the straight line's value at the full size."""
    if len(costs) < 2:
        return float("nan")
    fit = statistics.linear_regression(
        [each.nodes for each in costs],
        [getattr(each, key) for each in costs],
    )
    return fit.slope * FLEET + fit.intercept


def run_spread(seed: int, duration_s: float) -> dict[str, object]:
    """Scene `config-spread`: small, large, and with the store down."""
    del seed
    count = int(duration_s) or 40
    with start(count) as running:
        time.sleep(_SETTLE_S / 2.0)
        services = [each.name for each in running.plan.services]
        small = _spread(running, make_manifest("small", services, 2), False)
        large = _spread(
            running,
            make_manifest("large", services, _LARGE_KINDS, _LARGE_PATH),
            False,
        )
        down = _spread(running, make_manifest("down", services, 3), True)
        reverts = _reverts(running, 4)
    for name, times in (("small", small), ("large", large), ("down", down)):
        print(
            f"  {name:6} p50={measure.percentile(times, 0.5):.2f} s "
            f"p99={measure.percentile(times, 0.99):.2f} s "
            f"max={max(times):.2f} s reached={len(times)} of {count}"
        )
    return {
        "nodes": count,
        "spread_p99_s": measure.percentile(small, 0.99),
        "spread_large_p99_s": measure.percentile(large, 0.99),
        "spread_store_down_p99_s": measure.percentile(down, 0.99),
        "reached": min(len(small), len(large), len(down)),
        "reverts": reverts,
    }


def _spread(
    running: deployment.Deployment,
    wanted: manifest.Manifest,
    store_down: bool,
) -> list[float]:
    """Applies a manifest; returns seconds until in force at each node."""
    source = store.HttpStore(running.store_url)
    result = operations.apply_manifest(
        source,
        wanted,
        operations.Author("bench", time.time()),
        None,
        time.sleep,
    )
    accepted_at = time.time()
    if store_down:
        running.set_store({"down": True})
    assert result.accepted is not None
    running.fleet().announce(result.stored)
    done, _ = running.fleet().wait_in_force(
        result.accepted.revision, _SPREAD_TIMEOUT_S
    )
    running.set_store({})
    if not done:
        print("  not in force everywhere")
    return [
        max(status["in_force_at"] - accepted_at, 0.0)
        for status in map(running.status, running.nodes)
        if status["revision"] >= result.accepted.revision
    ]


def _reverts(running: deployment.Deployment, expected: int) -> int:
    """Offers nodes of each zone an old revision; returns how many took it."""
    found = make_manifest("old", ["s0"], 1)
    body = manifest.canonical_bytes(found)
    stored = configuration.encode(
        configuration.Accepted(1, manifest.digest_of(body), (), body)
    )
    running.fleet().announce(stored)
    time.sleep(1.0)
    return sum(
        running.status(node)["revision"] != expected for node in running.nodes
    )


def run_join(seed: int, duration_s: float) -> dict[str, object]:
    """Scene `join`: a node joins, with the store up and with it down."""
    del seed
    count = int(duration_s) or 20
    with start(count) as running:
        time.sleep(_SETTLE_S / 2.0)
        victim = running.nodes[-1]
        up_s = _replace(running, victim, {})
        down_s = _replace(running, victim, {"down": True})
    return {
        "nodes": count,
        "join_s": up_s,
        "join_store_down_s": down_s,
    }


def _replace(
    running: deployment.Deployment,
    node: deployment.NodePlan,
    fault: Mapping[str, Any],
) -> float:
    """Kills a node, starts it again; returns seconds until in force."""
    running.processes[node.name].kill()
    running.processes[node.name].wait()
    running.set_store(fault)
    began = time.monotonic()
    running.start_node(node, seeds=[running.nodes[0].peer])
    try:
        while time.monotonic() - began < _SPREAD_TIMEOUT_S:
            try:
                if running.status(node)["revision"] > 0:
                    return time.monotonic() - began
            except errors.FlamingolugError:
                pass
            time.sleep(0.05)
        return float("inf")
    finally:
        running.set_store({})
