"""The system under test: a store, and nodes and upstreams behind relays."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable

import gevent

from flamingolug import errors
from flamingolug import http1
from flamingolug import platform
from flamingolug_bench.soak import _records
from flamingolug_standins import documents
from flamingolug_standins import leased_store
from flamingolug_standins import relay_program
from flamingolug_standins import sealing_server

#: Services and zones, which are assigned to the instances in turn.
SERVICES = ("front", "shelf", "till")
ZONES = ("z1", "z2")
#: Seconds from SIGTERM to SIGKILL; also the grace period in the settings of the
#: nodes.
GRACE_S = 6.0
#: Drain period, seconds: how long requests may still be sent to an upstream
#: after its node has acknowledged the drain or deregistration. The upstream
#: stops listening a little later.
DRAIN_S = 2.0
#: Service time of an upstream, seconds; long enough for several requests to be
#: in flight whenever a fault is injected.
SERVICE_TIME_S = 0.03
#: Slots of an upstream; enough for the callers that send without pause.
SLOTS = 24
#: Headers of a request that the upstream follows: milliseconds of further work,
#: number of bytes added to the body of the response, and whether the upstream
#: makes a call of its own.
WORK_HEADER = b"x-soak-work-ms"
BYTES_HEADER = b"x-soak-bytes"
CALL_HEADER = b"x-soak-call"
#: Interval between the status reports of an upstream, seconds.
REPORT_INTERVAL_S = 1.0
#: Ports; equal for all instances, which differ in their addresses.
(
    _OUTBOUND_PORT,
    _READY_PORT,
    _CONTROL_PORT,
    _UPSTREAM_PORT,
    _LINK_PORT,
    _STORE_PORT,
) = range(7100, 7106)
_METRICS_PORT = 7110
#: Number of networks that a run may choose from.
_NETWORKS = 200

_SETTINGS_TEMPLATE = """\
NodeName = "{name}"
Ip = "{host}"
Zone = "{zone}"
InternalPorts = [{link}, {metrics}]
AppAddr = "{app}"
Service = "{service}"
HeartbeatMs = 1000
AnnouncedLink = "{announced}"
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


class Arrival:
    """A request that an upstream received.

    Attributes:
        received_at: time of `time.monotonic()`.
        upstream_id: identity of the upstream.
        request_id: identity of the request.
        non_idempotent: whether the request must not run twice.
        executed: whether the upstream ran the request.
        finished_at: time at which the upstream had the response, None while it
            is at work.
        broke_off: whether the upstream closed the connection instead of
            answering.
    """

    def __init__(
        self, received_at: float, upstream_id: str, req: http1.Request
    ) -> None:
        """Records a request that has not run yet."""
        self.received_at = received_at
        self.upstream_id = upstream_id
        self.request_id = req.header(b"x-attempt-id").decode()
        self.non_idempotent = req.target.startswith(b"/pay/")
        self.executed = False
        self.finished_at: float | None = None
        self.broke_off = False


#: Makes a call for an upstream; gets the seconds left and returns whether the
#: call was answered with success.
NestedCall = Callable[[float], bool]


class RecordingServer(sealing_server.SealingServer):
    """An upstream that records each request that it receives."""

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        control_address: tuple[str, int],
        arrivals: list[Arrival],
        call: NestedCall,
    ) -> None:
        """Starts listening.

        Args:
            service: name of the service.
            address: address to listen on.
            control_address: where the node receives reports.
            arrivals: each request received is appended.
            call: makes the calls of the upstream.
        """
        super().__init__(service, *address, control_address)
        self.service_s = SERVICE_TIME_S
        self.slots = SLOTS
        self._arrivals = arrivals
        self._call = call

    def _respond(self, req: http1.Request) -> bytes:
        arrival = Arrival(time.monotonic(), self.id, req)
        self._arrivals.append(arrival)
        expected_id = req.header(b"x-expected-instance").decode()
        arrival.executed = not self.refuse and expected_id in ("", self.id)
        try:
            return super()._respond(req)
        except OSError:
            arrival.broke_off = True
            raise
        finally:
            arrival.finished_at = time.monotonic()

    def _run(self, req: http1.Request) -> tuple[int, bytes]:
        started_at = time.monotonic()
        gevent.sleep(int(req.header(WORK_HEADER) or 0) / 1000.0)
        status, body = super()._run(req)
        if req.header(CALL_HEADER):
            budget_s = int(req.header(b"x-deadline-ms") or 0) / 1000.0
            left_s = budget_s - (time.monotonic() - started_at)
            if not self._call(left_s):
                status = 500
        return status, body + b"." * int(req.header(BYTES_HEADER) or 0)


