"""A node misses configurations for up to 30 s after the store was silent."""

import pathlib
import sys

import gevent

from review import harness

FOLDER = pathlib.Path(__file__).resolve().parent
#: Seconds for which the store gives one of three machines no response.
SILENT_S = 8.5
#: Seconds from the end of the silence to the change that is checked.
CALM_S = harness.TOUCH_S + 1.0
#: Seconds over which requests are sent, from `ConfigApplyMs` on.
CHECKED_S = 4.0
SERVICE = "alpha"


def play(installation: harness.Installation, trouble: bool) -> bool:
    """Plays the case; returns whether CONFIG held."""
    record = installation.record
    old = harness.make_route("old", SERVICE)
    kept = harness.make_route("kept", SERVICE)
    new = harness.make_route("new", SERVICE)
    installation.put_configuration(1, [old, kept])
    machines = [installation.add_machine(SERVICE, f"z{i}") for i in range(3)]
    affected = machines[0]
    relay = harness.Relay(
        affected.host, installation.base_port + 8, installation.store.address
    )
    affected.store = (affected.host, installation.base_port + 8)
    for machine in machines:
        machine.start()
    installation.wait_ready()
    for number, machine in enumerate(machines):
        installation.add_upstream(machine, f"i-{number}")
    gevent.sleep(3.0)
    for machine in machines:
        if harness.send_request(record, machine, "kept", machine.name) != 200:
            raise harness.CouldNotRunError(f"{machine.name} serves nothing")
    relay.silent = trouble
    record.write(f"store silent for {affected.name}: {trouble}")
    gevent.sleep(SILENT_S / 2)
    installation.put_configuration(2, [old, kept])
    gevent.sleep(SILENT_S / 2)
    relay.silent = False
    record.write(f"store answers {affected.name} again")
    gevent.sleep(CALM_S)
    installation.put_configuration(3, [kept, new])
    gevent.sleep(harness.CONFIG_APPLY_S)
    broken = 0
    ends = record.now() + CHECKED_S
    count = 0
    served = 0
    while record.now() < ends:
        for machine in machines:
            count += 1
            status = harness.send_request(
                record, machine, "new", f"new-{count}"
            )
            served += status == 200
            if status == 404:
                record.write(f"CONFIG: {machine.name} refuses a route of r3")
                broken += 1
            status = harness.send_request(
                record, machine, "old", f"old-{count}"
            )
            if status == 200:
                record.write(f"CONFIG: {machine.name} serves a dropped route")
                broken += 1
        gevent.sleep(0.25)
    if not served:
        raise harness.CouldNotRunError("no request of the new route is served")
    record.write(f"requests handled as only an older version allows: {broken}")
    return broken == 0


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
