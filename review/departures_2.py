"""A restarted node accepts a late report of an upstream that has left."""

import asyncio
import signal

import standins_2

DRAIN_S = 2.0
TOUCH_S = 3.0
#: For this long the store answers 503 to one of three machines if it begins
#: after the notice.
STORE_BUSY_S = 4.0
#: Seconds after the kill in which the node is started again; the store then
#: answers it if it turned the node away at the notice.
RESTART_S = 0.25
#: Seconds from the acknowledgement until the late report arrives.
LATE_S = 3.3
#: The upstream serves on for this long after the acknowledgement.
SERVES_S = 14.0
#: Clients that send one request after the other.
CLIENTS = 12


async def start_with_clients(
    deployment: standins_2.Deployment,
) -> list[asyncio.Task[None]]:
    """Starts a deployment; returns the tasks of the clients of its desk."""
    deployment.put_configuration(
        [
            standins_2.make_route(
                "submit", "ledger", Kind="non_idempotent", MaxAttempts=1
            )
        ]
    )
    for machine in deployment.machines:
        machine.upstream.work_s = lambda req: 0.1
    source = deployment.machines[0]

    async def send_forever() -> None:
        while True:
            await deployment.send(source, "submit", "POST", b"small")
            await asyncio.sleep(0.05)

    await deployment.start()
    return [asyncio.create_task(send_forever()) for _ in range(CLIENTS)]


async def play(
    record: standins_2.Record, trouble: bool, *, busy_at_notice: bool
) -> list[str]:
    """Plays a departure, a kill of the node and a late report.

    Args:
        record: record of the case.
        trouble: whether the node is killed and the store turns it away.
        busy_at_notice: whether the store turns the node away when the upstream
            leaves; otherwise from the acknowledgement on.
    """
    deployment = standins_2.Deployment(["desk", "ledger", "ledger"], record)
    leaving = deployment.machines[1]
    upstream = leaving.upstream
    calm_at = 0.0

    def set_busy(busy: bool) -> None:
        hosts = deployment.store.busy_hosts
        (hosts.add if busy else hosts.discard)(leaving.store_host)
        record.write("store", host=leaving.store_host, busy=busy)

    try:
        clients = await start_with_clients(deployment)
        await asyncio.sleep(1.0)
        # The last report before the leave notice is delayed.
        upstream.reports = False
        await asyncio.sleep(0.1)
        upstream.sequence += 1
        late_sequence = upstream.sequence
        if trouble and busy_at_notice:
            set_busy(True)
        status = await upstream.deregister()
        if status != 200:
            raise RuntimeError("the leave notice was not acknowledged")
        acknowledged_at = upstream.left_ack_at
        if trouble:
            leaving.signal(signal.SIGKILL)
        if trouble and not busy_at_notice:
            set_busy(True)
        if busy_at_notice:
            await asyncio.sleep(RESTART_S)
            set_busy(False)
            calm_at = standins_2.now() + RESTART_S
        late_at = acknowledged_at + LATE_S
        await asyncio.sleep(late_at - standins_2.now())
        late = asyncio.create_task(upstream.post_report("ready", late_sequence))
        record.write("late_report", sequence=late_sequence)
        if not busy_at_notice:
            await asyncio.sleep(
                acknowledged_at + STORE_BUSY_S - standins_2.now()
            )
            set_busy(False)
            calm_at = standins_2.now()
        await late
        await asyncio.sleep(acknowledged_at + SERVES_S - standins_2.now())
        await upstream.crash()
        record.write("upstream_ended", upstream=upstream.id)
        await asyncio.sleep(0.5)
        await standins_2.cancel(clients)
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
