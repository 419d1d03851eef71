"""Nodes in processes of their own, and connections of callers to them."""

import itertools
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import gevent
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug import platform
from flamingolug.gateway import _directory
from flamingolug.gateway import _model
from flamingolug.platform.tests import deployment
from flamingolug_standins import documents
from flamingolug_standins import sealing_server

#: Shortened times of a stop, seconds.
ACCEPT_S = 0.3
GRACE_S = 3.0
#: Offsets of the ports of a node process from `deployment._BASE_PORT`.
_LINK = 35
_METRICS = 36
_PROGRAM = """\
import sys
from flamingolug.gateway import _program
assert _program.ACCEPT_AFTER_STOP_S > 0.0
_program.ACCEPT_AFTER_STOP_S = float(sys.argv[1])
from flamingolug import launcher
sys.exit(launcher.main())
"""
_SETTINGS_TEMPLATE = """\
NodeName = "node-{host}"
Ip = "{host}"
Zone = "{zone}"
InternalPorts = [{link}, {metrics}]
AppAddr = "{host}:{app}"
Service = "{service}"
HeartbeatMs = 1500
[ListenAddrs]
Outbound = "{host}:{outbound}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Bounds]
GracePeriodS = {grace}
[Platform]
Address = "{store}"
TtlMinMs = 1000
"""


class NodeProcess:
    """A node in a process of its own, with its server in the test process.

    The kernel closes the sockets of a process that exits, which a node in the
    test process does not show.
    """

    def __init__(
        self,
        service: str,
        test_deployment: deployment.Deployment,
        accept_s: float = ACCEPT_S,
        grace_s: float = GRACE_S,
        route: str = "read",
        zone: str = "z1",
    ) -> None:
        """Starts the node and its server; waits until it serves a route.

        The node calls the store at an address of its own (`store_address`).
        """
        self._route = route
        self.host = deployment.next_host()
        base = deployment._BASE_PORT
        self.outbound = (self.host, base + deployment._OUTBOUND)
        self.link = (self.host, base + _LINK)
        self._ready = (self.host, base + deployment._READY)
        control = (self.host, base + deployment._CONTROL)
        self.server = sealing_server.SealingServer(
            service, self.host, base + deployment._APP, control
        )
        self._directory = tempfile.TemporaryDirectory()
        path = pathlib.Path(self._directory.name) / "node.toml"
        self._store = test_deployment.store
        store_host = deployment.next_host()
        self._store.listen_at(store_host)
        store_port = self._store.address[1]
        #: HOST:PORT at which this node calls the store.
        self.store_address = f"{store_host}:{store_port}"
        path.write_text(
            _SETTINGS_TEMPLATE.format(
                host=self.host,
                service=service,
                zone=zone,
                grace=grace_s,
                link=self.link[1],
                metrics=base + _METRICS,
                app=base + deployment._APP,
                outbound=self.outbound[1],
                ready=self._ready[1],
                control=control[1],
                store=self.store_address,
            )
        )
        self._environment = os.environ | {platform.SETTINGS_VARIABLE: str(path)}
        self._accept_s = accept_s
        self.stopped_at = 0.0
        self.start()
        assert self.server.report() == 200
        deployment.wait_until(self._serves, "the node process serves")

    def start(self) -> None:
        """Starts the process; waits until it is ready."""
        self.start_without_configuration()
        self.wait_ready()

    def start_without_configuration(self) -> None:
        """Starts the process; waits until its listening sockets are open."""
        self.process = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM, str(self._accept_s)],
            env=self._environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        deployment.wait_until(self._listens, "the node process listens")

    def wait_ready(self) -> None:
        """Waits until the node is ready."""
        deployment.wait_until(self._is_ready, "the node process is ready")

    def stored_entry(self) -> _model.Upstream | None:
        """Returns the entry of the server in the store."""
        key = _directory.PREFIX + self.server.id
        value = self._store.get(key)
        return _directory.decode_entry(key, value) if value else None

    def kill(self) -> None:
        """Kills the process; waits until it has ended."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> None:
        """Sends SIGTERM."""
        self.stopped_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    def wait(self) -> float:
        """Waits for the exit; returns the seconds since `stop`."""
        deployment.wait_until(
            lambda: self.process.poll() is not None, "the process exits"
        )
        return time.monotonic() - self.stopped_at

    def close(self) -> None:
        """Kills the process if it still runs and stops the server."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.server.stop()
        self._directory.cleanup()

    def _is_ready(self) -> bool:
        try:
            return ask_once(self._ready, b"/v1/ready", "") == 200
        except OSError:
            return False

    def _listens(self) -> bool:
        """Returns whether the socket that is opened last accepts."""
        try:
            Caller(self.outbound).close()
        except OSError:
            return False
        return True

    def _serves(self) -> bool:
        request_id = f"probe-{time.monotonic()}"
        target = f"/{self._route}/x".encode()
        return ask_once(self.outbound, target, request_id) == 200


