"""A restarted node believes a peer that does not know of a departure."""

import pathlib
import signal
import sys

import gevent

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

import harness_3  # noqa: E402

from flamingolug_standins import documents  # noqa: E402

#: Seconds for which the store turns two of seven machines away.
TURNED_AWAY_S = 9.0
#: Seconds from the leave notice to the kill of the node, and to its next start.
BEFORE_KILL_S = 0.5
DOWN_S = 0.5
#: Seconds from that start to the arrival of the late report.
REPORT_AFTER_S = 1.5
#: Seconds for which the upstream serves after its leave notice.
SERVES_S = 12.0


def play(case: harness_3.Case) -> bool:
    """Returns whether requests reach an upstream that has left."""
    routes = [
        documents.make_route(service, service)
        for service in ("east", "mid", "front")
    ]
    case.configure(3, routes)
    leaving = case.add_machine("east", True)
    uninformed = case.add_machine("front", True)
    others = [case.add_machine("east", True)]
    others += [case.add_machine("mid", True) for _ in range(4)]
    for machine in case.machines:
        machine.wait_ready()
        machine.report_regularly()
        case.wait_entry(machine)
    own_clients = [
        harness_3.Client(leaving, route, case.record)
        for route in ("east", "mid")
    ]
    # Clients of this machine use the service beside it only, so far.
    harness_3.Client(uninformed, "front", case.record)
    gevent.sleep(6.0)
    upstream = leaving.upstream
    # The last liveness report is sent and delayed on its way.
    leaving.reporting = False
    gevent.sleep(harness_3.HEARTBEAT_S)
    upstream.sequence += 1
    late_report = upstream.make_report("ready")
    case.record.write(f"report {upstream.sequence} sent, delayed", True)
    if case.trouble:
        case.store.turned_away = {
            leaving.store_address,
            uninformed.store_address,
        }
        case.record.write("store turns two machines away", True)
        # The store ends the watches that wait.
        gevent.sleep(1.0)
        gevent.spawn_later(TURNED_AWAY_S - 1.0, case.store.turned_away.clear)
    status = upstream.deregister()
    left_at = case.record.now()
    case.record.write(f"leave notice of {upstream.id} got {status}", True)
    if status != 200:
        raise TimeoutError("the leave notice was not acknowledged")
    gevent.sleep(BEFORE_KILL_S)
    leaving.signal(signal.SIGKILL)
    leaving.wait_end()
    gevent.sleep(DOWN_S)
    leaving.start()
    in_touch_at = case.record.now() + harness_3.TOUCH_S
    # From now on clients of the other machine use the service too.
    harness_3.Client(uninformed, "east", case.record)
    gevent.sleep(REPORT_AFTER_S)
    status = upstream.post("heartbeat", late_report)
    case.record.write(
        f"report {upstream.sequence} arrives "
        f"{case.record.now() - left_at:.1f} s late, got {status}",
        True,
    )
    gevent.sleep(left_at + SERVES_S - case.record.now())
    for client in own_clients:
        client.stop()
    ran = set(upstream.executed_ids)
    judged_from = max(in_touch_at, left_at + harness_3.DRAIN_S)
    late = [
        each
        for client in own_clients
        for each in client.sent
        if each.id in ran and each.sent_at > judged_from
    ]
    case.record.write(
        f"{len(late)} requests of clients on the machine that acknowledged "
        f"the leave reached the upstream over {judged_from - left_at:.1f} s "
        f"after it, the last one "
        f"{max((e.sent_at for e in late), default=left_at) - left_at:.1f} s, "
        f"answered {sorted({each.status for each in late})}",
        True,
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(harness_3.run_case(FOLDER, play))
