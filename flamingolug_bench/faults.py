"""Scene `faults`: seeded faults on real processes under live traffic.

What became of each request is judged by the ledgers of the backend servers,
not by what the nodes say of themselves.
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

DEFAULT_SECONDS = 20.0
_PORT = 20_000
_RATE_SHARE = 0.7
#: Seconds without new faults at the end, so that the fleet settles.
_QUIET_S = 4.0
_WARM_S = 1.0


class Verdicts(NamedTuple):
    """Counts over one run."""

    requests: int
    doubled: int
    wrong: int
    false_not_run: int
    lost: int
    unknown: int
    keyed: int


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene and returns its figures."""
    seconds = duration_s or DEFAULT_SECONDS
    place = flood.KYPARISSI
    found = flood.load_manifest(place)
    plan = deployment.DeploymentPlan(
        found, place.services, base_port=_PORT, with_relays=True
    )
    with deployment.Deployment(plan) as running:
        run_ = runner.LoadRun(
            running, _streams(place, found, seconds), seed, processes=2
        )
        count = _inject(running, run_, seed, seconds)
        records = run_.finish()
        time.sleep(1.0)
        ledger = running.ledger()
        verdicts = judge(found, records, ledger)
        _print_doubled(found, ledger)
        resets = running.metrics().get("flamingolug.peer.links.reset", {})
    print(f"link resets: {sum(resets.values())}")
    return {
        "requests": verdicts.requests,
        "faults": count,
        "doubled": verdicts.doubled,
        "wrong": verdicts.wrong,
        "false_not_run": verdicts.false_not_run,
        "lost": verdicts.lost,
        "unknown_share": verdicts.unknown / max(verdicts.keyed, 1),
        "answered_share": sum(each.status == 200 for each in records)
        / max(len(records), 1),
    }


def judge(
    found: manifest.Manifest,
    records: Sequence[load.Record],
    ledger: Sequence[backend.LedgerEntry],
) -> Verdicts:
    """Compares what callers were told with what really ran.

    A run that the backend server itself disowned, because a call of its own
    was refused before anything took effect, may be followed by another.
    """
    runs: dict[tuple[str, str], int] = {}
    ran: set[str] = set()
    completed: set[str] = set()
    for entry in ledger:
        kind = found.kinds[entry.kind]
        if kind.non_idempotent and not entry.disowned:
            pair = (entry.request, entry.kind)
            runs[pair] = runs.get(pair, 0) + 1
        if entry.completed:
            completed.add(entry.key)
        if entry.completed or not kind.calls:
            ran.add(entry.key)
    keyed = [each for each in records if each.key]
    answered = [
        each
        for each in records
        if each.outcome == "answered" and each.status == 200
    ]
    return Verdicts(
        requests=len(records),
        doubled=sum(1 for count in runs.values() if count > 1),
        wrong=sum(1 for each in answered if not each.own),
        false_not_run=sum(
            1 for each in keyed if each.outcome == "not-run" and each.key in ran
        ),
        lost=sum(
            1 for each in answered if each.key and each.key not in completed
        ),
        unknown=sum(
            1 for each in keyed if each.outcome in ("unknown", "error")
        ),
        keyed=len(keyed),
    )


def _print_doubled(
    found: manifest.Manifest, ledger: Sequence[backend.LedgerEntry]
) -> None:
    """Prints each run of what ran more than once, for tracing the cause."""
    runs: dict[tuple[str, str], list[backend.LedgerEntry]] = {}
    for entry in ledger:
        if found.kinds[entry.kind].non_idempotent:
            runs.setdefault((entry.request, entry.kind), []).append(entry)
    for entries in runs.values():
        if len(entries) > 1:
            print(f"  doubled: {entries}")


def _streams(
    place: flood.Place, found: manifest.Manifest, seconds: float
) -> list[load.Stream]:
    share = _RATE_SHARE / flood.TIME_SCALE
    streams: list[load.Stream] = []
    for name, rate in place.calm.items():
        phases = [load.Phase(0.0, seconds, rate * share)]
        for caller in ("one", "two"):
            streams.append(
                flood.make_stream(found.kinds[name], caller, phases, 4)
            )
    return streams


def _inject(
    running: deployment.Deployment,
    run_: runner.LoadRun,
    seed: int,
    seconds: float,
) -> int:
    """Injects seeded faults while the load runs; returns their number."""
    rng = random.Random(seed)
    pending: list[tuple[float, int, Callable[[], None]]] = []
    at = _WARM_S
    count = 0
    while at < seconds - _QUIET_S:
        name, begin, end = _draw(running, rng)
        length = rng.uniform(0.5, 5.0)
        pending.append((at, len(pending), begin))
        pending.append((at + length, len(pending), end))
        print(f"  {at:5.1f} s for {length:3.1f} s: {name}")
        count += 1
        at += rng.uniform(0.5, 2.5)
    for due, _, act in sorted(pending):
        run_.sleep_until(due)
        act()
    return count


def _draw(
    running: deployment.Deployment, rng: random.Random
) -> tuple[str, Callable[[], None], Callable[[], None]]:
    """Returns a fault's name, and what begins and ends it."""
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
            lambda: running.set_store(store_faults[choice]),
            lambda: running.set_store({}),
        )
    name = f"{choice} {node.name}"
    if choice == "pause":
        return (
            name,
            lambda: _signal(running, node, signal.SIGSTOP),
            lambda: _signal(running, node, signal.SIGCONT),
        )
    if choice == "kill":
        return (
            name,
            lambda: _signal(running, node, signal.SIGKILL),
            lambda: _restart(running, node),
        )
    faults: dict[str, dict[str, Any]] = {
        "silence": {"silence_open": True},
        "delay": {"delay_s": 0.02, "stall_chance": 0.02},
    }
    return (
        name,
        lambda: running.set_relay(node, faults[choice]),
        lambda: running.set_relay(node, {}),
    )


def _signal(
    running: deployment.Deployment, node: deployment.NodePlan, number: int
) -> None:
    if running.processes[node.name].poll() is None:
        running.signal(node.name, number)


def _restart(running: deployment.Deployment, node: deployment.NodePlan) -> None:
    """Replaces a killed node; one that lives on is left alone."""
    process = running.processes[node.name]
    process.send_signal(signal.SIGCONT)
    try:
        process.wait(1.0)
    except Exception:
        return
    running.start_node(node)
