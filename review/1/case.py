"""A planned stop cuts off an answer that the client is still reading."""

import pathlib
import signal
import socket
import sys

import gevent
from gevent import socket as gevent_socket

from flamingolug import http1
from review import harness

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "alpha"
#: Bytes of an answer: the longest of the site file.
ANSWER_BYTES = 36_000
TIMEOUT_MS = 5000
CLIENTS = 6
#: A client reads this many bytes at a time, with a pause before each read.
READ_BYTES = 2_500
READ_PAUSE_S = 0.3
RECEIVE_BUFFER_BYTES = 4_096
#: Seconds from the first request until the client sends the second one. It has
#: read about 25 KB of the first answer then.
SECOND_AFTER_S = 3.1
#: Seconds from the first requests to SIGTERM; the upstream has answered then.
STOP_AFTER_S = 0.1


class _Client:
    """A client that reads slowly and sends two safe requests."""

    def __init__(self, record: harness.Record, number: int) -> None:
        """Creates a client without a connection."""
        #: Seconds from the first request to the end of its connection; 0 if the
        #: answer is complete.
        self.cut_after_s = 0.0
        self.received = 0
        self._record = record
        self._number = number

    def run(self, machine: harness.Machine) -> None:
        """Sends the requests and reads the first answer."""
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.connect(machine.outbound)
        name = f"client-{self._number}"
        sent_at = self._record.now()
        sock.sendall(harness.make_request("read", f"{name}-first"))
        self._record.write(f"client: {name}-first sent")
        reader = http1.ResponseReader()
        reader.expect(False)
        second_sent = False
        try:
            while not reader.ready:
                gevent.sleep(READ_PAUSE_S if not second_sent else 0.02)
                if not second_sent and (
                    self._record.now() - sent_at >= SECOND_AFTER_S
                ):
                    second_sent = True
                    sock.sendall(harness.make_request("read", f"{name}-second"))
                    self._record.write(f"client: {name}-second sent")
                data = sock.recv(READ_BYTES)
                if not data:
                    break
                self.received += len(data)
                reader.feed(data)
        except OSError as exc:
            self._record.write(f"client: {name}: {exc}")
        finally:
            sock.close()
        elapsed_s = self._record.now() - sent_at
        if reader.ready:
            self._record.write(f"client: {name}-first: complete")
            return
        self.cut_after_s = elapsed_s
        self._record.write(
            f"client: {name}-first: cut after {elapsed_s:.3f} s and"
            f" {self.received} bytes"
        )


def play(installation: harness.Installation, trouble: bool) -> bool:
    """Plays the case; returns whether LOST held."""
    record = installation.record
    installation.put_configuration(
        1, [harness.make_route("read", SERVICE, timeout_ms=TIMEOUT_MS)]
    )
    machines = [installation.add_machine(SERVICE, f"z{i}") for i in range(2)]
    for machine in machines:
        machine.start()
    installation.wait_ready()
    for number, machine in enumerate(machines):
        upstream = installation.add_upstream(machine, f"i-{number}")
        upstream.response_body = bytes(ANSWER_BYTES)
    gevent.sleep(harness.TOUCH_S + 0.2)
    stopped = machines[0]
    if harness.send_request(record, stopped, "read", "check") != 200:
        raise harness.CouldNotRunError("the node serves nothing")
    clients = [_Client(record, number) for number in range(CLIENTS)]
    tasks = [gevent.spawn(client.run, stopped) for client in clients]
    gevent.sleep(STOP_AFTER_S)
    if trouble:
        stopped.send_signal(signal.SIGTERM)
    gevent.joinall(tasks, timeout=10.0)
    ran = {
        run.request_id for each in installation.upstreams for run in each.runs
    }
    if len(ran & {f"client-{number}-first" for number in range(CLIENTS)}) < (
        CLIENTS
    ):
        raise harness.CouldNotRunError("a first request did not run")
    lost = [
        number
        for number, client in enumerate(clients)
        if 0.0 < client.cut_after_s < TIMEOUT_MS / 1000.0
        and f"client-{number}-first" in ran
    ]
    record.write(
        f"{len(lost)} of {CLIENTS} requests ran, and their connection ended"
        " without a complete answer"
    )
    return not lost


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
