"""Machines keep a configuration after a response of the store was lost.

Two deployments are played one after the other: in the first one, the machine
has no traffic; in the second one, its clients call the service beside it.
"""

import asyncio
import pathlib
import sys
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2

#: The store gives one of four machines no response for this long.
SILENT_S = 1.0
#: `TouchMs`, `OuterMs` and `ConfigApplyMs`, seconds.
TOUCH_S = 3.0
OUTER_S = 5.0
APPLY_S = 2.0
#: Requests that clients of the machine without traffic then send.
REQUESTS = 5
#: When the change of the second deployment is made, seconds after its nodes are
#: ready:
#: the next check of the machine then asks for changes that are older than
#: `HistoryS`.
CHANGE_FROM_S = 18.2
CHANGE_UNTIL_S = 20.5


def make_routes(service: str, more: list[str]) -> list[dict[str, Any]]:
    """Returns routes of one service."""
    return [
        standins_2.make_route(
            name, service, Kind="non_idempotent", MaxAttempts=1
        )
        for name in ("submit", *more)
    ]


async def change(
    deployment: standins_2.Deployment,
    machine: standins_2.Machine,
    trouble: bool,
) -> tuple[float, float]:
    """Writes the next version while the store is silent to one machine.

    Returns:
        The clock readings of the acknowledgement and of the silence's end.
    """
    store = deployment.store
    if trouble:
        store.silent_hosts.add(machine.store_host)
        deployment.record.write("silent", host=machine.store_host)
    await asyncio.sleep(SILENT_S / 2)
    deployment.put_configuration(make_routes("after", ["added"]))
    acknowledged_at = standins_2.now()
    await asyncio.sleep(SILENT_S / 2)
    store.silent_hosts.clear()
    deployment.record.write("store_answers_again", lost=dict(store.lost))
    return acknowledged_at, standins_2.now()


async def play_idle(record: standins_2.Record, trouble: bool) -> list[str]:
    """Plays the machine without traffic."""
    deployment = standins_2.Deployment(
        ["desk", "before", "after", "depot"], record
    )
    store = deployment.store
    busy, _, _, idle = deployment.machines
    deployment.put_configuration(make_routes("before", ["dropped"]))
    try:
        await deployment.start()
        first = await deployment.send(busy, "submit", "POST", b"x")
        if first.status != 200:
            raise RuntimeError("the first request was not served")
        # The silence falls between two renewals of the machine's lease, which
        # come each 2.5 s.
        seen = store.renewed_at.get(idle.store_host, 0.0)
        while store.renewed_at.get(idle.store_host, 0.0) == seen:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        acknowledged_at, _ = await change(deployment, idle, trouble)
        await asyncio.sleep(TOUCH_S + OUTER_S + APPLY_S)
        sent_s = standins_2.now() - acknowledged_at
        attempts = await asyncio.gather(
            *(
                deployment.send(idle, "submit", "POST", b"x")
                for _ in range(REQUESTS)
            ),
            deployment.send(idle, "dropped", "POST", b"x"),
            deployment.send(idle, "added", "POST", b"x"),
        )
    finally:
        deployment.close()
    service_of = {run.request_id: run.service for run in deployment.runs()}
    broken: list[str] = []
    for attempt in attempts:
        service = service_of.get(attempt.request_id, "none")
        if service == "before" or (
            attempt.route == "added" and attempt.status == 404
        ):
            broken.append(
                f"CONFIG: without traffic before: /{attempt.route}/ sent"
                f" {sent_s:.1f} s after the acknowledgement: status"
                f" {attempt.status}, run by {service}"
            )
    return broken


async def play_busy(record: standins_2.Record, trouble: bool) -> list[str]:
    """Plays the machine whose clients call the service beside it."""
    deployment = standins_2.Deployment(
        ["desk", "before", "after", "depot"], record
    )
    store = deployment.store
    machine = deployment.machines[3]
    host = machine.store_host
    deployment.put_configuration(make_routes("depot", []))

    async def send_forever() -> None:
        while True:
            await deployment.send(machine, "submit", "POST", b"x")
            await asyncio.sleep(0.1)

    async def change_other_items() -> None:
        while True:
            store.put("op/notes", b"x")
            await asyncio.sleep(1.0)

    tasks = [asyncio.create_task(change_other_items())]
    try:
        await deployment.start()
        # Requests start the checks, which come every 2.4 s; the lease is
        # renewed every 2.5 s. Both leave a gap then.
        seen = store.renewed_at.get(host, 0.0)
        while store.renewed_at.get(host, 0.0) == seen:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.6)
        tasks.append(asyncio.create_task(send_forever()))
        # The silence falls between two calls of the machine.
        while True:
            now = standins_2.now()
            age_s = now - deployment.ready_at
            if age_s > CHANGE_FROM_S and all(
                0.02 < now - at.get(host, 0.0) < 1.2
                for at in (store.renewed_at, store.checked_at)
            ):
                break
            if age_s > CHANGE_UNTIL_S:
                record.write("no_gap_between_calls")
                break
            await asyncio.sleep(0.02)
        acknowledged_at, calm_at = await change(deployment, machine, trouble)
        await asyncio.sleep(TOUCH_S + OUTER_S)
    finally:
        await standins_2.cancel(tasks)
        deployment.close()
    service_of = {run.request_id: run.service for run in deployment.runs()}
    in_touch_at = max(calm_at + TOUCH_S, acknowledged_at + APPLY_S)
    old = [
        attempt.sent_at - acknowledged_at
        for attempt in deployment.attempts
        if attempt.sent_at > in_touch_at + 0.05
        and service_of.get(attempt.request_id) == "depot"
    ]
    if not old:
        return []
    return [
        f"CONFIG: with traffic: {len(old)} requests sent {old[0]:.1f} to"
        f" {old[-1]:.1f} s after the acknowledgement were run by the old"
        " service"
    ]


async def play(record: standins_2.Record, trouble: bool) -> list[str]:
    """Plays both deployments."""
    return [
        *await play_idle(record, trouble),
        *await play_busy(record, trouble),
    ]


if __name__ == "__main__":
    sys.exit(standins_2.run_case(pathlib.Path(__file__).resolve().parent, play))
