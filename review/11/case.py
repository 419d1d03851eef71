"""A configuration that is stored right after a drill is never in force."""

import pathlib
import signal
import sys

import gevent

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

import harness_3  # noqa: E402

from flamingolug_standins import documents  # noqa: E402

#: Seconds for which the store is away.
AWAY_S = 2.0
#: Seconds from the end of a removed machine to the drill.
BEFORE_DRILL_S = 0.5
#: Seconds from the return of the store to the change that the operator stores.
OPERATOR_DELAY_S = 0.0


def play(case: harness_3.Case) -> bool:
    """Returns whether requests are run by the old service for good."""
    old = [documents.make_route("read", "east")]
    new = [documents.make_route("read", "west")]
    case.configure(3, old)
    east = case.add_machine("east")
    west = case.add_machine("west")
    removed = case.add_machine("east")
    staying = (east, west)
    for machine in case.machines:
        machine.wait_ready()
        machine.report_regularly()
        case.wait_entry(machine)
    clients = [
        harness_3.Client(machine, "read", case.record) for machine in staying
    ]
    gevent.sleep(6.0)
    copy = case.store.copy()
    case.record.write(f"copy of the store at revision {copy.revision}", True)
    # A machine is removed: its upstream leaves and ends, then its node.
    removed.reporting = False
    status = removed.upstream.deregister()
    case.record.write(f"leave notice got {status}", True)
    if status != 200:
        raise TimeoutError("the leave notice was not acknowledged")
    gevent.sleep(harness_3.DRAIN_S + 0.5)
    removed.upstream.stop()
    removed.signal(signal.SIGTERM)
    removed.wait_end()
    gevent.sleep(BEFORE_DRILL_S)
    case.record.write(f"store at revision {case.store.revision}", True)
    if case.trouble:
        case.record.write("store goes away", True)
        case.store.go_away()
        gevent.sleep(AWAY_S)
        case.store.come_back(copy)
        case.record.write(
            f"store is back, era {case.store.era}, revision "
            f"{case.store.revision}",
            True,
        )
    gevent.sleep(OPERATOR_DELAY_S)
    case.configure(5, new)
    acknowledged_at = case.record.now()
    # The bound of the configuration, stretched by an unstable store.
    judged_from = acknowledged_at + (
        harness_3.CONFIG_APPLY_S + harness_3.OUTER_S + harness_3.TOUCH_S
    )
    gevent.sleep(judged_from - case.record.now() + 15.0)
    for client in clients:
        client.stop()
    ran_old = set(east.upstream.executed_ids)
    judged = [
        each
        for client in clients
        for each in client.sent
        if each.sent_at > judged_from
    ]
    late = [each for each in judged if each.id in ran_old]
    for machine in staying:
        case.record.write(
            f"{machine.name}: {sum(e.machine == machine.name for e in late)} "
            f"of {sum(e.machine == machine.name for e in judged)} requests "
            f"sent over {judged_from - acknowledged_at:.0f} s after the "
            "acknowledgement were run by the old service",
            True,
        )
    return bool(late)


if __name__ == "__main__":
    sys.exit(harness_3.run_case(FOLDER, play))
