"""Scene `faults`: random faults on real processes under load.

The outcome of each request is verified against the ledgers of the backend
servers, not against what the nodes report.
"""

import random
import signal
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from flamingolug import manifest
from flamingolug_bench import deployment
from flamingolug_bench import flood
from flamingolug_bench import load
from flamingolug_bench import runner
from flamingolug_standins import backend

DEFAULT_DURATION_S = 20.0
_BASE_PORT = 20_000
#: Request rate of each of the two callers, relative to the steady rate.
_LOAD_FACTOR = 0.7
#: No fault begins in the last seconds of the load, so that the fleet can
#: recover. A fault that began before may nevertheless outlast the load.
_FAULT_FREE_TAIL_S = 4.0
_WARM_UP_S = 1.0


class OutcomeCounts(NamedTuple):
    """Number of requests of one run by verified outcome."""

    requests: int
    #: Non-idempotent calls that were executed more than once.
    doubled: int
    #: Successful requests that got the response to another request.
    wrong: int
    #: Requests reported as `not-run` that were executed.
    false_not_run: int
    #: Successful requests with an idempotency key that no backend server
    #: completed.
    lost: int
    #: Requests with an idempotency key whose outcome is unknown to the caller.
    unknown: int
    #: Requests with an idempotency key.
    keyed: int


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene and returns its figures."""
    run_length_s = duration_s or DEFAULT_DURATION_S
    reference = flood.KYPARISSI
    deployed_manifest = flood.load_manifest(reference)
    plan = deployment.DeploymentPlan(
        deployed_manifest,
        reference.services,
        base_port=_BASE_PORT,
        with_relays=True,
    )
    with deployment.Deployment(plan) as running:
        load_run = runner.LoadRun(
            running,
            _make_streams(reference, deployed_manifest, run_length_s),
            seed,
            processes=2,
        )
        fault_count = _inject_faults(running, load_run, seed, run_length_s)
        records = load_run.finish()
        # Waits for executions that outlast the requests of the callers.
        time.sleep(1.0)
        ledger = running.ledger()
        counts = verify_outcomes(deployed_manifest, records, ledger)
        _print_repeated_executions(deployed_manifest, ledger)
        resets = running.metrics().get("flamingolug.peer.links.reset", {})
    print(f"link resets: {sum(resets.values())}")
    return {
        "requests": counts.requests,
        "faults": fault_count,
        "doubled": counts.doubled,
        "wrong": counts.wrong,
        "false_not_run": counts.false_not_run,
        "lost": counts.lost,
        "unknown_share": counts.unknown / max(counts.keyed, 1),
        "answered_share": sum(each.status == 200 for each in records)
        / max(len(records), 1),
    }


def verify_outcomes(
    deployed_manifest: manifest.Manifest,
    records: Sequence[load.Record],
    ledger: Sequence[backend.LedgerEntry],
) -> OutcomeCounts:
    """Compares the outcomes that callers saw with the ledgers.

    A backend server disowns an execution when a call that it made itself was
    refused before anything took effect. Such a request may be executed again.
    An execution of a kind that makes calls counts for `false_not_run` only if
    it completed.
    """
    executions: dict[tuple[str, str], int] = {}
    executed_keys: set[str] = set()
    completed_keys: set[str] = set()
    for entry in ledger:
        kind = deployed_manifest.kinds[entry.kind]
        if kind.non_idempotent and not entry.disowned:
            run_key = (entry.request, entry.kind)
            executions[run_key] = executions.get(run_key, 0) + 1
        if entry.completed:
            completed_keys.add(entry.key)
        if entry.completed or not kind.calls:
            executed_keys.add(entry.key)
    keyed = [each for each in records if each.key]
    answered = [
        each
        for each in records
        if each.outcome == "answered" and each.status == 200
    ]
    return OutcomeCounts(
        requests=len(records),
        doubled=sum(1 for count in executions.values() if count > 1),
        wrong=sum(1 for each in answered if not each.is_own_response),
        false_not_run=sum(
            1
            for each in keyed
            if each.outcome == "not-run" and each.key in executed_keys
        ),
        lost=sum(
            1
            for each in answered
            if each.key and each.key not in completed_keys
        ),
        unknown=sum(
            1 for each in keyed if each.outcome in ("unknown", "error")
        ),
        keyed=len(keyed),
    )


def _print_repeated_executions(
    deployed_manifest: manifest.Manifest, ledger: Sequence[backend.LedgerEntry]
) -> None:
    """Prints the ledger entries of non-idempotent calls that ran repeatedly.

    Unlike `OutcomeCounts.doubled`, this includes disowned executions.
    """
    executions: dict[tuple[str, str], list[backend.LedgerEntry]] = {}
    for entry in ledger:
        if deployed_manifest.kinds[entry.kind].non_idempotent:
            executions.setdefault((entry.request, entry.kind), []).append(entry)
    for entries in executions.values():
        if len(entries) > 1:
            print(f"  doubled: {entries}")


def _make_streams(
    reference: flood.ReferenceDeployment,
    deployed_manifest: manifest.Manifest,
    run_length_s: float,
) -> list[load.Stream]:
    """Returns the streams of two callers, each with up to four retries."""
    rate_factor = _LOAD_FACTOR / flood.TIME_SCALE
    streams: list[load.Stream] = []
    for name, rate in reference.steady_rates.items():
        phases = [load.Phase(0.0, run_length_s, rate * rate_factor)]
        for caller in ("one", "two"):
            streams.append(
                flood.make_stream(
                    deployed_manifest.kinds[name], caller, phases, 4
                )
            )
    return streams


def _inject_faults(
    running: deployment.Deployment,
    load_run: runner.LoadRun,
    seed: int,
    run_length_s: float,
) -> int:
    """Injects random faults while the load runs; returns their number."""
    rng = random.Random(seed)
    schedule: list[tuple[float, int, Callable[[], None]]] = []
    at_s = _WARM_UP_S
    fault_count = 0
    while at_s < run_length_s - _FAULT_FREE_TAIL_S:
        name, begin, end = _draw_fault(running, rng)
        length_s = rng.uniform(0.5, 5.0)
        schedule.append((at_s, len(schedule), begin))
        schedule.append((at_s + length_s, len(schedule), end))
        print(f"  {at_s:5.1f} s for {length_s:3.1f} s: {name}")
        fault_count += 1
        at_s += rng.uniform(0.5, 2.5)
    for due_s, _, action in sorted(schedule):
        load_run.sleep_until(due_s)
        action()
    return fault_count


def _draw_fault(
    running: deployment.Deployment, rng: random.Random
) -> tuple[str, Callable[[], None], Callable[[], None]]:
    """Returns a random fault: its name and functions to begin and end it."""
    node = rng.choice(running.nodes)
    choice = rng.choice(
        (
            "pause",
            "kill",
            "silence",
            "delay",
            "store-down",
            "store-slow",
            "store-lose",
        )
    )
    store_faults: dict[str, dict[str, Any]] = {
        "store-down": {"down": True},
        "store-slow": {"delay_s": 1.0},
        "store-lose": {"lose_write_answers": True},
    }
    if choice in store_faults:
        return (
            choice,
            lambda: running.set_store_fault(store_faults[choice]),
            lambda: running.set_store_fault({}),
        )
    name = f"{choice} {node.name}"
    if choice == "pause":
        return (
            name,
            lambda: _signal_if_running(running, node, signal.SIGSTOP),
            lambda: _signal_if_running(running, node, signal.SIGCONT),
        )
    if choice == "kill":
        return (
            name,
            lambda: _signal_if_running(running, node, signal.SIGKILL),
            lambda: _restart_if_killed(running, node),
        )
    relay_faults: dict[str, dict[str, Any]] = {
        "silence": {"silence_open": True},
        "delay": {"delay_s": 0.02, "stall_chance": 0.02},
    }
    return (
        name,
        lambda: running.set_relay_fault(node, relay_faults[choice]),
        lambda: running.set_relay_fault(node, {}),
    )


def _signal_if_running(
    running: deployment.Deployment,
    node: deployment.NodePlan,
    signal_number: int,
) -> None:
    if running.processes[node.name].poll() is None:
        running.signal(node.name, signal_number)


def _restart_if_killed(
    running: deployment.Deployment, node: deployment.NodePlan
) -> None:
    """Restarts a node if its process has ended.

    The process is resumed first, in case it was paused. If it still runs one
    second later, it is left running.
    """
    process = running.processes[node.name]
    process.send_signal(signal.SIGCONT)
    try:
        process.wait(1.0)
    except Exception:
        return
    running.start_node(node)
