"""A departure that was acknowledged before a drill is forgotten after it.

The node is restarted as planned work, and a liveness report arrives late.
"""

import pathlib
import signal
import sys

import gevent

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

import harness_3  # noqa: E402

from flamingolug_standins import documents  # noqa: E402

#: Seconds for which the store is away.
AWAY_S = 1.0
#: Seconds from the leave notice to the drill, and from the end of the drill to
#: the planned restart of the node.
BEFORE_DRILL_S = 0.5
BEFORE_RESTART_S = 0.5
#: Seconds after which the stopped node is started again.
DOWN_S = 0.3
#: Seconds for which the upstream serves after its leave notice, at least.
SERVES_S = 14.0


def play(case: harness_3.Case) -> bool:
    """Returns whether requests reach an upstream that has left."""
    case.configure(3, [documents.make_route("read", "east")])
    leaving = case.add_machine("east")
    staying = case.add_machine("east")
    for machine in (leaving, staying):
        machine.wait_ready()
        machine.report_regularly()
        case.wait_entry(machine)
    clients = [
        harness_3.Client(machine, "read", case.record)
        for machine in (leaving, staying)
    ]
    gevent.sleep(5.0)
    copy = case.store.copy()
    case.record.write(f"copy of the store at revision {copy.revision}", True)
    gevent.sleep(1.0)
    upstream = leaving.upstream
    # The last liveness report is sent and delayed on its way.
    leaving.reporting = False
    gevent.sleep(harness_3.HEARTBEAT_S)
    upstream.sequence += 1
    late_report = upstream.make_report("ready")
    case.record.write(f"report {upstream.sequence} sent, delayed", True)
    status = upstream.deregister()
    left_at = case.record.now()
    case.record.write(f"leave notice of {upstream.id} got {status}", True)
    if status != 200:
        raise TimeoutError("the leave notice was not acknowledged")
    gevent.sleep(BEFORE_DRILL_S)
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
    else:
        gevent.sleep(AWAY_S)
    gevent.sleep(BEFORE_RESTART_S)
    leaving.signal(signal.SIGTERM)
    leaving.wait_end()
    gevent.sleep(DOWN_S)
    leaving.start()
    in_touch_at = case.record.now() + harness_3.TOUCH_S
    leaving.wait_ready()
    status = upstream.post("heartbeat", late_report)
    case.record.write(
        f"report {upstream.sequence} arrives "
        f"{case.record.now() - left_at:.1f} s late, got {status}",
        True,
    )
    ran_before = set(upstream.executed_ids)
    gevent.sleep(max(left_at + SERVES_S - case.record.now(), 4.0))
    for client in clients:
        client.stop()
    ran = set(upstream.executed_ids) - ran_before
    drained_at = left_at + harness_3.DRAIN_S
    late = [
        each
        for client in clients
        for each in client.sent
        if each.id in ran and each.sent_at > max(in_touch_at, drained_at)
    ]
    case.record.write(
        f"{len(late)} requests reached the upstream over "
        f"{in_touch_at - left_at:.1f} s after the acknowledgement, "
        f"answered {sorted({each.status for each in late})}",
        True,
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(harness_3.run_case(FOLDER, play))
