"""Scene `rolling`: rolling restart of the nodes of one service under load.

Each node in turn is stopped with SIGTERM and started again. No request may
be interrupted.
"""

import signal
import time

from flamingolug import errors
from flamingolug_bench import deployment
from flamingolug_bench import faults
from flamingolug_bench import flood
from flamingolug_bench import load
from flamingolug_bench import runner

_SERVICE = "shopfront"
#: Request rate relative to the steady rate of the reference deployment.
_LOAD_FACTOR = 0.8
_STOP_TIMEOUT_S = 20.0
_READY_TIMEOUT_S = 20.0


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene and returns its figures."""
    run_length_s = duration_s or 30.0
    reference = flood.KYPARISSI
    deployed_manifest = flood.load_manifest(reference)
    plan = deployment.DeploymentPlan(
        deployed_manifest, reference.services, log_level="info"
    )
    with deployment.Deployment(plan) as running:
        nodes = [each for each in running.nodes if each.service == _SERVICE]
        entry_addresses = [
            each.http for each in running.nodes if each.service != _SERVICE
        ]
        rate_factor = _LOAD_FACTOR / flood.TIME_SCALE
        # The callers do not retry requests.
        streams = [
            flood.make_stream(
                deployed_manifest.kinds[name],
                "rolling",
                [load.Phase(0.0, run_length_s, rate * rate_factor)],
                0,
            )
            for name, rate in reference.steady_rates.items()
        ]
        load_run = runner.LoadRun(
            running, streams, seed, addresses=entry_addresses
        )
        load_run.sleep_until(1.0)
        exit_codes, stop_times_s = _restart_each(running, nodes)
        records = load_run.finish()
        # Waits for executions that outlast the requests of the callers.
        time.sleep(0.5)
        counts = faults.verify_outcomes(
            deployed_manifest, records, running.ledger()
        )
    failed = [each for each in records if each.status != 200]
    reasons: dict[str, int] = {}
    for each in failed:
        label = f"{each.kind} {each.outcome} {each.reason} {each.status}"
        print(
            f"    at {each.scheduled_s:.2f} s took {each.took_s:.2f} s: {label}"
        )
        reasons[label] = reasons.get(label, 0) + 1
    for label, count in sorted(reasons.items()):
        print(f"  failed: {label}: {count}")
    return {
        "requests": len(records),
        "failed": len(failed),
        "stops": len(exit_codes),
        "exit_codes_not_0": sum(1 for code in exit_codes if code != 0),
        "longest_stop_s": max(stop_times_s, default=0.0),
        "doubled": counts.doubled,
        "lost": counts.lost,
    }


def _restart_each(
    running: deployment.Deployment, nodes: list[deployment.NodePlan]
) -> tuple[list[int], list[float]]:
    """Stops and restarts each node in turn.

    Returns:
        Exit codes, and the seconds that each stop took.
    """
    exit_codes: list[int] = []
    stop_times_s: list[float] = []
    for node in nodes:
        started_at = time.monotonic()
        running.signal(node.name, signal.SIGTERM)
        exit_codes.append(running.processes[node.name].wait(_STOP_TIMEOUT_S))
        stop_times_s.append(time.monotonic() - started_at)
        running.start_node(node)
        _wait_until_owner(running, node)
    return exit_codes, stop_times_s


def _wait_until_owner(
    running: deployment.Deployment, node: deployment.NodePlan
) -> None:
    """Waits until a node is an owner of idempotency keys.

    Returns after `_READY_TIMEOUT_S` even if it is not. A rollout should wait
    like this between two restarts.
    """
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            status = running.status(node)
        except errors.FlamingolugError:
            status = {}
        incarnation_id = f"{node.name}#{status.get('incarnation')}"
        if incarnation_id in status.get("owners", ()):
            return
        time.sleep(0.1)
