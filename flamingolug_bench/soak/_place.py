"""Instances of a soak: a node process each, with relays all around it."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from flamingolug import http1
from flamingolug import platform
from flamingolug_standins import documents
from flamingolug_standins import leased_store
from flamingolug_standins import relay_program
from flamingolug_standins import sealing_server

SERVICES = ("front", "shelf", "till")
ZONES = ("z1", "z2")
#: Seconds from SIGTERM to SIGKILL, as operators set them.
GRACE_S = 6.0
#: Seconds for which an upstream serves on after its leave is acknowledged.
DRAIN_S = 2.0
#: Seconds that a request takes at an upstream; long enough for several to be
#: in progress whenever something breaks.
SERVICE_S = 0.03
#: Seconds between reports of an upstream.
REPORT_INTERVAL_S = 1.0
_OUTBOUND, _READY, _CONTROL, _APP, _LINK, _STORE = range(7100, 7106)
_METRICS = 7110

_SETTINGS = """\
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
    """A request as an upstream got it."""

    def __init__(self, at: float, upstream_id: str, req: http1.Request) -> None:
        """Notes a request that has just come."""
        self.at = at
        self.upstream_id = upstream_id
        self.request_id = req.header(b"x-attempt-id").decode()
        self.unsafe = req.target.startswith(b"/pay/")
        self.ran = False


class LedgerServer(sealing_server.SealingServer):
    """An upstream that notes each arrival in a ledger of the whole run."""

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        ledger: list[Arrival],
    ) -> None:
        """Starts to listen."""
        super().__init__(service, *address, control)
        self.service_s = SERVICE_S
        self._ledger = ledger

    def _answer(self, req: http1.Request) -> bytes:
        arrival = Arrival(time.monotonic(), self.id, req)
        self._ledger.append(arrival)
        expected = req.header(b"x-expected-instance").decode()
        arrival.ran = not self.refuse and expected in ("", self.id)
        return super()._answer(req)


class Instance:
    """A node process and the upstream beside it."""

    def __init__(self, index: int, place: "Place") -> None:
        """Starts the upstream and the relays, not the node."""
        self.name = f"n{index}"
        self.service = SERVICES[index % len(SERVICES)]
        self.zone = ZONES[index % len(ZONES)]
        self.place = place
        self.host = f"{place.net}.0.{index + 1}"
        outer = f"{place.net}.1.{index + 1}"
        self.outbound = (outer, _OUTBOUND)
        self.control = (self.host, _CONTROL)
        app = (self.host, _APP)
        self.relays = {
            "callers": _relay(self.outbound, (self.host, _OUTBOUND)),
            "link": _relay((outer, _LINK), (self.host, _LINK)),
            "app": _relay((outer, _APP), app),
            "store": _relay((outer, _STORE), place.store.address),
        }
        self.upstream_number = 0
        self.upstream = self.new_upstream()
        self.process: subprocess.Popen[bytes] | None = None
        #: Starts of the node so far; tells two processes apart.
        self.starts = 0
        #: Whether the node was told to end, or was killed.
        self.ending = False
        self._path = place.directory / f"{self.name}.toml"
        self._path.write_text(self._settings(outer), encoding="utf-8")

    def new_upstream(self) -> LedgerServer:
        """Starts another run of the upstream with an identity of its own."""
        self.upstream_number += 1
        made = LedgerServer(
            self.service, (self.host, _APP), self.control, self.place.ledger
        )
        made.id = f"i-{self.name}-{self.upstream_number}"
        return made

    def start_node(self) -> None:
        """Starts the node."""
        self.starts += 1
        self.ending = False
        with (self.place.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.place.program],
                env=os.environ | {platform.SETTINGS_VARIABLE: str(self._path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal_node(self, number: int) -> None:
        """Sends a signal to the node, if it runs."""
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.ending = True
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Returns whether no node runs here."""
        return self.process is None or self.process.poll() is not None

    def set_fault(self, relay: str, fault: relay_program.Fault) -> None:
        """Makes one of the relays misbehave."""
        self.relays[relay].set_fault(fault)

    def stop(self) -> None:
        """Ends everything here."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.upstream.stop()
        for relay in self.relays.values():
            relay.stop()

    def _settings(self, outer: str) -> str:
        return _SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            link=_LINK,
            metrics=_METRICS,
            app=f"{outer}:{_APP}",
            service=self.service,
            announced=f"{outer}:{_LINK}",
            outbound=_OUTBOUND,
            ready=_READY,
            control=_CONTROL,
            grace=GRACE_S,
            store=f"{outer}:{_STORE}",
        )


def _relay(
    listen: tuple[str, int], target: tuple[str, int]
) -> relay_program.Relay:
    made = relay_program.Relay(
        f"{listen[0]}:{listen[1]}", f"{target[0]}:{target[1]}"
    )
    made.start()
    return made


class Place:
    """The store and all instances of a soak."""

    def __init__(
        self, count: int, directory: pathlib.Path, program: tuple[str, ...]
    ) -> None:
        """Starts everything but the nodes.

        Args:
            count: number of instances.
            directory: where settings and logs go.
            program: module that runs a node, and its arguments.
        """
        #: Loopback network of this process; runs side by side use others.
        self.net = f"127.{30 + os.getpid() % 200}"
        self.directory = directory
        self.program = program
        self.ledger: list[Arrival] = []
        self.version = 0
        self.store = leased_store.LeasedStore(f"{self.net}.3.1", _STORE)
        self.accept_configuration()
        self.instances = [Instance(index, self) for index in range(count)]
        for instance in self.instances:
            instance.start_node()

    def accept_configuration(self) -> None:
        """Stores a new version, which has a route that marks it."""
        self.version += 1
        self.store.put("op/config", _document(self.version))

    def stop(self) -> None:
        """Ends everything."""
        for instance in self.instances:
            instance.stop()
        self.store.stop()


def _document(version: int) -> bytes:
    made = documents.make_route
    routes = [
        made("read", "shelf"),
        made("pay", "till", Kind="non_idempotent", Priority=0),
        made("home", "front", Priority=2),
        made(f"mark{version}", "shelf", Priority=3),
    ]
    return documents.make_document(version, routes)


#: Upstreams that one request may be sent to, as the documents say.
MAX_ATTEMPTS = 2
