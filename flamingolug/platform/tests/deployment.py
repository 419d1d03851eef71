"""Runs nodes, backend servers and the store in one process, on loopback."""

import itertools
import os
import time
from collections.abc import Callable
from collections.abc import Collection

import gevent

from flamingolug import gateway
from flamingolug import http1
from flamingolug import platform
from flamingolug.gateway import _directory
from flamingolug_standins import documents
from flamingolug_standins import leased_store
from flamingolug_standins import sealing_server

#: Numbers of the hosts in this process.
_HOSTS = itertools.count(1)
#: Loopback addresses that differ in the last number only.
_HOSTS_PER_NET = 200
#: Offsets of the listening ports from `_BASE_PORT`.
_OUTBOUND = 21
_READY = 22
_CONTROL = 23
_APP = 24
_LINK = 25
_STORE = 26
#: First port of this test process. Concurrent processes usually use other
#: ranges, all below the ephemeral ports of outgoing connections.
_BASE_PORT = 20_000 + (os.getpid() % 120) * 100
#: Time-out of waits for an expected state, reached only in case of a fault.
MAX_WAIT_S = 20.0


def next_host() -> str:
    """Returns a loopback address that this process has not used yet."""
    net, number = divmod(next(_HOSTS), _HOSTS_PER_NET)
    return f"127.0.{net}.{number + 10}"


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Waits until a condition holds.

    Raises:
        AssertionError: the condition does not hold within `MAX_WAIT_S`.
    """
    deadline = time.monotonic() + MAX_WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not met in time: {what}")
        gevent.sleep(0.02)


class Instance:
    """One instance: a node and the backend server beside it."""

    def __init__(
        self, service: str, store: tuple[str, int], zone: str, grace_s: float
    ) -> None:
        """Starts the node and the backend server."""
        self.host = next_host()
        self.settings = gateway.GatewaySettings(
            identity=gateway.NodeIdentity(
                f"node-{self.host}", zone, self.host, service
            ),
            app=(self.host, _BASE_PORT + _APP),
            outbound=(self.host, _BASE_PORT + _OUTBOUND),
            ready=(self.host, _BASE_PORT + _READY),
            control=(self.host, _BASE_PORT + _CONTROL),
            link=(self.host, _BASE_PORT + _LINK),
            link_listen=(self.host, _BASE_PORT + _LINK),
            metrics=None,
            store=store,
            min_lease_s=1.0,
            report_interval_s=1.5,
            grace_s=grace_s,
            retries=gateway.RetryBounds(0.2, 48.0, 10.0),
        )
        self.server = sealing_server.SealingServer(
            service, self.host, _BASE_PORT + _APP, self.settings.control
        )
        self.node = gateway.Node(
            platform.make_environment(self.settings, "none")
        )

    def restart_node(self) -> None:
        """Closes the node without a planned stop and starts another one."""
        self.node.close()
        self.node = gateway.Node(
            platform.make_environment(self.settings, "none")
        )

    def wait_ready(self) -> None:
        """Waits until the node reports that it is ready."""
        wait_until(lambda: self.readiness_status() == 200, "node is ready")

    def wait_for_upstreams(self, services: Collection[str]) -> None:
        """Waits until the node's directory has an upstream of each service."""
        directory = self.node.parts.get(
            "gateway.directory", _directory.Directory
        )
        wait_until(
            lambda: set(services) <= set(directory.services()),
            "the directory has an upstream of each service",
        )

    def readiness_status(self) -> int:
        """Returns the response status of the readiness address."""
        conn = http1.open_connection(*self.settings.ready, timeout_s=1.0)
        conn.send(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
        status = conn.receive(False, 4096).status
        conn.close()
        return status

    def connect(self) -> http1.Connection:
        """Opens a connection to the node as a caller."""
        return http1.open_connection(*self.settings.outbound, timeout_s=1.0)


class Deployment:
    """A store and several instances."""

    def __init__(
        self,
        services: tuple[str, ...],
        routes: list[dict[str, object]],
        grace_s: float = 6.0,
    ) -> None:
        """Starts the store and all instances; waits until they are ready."""
        self.store = leased_store.LeasedStore(next_host(), _BASE_PORT + _STORE)
        # `GateTest` expects this version in status frames.
        self.store.put("op/config", documents.make_document(3, routes))
        self.instances = [
            Instance(service, self.store.address, "z1", grace_s)
            for service in services
        ]
        for instance in self.instances:
            instance.wait_ready()
            assert instance.server.report() == 200
        for instance in self.instances:
            instance.wait_for_upstreams(services)

    def stop(self) -> None:
        """Closes the listening sockets; greenlets end with the process."""
        self.store.stop()
        for instance in self.instances:
            instance.server.stop()
            instance.node.close()


def make_request(
    route: str, request_id: str, method: bytes = b"GET", body: bytes = b""
) -> bytes:
    """Returns the bytes of a request on a route with its name as the prefix."""
    return http1.format_request(
        method,
        f"/{route}/x?y=1".encode(),
        [
            (b"host", documents.HOST.encode()),
            (b"x-attempt-id", request_id.encode()),
            (b"x-deadline-ms", b"3000"),
        ],
        body,
    )


def send_request(
    instance: Instance, route: str, request_id: str, method: bytes = b"GET"
) -> http1.Response:
    """Sends one request on a new connection; returns the response."""
    conn = instance.connect()
    conn.send(make_request(route, request_id, method))
    response = conn.receive(False, 1 << 20)
    conn.close()
    return response
