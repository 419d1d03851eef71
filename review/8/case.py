"""A restarted node accepts a late report of an upstream that has left."""

import asyncio
import contextlib
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2

DRAIN_S = 2.0
TOUCH_S = 3.0
#: For this long the store answers 503 to one of three machines.
STORE_BUSY_S = 4.0
#: Seconds from the acknowledgement until the late report arrives.
LATE_S = 3.3
#: The upstream serves on for this long after the acknowledgement.
SERVES_S = 14.0
#: Clients that send one request after the other.
CLIENTS = 12


async def play(record: standins_2.Record, trouble: bool) -> list[str]:
    """Plays the case."""
    deployment = standins_2.Deployment(["desk", "ledger", "ledger"], record)
    deployment.put_configuration(
        [
            standins_2.make_route(
                "submit", "ledger", Kind="non_idempotent", MaxAttempts=1
            )
        ]
    )
    source, leaving, _ = deployment.machines
    upstream = leaving.upstream
    for machine in deployment.machines:
        machine.upstream.work_s = lambda req: 0.1
    calm_at = 0.0

    async def send_forever() -> None:
        while True:
            await deployment.send(source, "submit", "POST", b"small")
            await asyncio.sleep(0.05)

    try:
        await deployment.start()
        clients = [asyncio.create_task(send_forever()) for _ in range(CLIENTS)]
        await asyncio.sleep(1.0)
        # The last report before the leave notice is delayed.
        upstream.reports = False
        await asyncio.sleep(0.1)
        upstream.sequence += 1
        late_sequence = upstream.sequence
        status = await upstream.deregister()
        if status != 200:
            raise RuntimeError("the leave notice was not acknowledged")
        acknowledged_at = upstream.left_ack_at
        if trouble:
            deployment.store.busy_hosts.add(leaving.store_host)
            record.write("store_busy", host=leaving.store_host)
            leaving.signal(signal.SIGKILL)
        await asyncio.sleep(LATE_S)
        late = asyncio.create_task(upstream.post_report("ready", late_sequence))
        record.write("late_report", sequence=late_sequence)
        await asyncio.sleep(STORE_BUSY_S - LATE_S)
        deployment.store.busy_hosts.clear()
        calm_at = standins_2.now()
        record.write("store_up")
        await late
        await asyncio.sleep(acknowledged_at + SERVES_S - standins_2.now())
        await upstream.crash()
        record.write("upstream_ended", upstream=upstream.id)
        await asyncio.sleep(0.5)
        for client in clients:
            client.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await client
    finally:
        deployment.close()
    return check(deployment, upstream, calm_at)


def check(
    deployment: standins_2.Deployment,
    upstream: standins_2.Upstream,
    calm_at: float,
) -> list[str]:
    """Returns a line if the rule was broken."""
    acknowledged_at = upstream.left_ack_at
    sent_at = {each.request_id: each.sent_at for each in deployment.attempts}
    late_runs = [
        run
        for run in upstream.runs
        if run.started_at > acknowledged_at + DRAIN_S
    ]
    counted = [
        run
        for run in late_runs
        # The machines are in touch again, also when the client sent.
        if sent_at[run.request_id] > calm_at + TOUCH_S + 0.1
    ]
    print(
        f"{len(late_runs)} requests ran later than DrainMs after the"
        f" acknowledgement, {len(counted)} of them with all machines in touch"
    )
    if not counted:
        return []
    first_s = counted[0].started_at - acknowledged_at
    last_s = counted[-1].started_at - acknowledged_at
    return [
        f"DRAIN: {len(counted)} requests reached {upstream.id} {first_s:.1f} to"
        f" {last_s:.1f} s after its leave notice was acknowledged"
    ]


if __name__ == "__main__":
    sys.exit(standins_2.run_case(pathlib.Path(__file__).resolve().parent, play))
