"""After a drill, nodes ignore the entry of an upstream that joined before.

The node of the upstream is killed during the drill and started again.
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
#: Number of configurations in quick succession, and seconds between them.
STORM_VERSIONS = 5
STORM_GAP_S = 0.33


def play(case: harness_3.Case) -> bool:
    """Returns whether requests on an added route are hardly served."""
    first = [documents.make_route("read", "front")]
    case.configure(3, first)
    fronts = [case.add_machine("front"), case.add_machine("front")]
    for machine in fronts:
        machine.wait_ready()
        machine.report_regularly()
        case.wait_entry(machine)
    clients = [
        harness_3.Client(machine, "read", case.record) for machine in fronts
    ]
    joining = case.add_machine("late")
    joining.wait_ready()
    gevent.sleep(3.0)
    copy = case.store.copy()
    case.record.write(f"copy of the store at revision {copy.revision}", True)
    for version in range(4, 4 + STORM_VERSIONS):
        case.configure(version, first)
        gevent.sleep(STORM_GAP_S)
    # An upstream is added.
    joining.report_regularly()
    case.wait_entry(joining)
    case.record.write(f"upstream added, revision {case.store.revision}", True)
    gevent.sleep(2.0)
    version = 3 + STORM_VERSIONS
    joining.signal(signal.SIGKILL)
    joining.wait_end()
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
        # What the operator wrote is written again.
        case.configure(version, first)
    else:
        gevent.sleep(AWAY_S)
    joining.start()
    joining.wait_ready()
    case.wait_entry(joining)
    gevent.sleep(5.0)
    key = f"fl/upstreams/{joining.upstream.id}"
    case.record.write(
        f"entry of the added upstream in the store: "
        f"{case.store.get(key) is not None}, revision {case.store.revision}",
        True,
    )
    added = documents.make_route("added", "late")
    case.configure(version + 1, [*first, added])
    gevent.sleep(
        harness_3.CONFIG_APPLY_S + harness_3.OUTER_S + harness_3.TOUCH_S
    )
    judged_from = case.record.now()
    clients += [
        harness_3.Client(machine, "added", case.record) for machine in fronts
    ]
    gevent.sleep(15.0)
    for client in clients:
        client.stop()
    share = {}
    for route in ("read", "added"):
        sent = [
            each
            for client in clients
            for each in client.sent
            if each.sent_at > judged_from and f"-{route}-" in each.id
        ]
        served = sum(each.status == 200 for each in sent)
        statuses = sorted({each.status for each in sent})
        share[route] = served / max(len(sent), 1)
        case.record.write(
            f"route {route}: {served} of {len(sent)} requests served, "
            f"answers {statuses}",
            True,
        )
    return share["added"] < share["read"] / 4


if __name__ == "__main__":
    sys.exit(harness_3.run_case(FOLDER, play))