def handles_signals(process_id: int) -> bool:
    """Returns whether a process catches SIGTERM, and catches or ignores SIGHUP.

    A process can inherit that it ignores SIGHUP, so that one alone does not
    show that its program has begun.
    """
    path = pathlib.Path(f"/proc/{process_id}/status")
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except OSError:
        return False
    masks = dict.fromkeys(("SigIgn", "SigCgt"), 0)
    for line in lines:
        name, _, mask = line.partition(":")
        if name in masks:
            masks[name] = int(mask, 16)
    hangup = 1 << (signal.SIGHUP - 1)
    terminate = 1 << (signal.SIGTERM - 1)
    return bool(
        masks["SigCgt"] & terminate
        and (masks["SigIgn"] | masks["SigCgt"]) & hangup
    )


class Instance:
    """A node process, its upstream and the relays around both."""

    def __init__(self, index: int, testbed: "Testbed") -> None:
        """Starts the upstream and the relays, but not the node."""
        self.name = f"n{index}"
        self.service = SERVICES[index % len(SERVICES)]
        self.zone = ZONES[index % len(ZONES)]
        self.testbed = testbed
        #: Address of the node and of the upstream.
        self.host = f"{testbed.network}.0.{index + 1}"
        relay_host = f"{testbed.network}.1.{index + 1}"
        #: Address to which callers send requests, through a relay.
        self.outbound = (relay_host, _OUTBOUND_PORT)
        #: Address of the same listener without a relay.
        self.direct_outbound = (self.host, _OUTBOUND_PORT)
        #: Address to which the upstream sends reports, without a relay.
        self.control_address = (self.host, _CONTROL_PORT)
        upstream_address = (self.host, _UPSTREAM_PORT)
        #: Relays by what they carry: requests of callers, links from other
        #: nodes, requests to the upstream, and requests to the store.
        self.relays = {
            "callers": _start_relay(self.outbound, (self.host, _OUTBOUND_PORT)),
            "link": _start_relay(
                (relay_host, _LINK_PORT), (self.host, _LINK_PORT)
            ),
            "app": _start_relay((relay_host, _UPSTREAM_PORT), upstream_address),
            "store": _start_relay(
                (relay_host, _STORE_PORT), testbed.store.address
            ),
        }
        #: Makes the calls of the upstream; None until callers are started.
        self.nested_call: NestedCall | None = None
        self.upstream_count = 0
        self.upstream = self.new_upstream()
        self.process: subprocess.Popen[bytes] | None = None
        #: Number of times that the node was started; identifies the process.
        self.start_count = 0
        #: Time at which the current process was started.
        self.started_at = 0.0
        #: Whether SIGTERM or SIGKILL was sent to the current process.
        self.stop_requested = False
        self._settings_path = testbed.directory / f"{self.name}.toml"
        self._settings_path.write_text(
            self._format_settings(relay_host), encoding="utf-8"
        )

    def new_upstream(self) -> RecordingServer:
        """Starts another upstream on the same address under a new identity."""
        self.upstream_count += 1
        server = RecordingServer(
            self.service,
            (self.host, _UPSTREAM_PORT),
            self.control_address,
            self.testbed.arrivals,
            self._call_for_upstream,
        )
        server.id = f"i-{self.name}-{self.upstream_count}"
        return server

    def _call_for_upstream(self, left_s: float) -> bool:
        return self.nested_call is None or self.nested_call(left_s)

    def start_node(self) -> None:
        """Starts the node process; its output is appended to its log file."""
        self.start_count += 1
        self.started_at = time.monotonic()
        self.stop_requested = False
        with (self.testbed.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.testbed.program],
                env=os.environ
                | {platform.SETTINGS_VARIABLE: str(self._settings_path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal_node(self, number: int) -> None:
        """Sends a signal to the node process if it is running."""
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stop_requested = True
        self.process.send_signal(number)

    def has_exited(self) -> bool:
        """Returns whether the node process is not running."""
        return self.process is None or self.process.poll() is not None

    def handles_signals(self) -> bool:
        """Returns whether the node process has replaced the actions of signals.

        Until then the interpreter is starting, and signals end the process.
        """
        return self.process is not None and handles_signals(self.process.pid)

    def set_fault(self, relay: str, fault: relay_program.Fault) -> None:
        """Sets the fault of one relay."""
        self.relays[relay].set_fault(fault)

    def stop(self) -> None:
        """Kills the node; stops the upstream and the relays."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.upstream.stop()
        for relay in self.relays.values():
            relay.stop()

    def _format_settings(self, relay_host: str) -> str:
        return _SETTINGS_TEMPLATE.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            link=_LINK_PORT,
            metrics=_METRICS_PORT,
            app=f"{relay_host}:{_UPSTREAM_PORT}",
            service=self.service,
            announced=f"{relay_host}:{_LINK_PORT}",
            outbound=_OUTBOUND_PORT,
            ready=_READY_PORT,
            control=_CONTROL_PORT,
            grace=GRACE_S,
            store=f"{relay_host}:{_STORE_PORT}",
        )


def _start_relay(
    listen: tuple[str, int], target: tuple[str, int]
) -> relay_program.Relay:
    relay = relay_program.Relay(
        f"{listen[0]}:{listen[1]}", f"{target[0]}:{target[1]}"
    )
    relay.start()
    return relay


def _start_store() -> tuple[str, leased_store.LeasedStore]:
    """Starts the store in a network that no other run uses."""
    for attempt in range(_NETWORKS):
        network = f"127.{30 + (os.getpid() + attempt) % _NETWORKS}"
        try:
            return network, leased_store.LeasedStore(
                f"{network}.3.1", _STORE_PORT
            )
        except OSError:
            # The network is taken.
            continue
    raise errors.FlamingolugError(
        "no free network", step="soak.start", peer="loopback"
    )


class Testbed:
    """Owns the store and all instances of a soak."""

    def __init__(
        self, count: int, directory: pathlib.Path, program: tuple[str, ...]
    ) -> None:
        """Starts the store, all upstreams and relays, and then the nodes.

        Args:
            count: number of instances.
            directory: where settings and logs are written.
            program: module that runs a node, and its arguments.
        """
        #: First two octets of all addresses, in the loopback network;
        #: concurrent runs use different ones.
        self.network, self.store = _start_store()
        self.directory = directory
        self.program = program
        #: Requests that the upstreams received, in order.
        self.arrivals: list[Arrival] = []
        #: Latest configuration version.
        self.version = 0
        self.publish_configuration()
        self.instances = [Instance(index, self) for index in range(count)]
        for instance in self.instances:
            instance.start_node()

    def publish_configuration(self) -> None:
        """Stores a new version, which has a route named after the version."""
        self.version += 1
        self.restore_configuration()

    def restore_configuration(self) -> None:
        """Stores the latest version, again if the store has lost it."""
        self.store.put("op/config", _make_configuration(self.version))

    def stop(self) -> None:
        """Stops all instances and the store."""
        for instance in self.instances:
            instance.stop()
        self.store.stop()


def _make_configuration(version: int) -> bytes:
    make_route = documents.make_route
    routes = [
        make_route("read", "shelf"),
        make_route("pay", "till", Kind="non_idempotent", Priority=0),
        make_route("home", "front", Priority=2),
        make_route(
            "bulk",
            "front",
            Priority=2,
            TimeoutMs=int(_records.BULK_TIMEOUT_S * 1000),
        ),
        make_route(f"mark{version}", "shelf", Priority=3),
    ]
    return documents.make_document(version, routes)


#: Maximum number of upstreams that one request may be sent to; equals
#: `MaxAttempts` of the routes that `documents.make_route` returns.
MAX_ATTEMPTS = 2