class ConfigurationTestCase(unittest.TestCase):
    """A node process whose routes show which configuration is in force."""

    def setUp(self) -> None:
        self.deployment = deployment.Deployment(
            ("shelf",), [documents.make_route("read", "front")]
        )
        self.addCleanup(self.deployment.stop)
        self.front = NodeProcess("front", self.deployment)
        self.addCleanup(self.front.close)
        self.numbers = itertools.count()

    def put(self, version: int, route: str) -> None:
        """Stores a version with one route."""
        self.deployment.store.put(
            "op/config",
            documents.make_document(
                version, [documents.make_route(route, "front")]
            ),
        )

    def serves(self, route: str) -> bool:
        """Returns whether the node serves a route."""
        # A server that has not reported for a while gets no calls.
        self.front.server.report()
        request_id = f"{route}-{next(self.numbers)}"
        target = f"/{route}/x".encode()
        return ask_once(self.front.outbound, target, request_id) == 200

    def assert_served_within(self, route: str, limit_s: float) -> None:
        """Asserts that the node serves a route before a limit, seconds."""
        began_at = time.monotonic()
        deployment.wait_until(lambda: self.serves(route), f"{route} is served")
        self.assertLess(time.monotonic() - began_at, limit_s)


class Caller:
    """One connection of a caller; records what the socket delivers.

    Attributes:
        sent_ids: ids of the requests sent, in order.
        sent_at: clock reading at which each request was sent.
        answers: complete answers, in order.
        ended: whether the connection has ended.
        error: error with which the connection ended, empty for none.
    """

    def __init__(
        self, address: tuple[str, int], receive_buffer: int = 0
    ) -> None:
        """Connects; `receive_buffer` limits what the caller's host buffers."""
        sock = gevent_socket.socket()
        if receive_buffer:
            sock.setsockopt(
                gevent_socket.SOL_SOCKET,
                gevent_socket.SO_RCVBUF,
                receive_buffer,
            )
        sock.settimeout(5.0)
        try:
            sock.connect(address)
        except OSError:
            sock.close()
            raise
        sock.settimeout(None)
        self.sent_ids: list[str] = []
        self.sent_at: dict[str, float] = {}
        self.answers: list[http1.Response] = []
        self.ended = False
        self.error = ""
        self._sock = sock
        self._reader = http1.ResponseReader()

    def send(
        self, request_id: str, route: str = "read", method: bytes = b"GET"
    ) -> None:
        """Sends a request."""
        self.sent_ids.append(request_id)
        self.sent_at[request_id] = time.monotonic()
        self.send_bytes(deployment.make_request(route, request_id, method))

    def send_bytes(self, data: bytes) -> None:
        """Sends bytes; records the error if the connection has ended."""
        try:
            self._sock.sendall(data)
        except OSError as exc:
            self.ended = True
            self.error = repr(exc)

    def read(self, size: int = 65536) -> list[http1.Response]:
        """Reads once; returns the answers that it completes."""
        try:
            data = self._sock.recv(size)
        except OSError as exc:
            self.ended = True
            self.error = repr(exc)
            return []
        if not data:
            self.ended = True
            self.close()
            return []
        self._reader.feed(data)
        assert not self._reader.broken
        completed = list(self._reader.ready)
        self._reader.ready.clear()
        self.answers += completed
        return completed

    def read_to_end(self, pause_s: float = 0.0, size: int = 65536) -> None:
        """Reads until the connection ends, with pauses between reads."""
        while not self.ended:
            self.read(size)
            gevent.sleep(pause_s)

    def cut_ids(self, server: sealing_server.SealingServer) -> list[str]:
        """Returns requests that reached the server and got no answer.

        A refusal does not count as an answer to a request that ran.
        """
        answered = {
            answer.header(b"x-attempt-id").decode()
            for answer in self.answers
            if answer.status == 200
        }
        executed = set(server.executed_ids)
        return [
            each
            for each in self.sent_ids
            if each in executed and each not in answered
        ]

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()


def ask_once(
    address: tuple[str, int],
    target: bytes,
    request_id: str,
    deadline_ms: int = 3000,
) -> int:
    """Sends one request on a new connection; returns the status, 0 for none."""
    caller = Caller(address)
    caller.send_bytes(
        http1.format_request(
            b"GET",
            target,
            [
                (b"host", documents.HOST.encode()),
                (b"x-attempt-id", request_id.encode()),
                (b"x-deadline-ms", str(deadline_ms).encode()),
                (b"connection", b"close"),
            ],
            b"",
        )
    )
    caller.read_to_end()
    caller.close()
    return caller.answers[0].status if caller.answers else 0
