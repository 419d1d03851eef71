"""Scene `rolling`: planned stops of nodes under load.

Every node of one service is stopped by SIGTERM and started again in turn.
Nothing may be interrupted.
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
_RATE_SHARE = 0.8
_STOP_TIMEOUT_S = 20.0
_READY_TIMEOUT_S = 20.0


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene and returns its figures."""
    seconds = duration_s or 30.0
    place = flood.KYPARISSI
    found = flood.load_manifest(place)
    plan = deployment.DeploymentPlan(found, place.services, log_level="info")
    with deployment.Deployment(plan) as running:
        nodes = [each for each in running.nodes if each.service == _SERVICE]
        entries = [
            each.http for each in running.nodes if each.service != _SERVICE
        ]
        share = _RATE_SHARE / flood.TIME_SCALE
        streams = [
            flood.make_stream(
                found.kinds[name],
                "rolling",
                [load.Phase(0.0, seconds, rate * share)],
                0,
            )
            for name, rate in place.calm.items()
        ]
        run_ = runner.LoadRun(running, streams, seed, nodes=entries)
        run_.sleep_until(1.0)
        codes, stop_s = _replace_all(running, nodes)
        records = run_.finish()
        time.sleep(0.5)
        verdicts = faults.judge(found, records, running.ledger())
    failed = [each for each in records if each.status != 200]
    reasons: dict[str, int] = {}
    for each in failed:
        label = f"{each.kind} {each.outcome} {each.reason} {each.status}"
        print(
            f"    at {each.arrived_s:.2f} s took {each.took_s:.2f} s: {label}"
        )
        reasons[label] = reasons.get(label, 0) + 1
    for label, count in sorted(reasons.items()):
        print(f"  failed: {label}: {count}")
    return {
        "requests": len(records),
        "failed": len(failed),
        "stops": len(codes),
        "exit_codes_not_0": sum(1 for code in codes if code != 0),
        "longest_stop_s": max(stop_s, default=0.0),
        "doubled": verdicts.doubled,
        "lost": verdicts.lost,
    }


def _replace_all(
    running: deployment.Deployment, nodes: list[deployment.NodePlan]
) -> tuple[list[int], list[float]]:
    """Stops and starts each node in turn; returns exit codes and times."""
    codes: list[int] = []
    took: list[float] = []
    for node in nodes:
        began = time.monotonic()
        running.signal(node.name, signal.SIGTERM)
        codes.append(running.processes[node.name].wait(_STOP_TIMEOUT_S))
        took.append(time.monotonic() - began)
        running.start_node(node)
        _wait_owning(running, node)
    return codes, took


def _wait_owning(
    running: deployment.Deployment, node: deployment.NodePlan
) -> None:
    """Waits until a node owns keys, as a pipeline should between stops."""
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
