"""Clients send bodies within `MaxBodyBytes`; the node exceeds its memory."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2

#: Below the `MaxBodyBytes` of the configuration, 67,108,864.
LARGE_BODY = 64_000_000
SMALL_BODY = 4_000
#: Clients that send a large body to one node at a time.
UPLOADS = 3
ROUNDS = 3
ROUND_S = 9.0
#: Kept connections of other clients to each node.
KEPT = 8
#: The rule allows three requests a machine to be cut.
MAX_CUT = 3


async def play(record: standins_2.Record, trouble: bool) -> list[str]:
    """Plays the case."""
    deployment = standins_2.Deployment(["desk", "ledger", "ledger"], record)
    deployment.put_configuration(
        [
            standins_2.make_route(
                "submit", "ledger", Kind="non_idempotent", MaxAttempts=1
            ),
            standins_2.make_route(
                "upload", "ledger", Kind="non_idempotent", MaxAttempts=1
            ),
        ]
    )
    targets = deployment.machines[:2]
    try:
        for machine in deployment.machines:
            machine.upstream.slots = 24
            machine.upstream.work_s = lambda req: 0.5
        await deployment.start()
        tasks = [
            asyncio.create_task(deployment.keep_sending(machine, "submit"))
            for machine in targets
            for _ in range(KEPT)
        ]
        await asyncio.sleep(2.0)
        body = b"x" * (LARGE_BODY if trouble else SMALL_BODY)
        for _ in range(ROUNDS):
            # One node after the other, so that each client has its machine's
            # processor.
            for machine in targets:
                await asyncio.gather(
                    *(
                        deployment.send(machine, "upload", "POST", body)
                        for _ in range(UPLOADS)
                    )
                )
            await asyncio.sleep(ROUND_S / 2)
        for task in tasks:
            task.cancel()
    finally:
        deployment.close()
    ran = {run.request_id for run in deployment.runs()}
    lost = collections.Counter(
        each.node for each in deployment.cut if each.request_id in ran
    )
    broken: list[str] = []
    for machine in targets:
        print(
            f"{machine.name}: peak {machine.peak_mb} MB of"
            f" {machine.memory_mb}, ended for memory"
            f" {len(machine.memory_kills)} times,"
            f" {lost[machine.name]} requests cut that an upstream ran"
        )
        if lost[machine.name] > MAX_CUT:
            broken.append(
                f"LOST: {machine.name} cut {lost[machine.name]} requests of"
                " kept connections that it had passed on"
            )
    ended_often = [
        each.name for each in targets if len(each.memory_kills) >= ROUNDS
    ]
    if len(ended_often) >= 2:
        broken.append(
            f"Fault: the processes of {', '.join(ended_often)} exceeded"
            f" MemoryMb {ROUNDS} times or more"
        )
    return broken


if __name__ == "__main__":
    sys.exit(standins_2.run_case(pathlib.Path(__file__).resolve().parent, play))
