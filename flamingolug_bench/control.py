"""Scenes that measure the control plane of a fleet without traffic.

They measure the cost of an idle node, the propagation of a new manifest and
the time that a node takes to join. Node processes are real: up to ten per
service, in four availability zones. The scenes announce backend servers to the
nodes but start none.
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

#: Number of nodes to which `control-cost` extrapolates.
FULL_FLEET_SIZE = 730
NODES_PER_SERVICE = 10
_ZONES = ("a1", "a2", "b1", "b2")
#: Seconds between the start of a fleet and the measurement of its cost. Scenes
#: that measure no cost wait half as long.
_SETTLE_S = 8.0
_MEASURE_S = 12.0
_PROPAGATION_TIMEOUT_S = 20.0
_FLEET_SIZES = (10, 20, 40, 80)
#: A manifest with this many kinds and this path takes about 0.8 MB in canonical
#: form; a value in the store may have at most 1 MiB.
_LARGE_KIND_COUNT = 1_900
_LARGE_PATH = "x" * 250


class Cost(NamedTuple):
    """Control-plane cost of an idle fleet: means per node if not noted."""

    #: Number of nodes in the fleet.
    nodes: int
    #: CPU use, in percent of one core.
    cpu_pct: float
    #: Largest resident memory of any node.
    rss_mb: float
    #: Kilobytes sent and received per second.
    kb_s: float
    #: Messages sent to peers per second.
    messages_s: float
    #: Calls to the store per second by all nodes together.
    store_calls_s: float


def make_deployment(node_count: int) -> deployment.Deployment:
    """Returns a deployment of idle nodes that is not yet started."""
    services: list[deployment.ServicePlan] = []
    for first_index in range(0, node_count, NODES_PER_SERVICE):
        service_node_count = min(NODES_PER_SERVICE, node_count - first_index)
        zones = tuple(
            _ZONES[index % len(_ZONES)] for index in range(service_node_count)
        )
        services.append(
            deployment.ServicePlan(
                f"s{first_index // NODES_PER_SERVICE}", zones, 10, 100
            )
        )
    return deployment.Deployment(
        deployment.DeploymentPlan(
            make_manifest("idle", [each.name for each in services], 1),
            tuple(services),
            with_backends=False,
        )
    )


def make_manifest(
    name: str, services: Sequence[str], kind_count: int, path: str = "/x"
) -> manifest.Manifest:
    """Returns a manifest with `kind_count` kinds, all of the first service."""
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
            for index in range(kind_count)
        },
    )


def run_cost(seed: int, node_count_option: float) -> dict[str, object]:
    """Runs the scene `control-cost`: cost of the control plane by fleet size.

    Args:
        seed: unused.
        node_count_option: largest fleet size to measure, from the option
            `--duration`; 0 for all sizes.
    """
    del seed
    max_size = int(node_count_option) or _FLEET_SIZES[-1]
    costs: list[Cost] = []
    for node_count in _FLEET_SIZES:
        if node_count > max_size:
            break
        with make_deployment(node_count) as running:
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
    store_before = sum(running.store_call_counts().values())
    started_at = time.monotonic()
    time.sleep(_MEASURE_S)
    after = [running.status(node) for node in running.nodes]
    store_after = sum(running.store_call_counts().values())
    elapsed_s = time.monotonic() - started_at

    def rate(key: str) -> float:
        """Returns the rate per second of a counter, averaged over nodes."""
        return statistics.fmean(
            (second[key] - first[key]) / elapsed_s
            for first, second in zip(before, after, strict=True)
        )

    return Cost(
        nodes=len(running.nodes),
        cpu_pct=rate("cpu_s") * 100.0,
        rss_mb=max(each["rss_kb"] for each in after) / 1024.0,
        kb_s=(rate("bytes_sent") + rate("bytes_received")) / 1000.0,
        messages_s=rate("messages_sent"),
        store_calls_s=(store_after - store_before) / elapsed_s,
    )


def _extrapolate(costs: Sequence[Cost], key: str) -> float:
    """Returns the linear fit of a cost at the full fleet size.

    Returns NaN if fewer than two sizes were measured.
    """
    if len(costs) < 2:
        return float("nan")
    fit = statistics.linear_regression(
        [each.nodes for each in costs],
        [getattr(each, key) for each in costs],
    )
    return fit.slope * FULL_FLEET_SIZE + fit.intercept


def run_propagation(seed: int, node_count_option: float) -> dict[str, object]:
    """Runs the scene `config-spread`: propagation time of a new manifest.

    Measures a small manifest, a large one, and one that is accepted just
    before the store fails. Counts nodes that revert to an old revision.

    Args:
        seed: unused.
        node_count_option: number of nodes, from the option `--duration`; 0 for
            the default.
    """
    del seed
    node_count = int(node_count_option) or 40
    with make_deployment(node_count) as running:
        time.sleep(_SETTLE_S / 2.0)
        services = [each.name for each in running.plan.services]
        small_s = _measure_propagation(
            running, make_manifest("small", services, 2), False
        )
        large_s = _measure_propagation(
            running,
            make_manifest("large", services, _LARGE_KIND_COUNT, _LARGE_PATH),
            False,
        )
        store_down_s = _measure_propagation(
            running, make_manifest("down", services, 3), True
        )
        # The first manifest and the three applied here give revision 4.
        reverts = _send_old_manifest_and_count_reverts(running, 4)
    for name, times in (
        ("small", small_s),
        ("large", large_s),
        ("down", store_down_s),
    ):
        print(
            f"  {name:6} p50={measure.percentile(times, 0.5):.2f} s "
            f"p99={measure.percentile(times, 0.99):.2f} s "
            f"max={max(times):.2f} s reached={len(times)} of {node_count}"
        )
    return {
        "nodes": node_count,
        "spread_p99_s": measure.percentile(small_s, 0.99),
        "spread_large_p99_s": measure.percentile(large_s, 0.99),
        "spread_store_down_p99_s": measure.percentile(store_down_s, 0.99),
        "reached": min(len(small_s), len(large_s), len(store_down_s)),
        "reverts": reverts,
    }


def _measure_propagation(
    running: deployment.Deployment,
    new_manifest: manifest.Manifest,
    store_down: bool,
) -> list[float]:
    """Applies a manifest and measures its propagation.

    Returns:
        Seconds from acceptance until the manifest was in force, for each node
        that it reached within the time-out.
    """
    store_client = store.HttpStore(running.store_url)
    result = operations.apply_manifest(
        store_client,
        new_manifest,
        operations.Author("bench", time.time()),
        None,
        time.sleep,
    )
    accepted_at = time.time()
    if store_down:
        running.set_store_fault({"down": True})
    assert result.accepted is not None
    running.fleet().send_manifest(result.stored_form)
    complete, _ = running.fleet().wait_until_active(
        result.accepted.revision, _PROPAGATION_TIMEOUT_S
    )
    running.set_store_fault({})
    if not complete:
        print(
            "  manifest not in force at every node after the time-out; "
            "the figures leave out the nodes without it"
        )
    return [
        max(status["in_force_at"] - accepted_at, 0.0)
        for status in map(running.status, running.nodes)
        if status["revision"] >= result.accepted.revision
    ]


def _send_old_manifest_and_count_reverts(
    running: deployment.Deployment, expected_revision: int
) -> int:
    """Sends a manifest of revision 1 to some nodes of each zone.

    Returns:
        Number of nodes whose revision then differs from `expected_revision`.
    """
    old_manifest = make_manifest("old", ["s0"], 1)
    body = manifest.canonical_bytes(old_manifest)
    stored = configuration.encode(
        configuration.AcceptedManifest(1, manifest.digest_of(body), (), body)
    )
    running.fleet().send_manifest(stored)
    time.sleep(1.0)
    return sum(
        running.status(node)["revision"] != expected_revision
        for node in running.nodes
    )


def run_join(seed: int, node_count_option: float) -> dict[str, object]:
    """Runs the scene `join`: a node joins with the store up, then down.

    Args:
        seed: unused.
        node_count_option: number of nodes, from the option `--duration`; 0 for
            the default.
    """
    del seed
    node_count = int(node_count_option) or 20
    with make_deployment(node_count) as running:
        time.sleep(_SETTLE_S / 2.0)
        restarted_node = running.nodes[-1]
        store_up_s = _measure_join(running, restarted_node, {})
        store_down_s = _measure_join(running, restarted_node, {"down": True})
    return {
        "nodes": node_count,
        "join_s": store_up_s,
        "join_store_down_s": store_down_s,
    }


def _measure_join(
    running: deployment.Deployment,
    node: deployment.NodePlan,
    store_fault: Mapping[str, Any],
) -> float:
    """Kills a node and restarts it with the peer address of one other node.

    Returns:
        Seconds until it has a manifest in force, infinity after a time-out.
    """
    running.processes[node.name].kill()
    running.processes[node.name].wait()
    running.set_store_fault(store_fault)
    started_at = time.monotonic()
    running.start_node(node, seeds=[running.nodes[0].peer])
    try:
        while time.monotonic() - started_at < _PROPAGATION_TIMEOUT_S:
            try:
                if running.status(node)["revision"] > 0:
                    return time.monotonic() - started_at
            except errors.FlamingolugError:
                pass
            time.sleep(0.05)
        return float("inf")
    finally:
        running.set_store_fault({})
