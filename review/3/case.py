"""A leave notice that a stopping node acknowledges is forgotten.

The upstream is used again once the node has been started again.
"""

import pathlib
import signal
import sys

import gevent

from review import harness

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "alpha"
#: Seconds by which one report of the upstream is delayed.
REPORT_DELAY_S = 4.5
#: Seconds after the exit of the node until the platform starts it again.
RESTART_DELAY_S = 0.3
#: Seconds after the acknowledgement for which the upstream still serves.
SERVES_ON_S = 10.0
#: Clock reading, from the start of the disruption, until which requests are
#: sent.
REQUESTS_END_S = 9.0


def play(installation: harness.Installation, trouble: bool) -> bool:
    """Plays the case; returns whether DRAIN held."""
    record = installation.record
    installation.put_configuration(1, [harness.make_route("r", SERVICE)])
    machines = [installation.add_machine(SERVICE, f"z{i}") for i in range(2)]
    for machine in machines:
        machine.start()
    installation.wait_ready()
    leaving = installation.add_upstream(machines[0], "i-leaving")
    installation.add_upstream(machines[1], "i-staying")
    gevent.sleep(3.0)
    for machine in machines:
        if harness.send_request(record, machine, "r", machine.name) != 200:
            raise harness.CouldNotRunError(f"{machine.name} serves nothing")
    started_at = record.now()

    leaving.reporting = False
    delayed = leaving.make_report()
    record.write(
        f"{leaving.id}: report {leaving.sequence} (ready) sent, delayed"
    )

    def deliver_late() -> None:
        gevent.sleep(REPORT_DELAY_S)
        status = leaving.post("heartbeat", delayed)
        record.write(f"{leaving.id}: the delayed report arrives: {status}")

    gevent.spawn(deliver_late)
    gevent.sleep(0.2)
    restarted_at = record.now()
    if trouble:
        gevent.spawn(_restart, machines[0])
    gevent.sleep(0.3)
    status = leaving.post("deregister", b"")
    acknowledged_at = record.now()
    record.write(f"{leaving.id}: leave notice: {status}")
    if status != 200:
        raise harness.CouldNotRunError("the leave notice is not acknowledged")
    gevent.spawn_later(SERVES_ON_S, leaving.stop)
    if trouble:
        process = machines[0].process
        if not harness.wait_until(
            lambda: machines[0].process is not process, 8.0
        ):
            raise harness.CouldNotRunError("the node has not ended")
        restarted_at = record.now()
        installation.wait_ready(machines[0])
    in_touch_at = restarted_at + harness.TOUCH_S + 0.2
    gevent.sleep(max(in_touch_at - record.now(), 0.0))
    count = 0
    served = 0
    while record.now() < started_at + REQUESTS_END_S:
        for machine in machines:
            count += 1
            status = harness.send_request(record, machine, "r", f"late-{count}")
            served += status == 200
        gevent.sleep(0.1)
    if not served:
        raise harness.CouldNotRunError("no late request is served")
    late = [
        run
        for run in leaving.runs
        if run.request_id.startswith("late-")
        and run.at > acknowledged_at + harness.DRAIN_S
    ]
    record.write(
        f"{len(late)} of {count} requests reached {leaving.id} later than"
        f" {harness.DRAIN_S} s after the acknowledgement"
    )
    return not late


def _restart(machine: harness.Machine) -> None:
    """Stops a node as planned and starts it again, as the platform does."""
    machine.send_signal(signal.SIGTERM)
    if not machine.wait_exit(float(harness.BOUNDS["GracePeriodS"])):
        machine.send_signal(signal.SIGKILL)
        machine.wait_exit(2.0)
    gevent.sleep(RESTART_DELAY_S)
    machine.start()


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
