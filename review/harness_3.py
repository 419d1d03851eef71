"""Small deployment of node processes, with stand-ins in the script's process.

Nodes are started with the command of the deploy file, from the repository's
root, with a settings file like that of the platform. Everything listens on
loopback addresses.
"""

import collections
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1
from flamingolug_standins import documents
from flamingolug_standins import leased_store
from flamingolug_standins import sealing_server

ROOT = pathlib.Path(__file__).resolve().parent.parent
BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2
#: Bounds of the pages' deployments, seconds.
TOUCH_S = 3.0
CONFIG_APPLY_S = 2.0
OUTER_S = 5.0
DRAIN_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
_START_TIMEOUT_S = 20.0
#: Loopback network of this script, so that scripts may run at the same time.
_NET = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
_PORTS = iter(range(20_000, 30_000))
_SETTINGS = """\
NodeName = "{name}"
Role = "node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "{host}"
Zone = "ruwi"
Region = "muscat"
InternalPorts = [{link}, {metrics}]
Seeds = []
Bootstrap = true
Discovery = "local"
Entry = "local"
HeartbeatMs = 1500
Contracts = [
    "base", "drain", "config", "cost",
    "retry", "recover", "pressure", "platform",
]
AppAddr = "{host}:{app}"
Service = "{service}"
[Zones]
ruwi = "muscat"
[ListenAddrs]
Inbound = "{host}:{inbound}"
Outbound = "{host}:{outbound}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
CpuShare = 0.86
CpuCores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
TouchMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GracePeriodS = 6
LostMs = 200
ConfigApplyMs = 2000
BackMs = 250
OuterMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 48
RecoveryS = 15
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates an empty record; time 0 is now."""
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, text: str, show: bool = False) -> None:
        """Adds a line; also prints it if `show`."""
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if show:
            print(line, flush=True)


def free_port(host: str) -> int:
    """Returns a free TCP port of a loopback host.

    The ports are below those of outgoing connections, and none is returned
    twice.
    """
    for port in _PORTS:
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


class Copy(NamedTuple):
    """Copy of the contents of a store."""

    taken_at: float
    revision: int
    items: dict[str, tuple[bytes, int, int]]
    leases: dict[int, tuple[float, float]]
    events: list[tuple[int, str, bytes | None]]


class DrillStore(leased_store.LeasedStore):
    """Store that can be away and come back from a copy.

    All answers have the header `Store-Era`, which rises by one when the store
    comes back from a copy. A watch from a revision that the store does not have
    gets 410.
    """

    def __init__(self, host: str) -> None:
        """Starts listening on a free port."""
        self.era = 1
        self.away = False
        self._streams: set[http1.Stream] = set()
        super().__init__(host, free_port(host))

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    def listen_at(self, host: str) -> None:
        """Listens on a further host, at the same port."""
        server = gevent_server.StreamServer(
            http1.listen(host, self._address[1]), self._serve
        )
        server.start()
        self._servers.append(server)

    def copy(self) -> Copy:
        """Returns a copy of the contents."""
        return Copy(
            time.monotonic(),
            self._revision,
            dict(self._items),
            dict(self._leases),
            list(self._events),
        )

    def go_away(self) -> None:
        """Closes all connections; new ones are refused with a close."""
        self.away = True
        for stream in list(self._streams):
            stream.close()

    def come_back(self, copy: Copy | None) -> None:
        """Answers again, from a copy if one is given."""
        if copy is not None:
            self.era += 1
            self._revision = copy.revision
            self._items = dict(copy.items)
            # A lease runs on for as long as it had left in the copy.
            aged_s = time.monotonic() - copy.taken_at
            self._leases = {
                lease: (expires_at + aged_s, ttl_s)
                for lease, (expires_at, ttl_s) in copy.leases.items()
            }
            self._events = collections.deque(
                copy.events, maxlen=self._events.maxlen
            )
        self.away = False
        self._notify()

    def _serve(self, sock: gevent_socket.socket, peer: object) -> None:
        del peer
        stream = http1.Stream(sock)
        reader = http1.RequestReader(
            http1.MessageLimits(65536, 16 * 1024 * 1024)
        )
        self._streams.add(stream)
        try:
            while not self.away:
                data = stream.recv(65536)
                if not data or self.away:
                    return
                reader.feed(data)
                while reader.ready:
                    status, headers, body = self._handle(reader.ready.popleft())
                    era = (b"store-era", str(self.era).encode())
                    stream.send_all(
                        http1.format_response(
                            status, [*headers, era], body, False
                        )
                    )
        except OSError:
            return
        finally:
            self._streams.discard(stream)
            stream.close()

    def _watch(self, args: dict[str, str]) -> tuple[int, http1.Headers, bytes]:
        if int(args["after"]) > self._revision:
            return 410, [(b"content-type", b"application/json")], b"{}"
        return super()._watch(args)


class Machine:
    """One machine: a node process and the upstream beside it."""

    def __init__(
        self,
        number: int,
        service: str,
        store: DrillStore,
        record: Record,
        folder: pathlib.Path,
        *,
        own_store_address: bool = False,
    ) -> None:
        """Starts the upstream, without liveness reports, and the node.

        With `own_store_address`, the node calls the store at an address that no
        other node uses, so that the store can turn it away.
        """
        self.host = f"{_NET}.{number}"
        store_host, store_port = store.address
        if own_store_address:
            store_host = f"{_NET}.{100 + number}"
            store.listen_at(store_host)
        #: HOST:PORT at which the node calls the store.
        self.store_address = f"{store_host}:{store_port}"
        self.name = f"sidecar-{number}"
        self.outbound = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        control = (self.host, free_port(self.host))
        app_port = free_port(self.host)
        self.upstream = sealing_server.SealingServer(
            service, self.host, app_port, control
        )
        self.reporting = False
        self._record = record
        self._log = (folder / f"{self.name}.log").open("ab")
        path = folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                host=self.host,
                service=service,
                link=free_port(self.host),
                metrics=free_port(self.host),
                app=app_port,
                inbound=free_port(self.host),
                outbound=self.outbound[1],
                ready=self.ready[1],
                control=control[1],
                store=self.store_address,
            )
        )
        self._environment = os.environ | {"FLAMINGOLUG_BOOT": str(path)}
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Starts the node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        words[0] = sys.executable
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=self._environment,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write(f"{self.name}: node started, {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node."""
        assert self.process is not None
        self._record.write(f"{self.name}: node gets {number.name}", True)
        self.process.send_signal(number)

    def wait_end(self) -> None:
        """Waits for the end of the node."""
        assert self.process is not None
        while self.process.poll() is None:
            gevent.sleep(0.02)
        self._record.write(f"{self.name}: node ended", True)

    def wait_ready(self) -> None:
        """Waits until the node says that it is ready."""
        wait_until(self.is_ready, f"{self.name} is ready")

    def is_ready(self) -> bool:
        """Returns whether the node says that it is ready."""
        return ask(self.ready, b"/v1/ready", [], 1.0).status == 200

    def report_regularly(self) -> None:
        """Sends liveness reports from now on while `reporting` is set."""
        self.reporting = True
        gevent.spawn(self._report)

    def _report(self) -> None:
        while self.reporting:
            status = self.upstream.report()
            if status != 200:
                self._record.write(f"{self.name}: report got {status}")
            gevent.sleep(HEARTBEAT_S)

    def close(self) -> None:
        """Kills the node if it still runs."""
        self.reporting = False
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.upstream.stop()


class Answer(NamedTuple):
    """Answer to a request; status 0 for none."""

    status: int
    body: bytes


def ask(
    address: tuple[str, int],
    target: bytes,
    headers: http1.Headers,
    timeout_s: float,
    method: bytes = b"GET",
) -> Answer:
    """Sends a request on a new connection and returns the answer."""
    conn: http1.Connection | None = None
    try:
        with gevent.Timeout(timeout_s):
            conn = http1.open_connection(*address, 1.0)
            conn.send(
                http1.format_request(
                    method,
                    target,
                    [(b"host", documents.HOST.encode()), *headers],
                    b"",
                )
            )
            response = conn.receive(False, 1 << 20)
        return Answer(response.status, response.body)
    except (errors.BackendError, gevent.Timeout):
        return Answer(0, b"")
    finally:
        if conn is not None:
            conn.close()


class Sent(NamedTuple):
    """A request of a client."""

    id: str
    machine: str
    sent_at: float
    status: int


class Client:
    """Sends a request on a route of one machine every `interval_s`."""

    def __init__(
        self,
        machine: Machine,
        route: str,
        record: Record,
        interval_s: float = 0.1,
    ) -> None:
        """Starts sending."""
        self.sent: list[Sent] = []
        self._machine = machine
        self._route = route
        self._record = record
        self._interval_s = interval_s
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops sending."""
        self._task.kill()

    def _run(self) -> None:
        number = 0
        while True:
            number += 1
            gevent.spawn(self._send, number)
            gevent.sleep(self._interval_s)

    def _send(self, number: int) -> None:
        name = f"{self._machine.name}-{self._route}-{number}"
        sent_at = self._record.now()
        answer = ask(
            self._machine.outbound,
            f"/{self._route}/x".encode(),
            [(b"x-attempt-id", name.encode()), (b"x-deadline-ms", b"3000")],
            3.5,
        )
        self.sent.append(Sent(name, self._machine.name, sent_at, answer.status))
        self._record.write(
            f"request {name} sent at {sent_at:.3f}, answer {answer.status}"
        )


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: it does not hold in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(what)
        gevent.sleep(0.05)


def run_case(folder: pathlib.Path, play: Callable[["Case"], bool]) -> int:
    """Plays a case and returns the exit status.

    Args:
        folder: folder of the case.
        play: returns whether the rule was broken.
    """
    record = Record(folder)
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(record, pathlib.Path(scratch))
        gevent.signal_handler(signal.SIGTERM, _cut_off, case)
        try:
            broken = play(case)
        except (TimeoutError, OSError, AssertionError) as exc:
            record.write(f"could not run: {exc!r}", True)
            return COULD_NOT_RUN
        finally:
            case.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(scratch).glob("*.log"):
                    (pathlib.Path(keep) / path.name).write_bytes(
                        path.read_bytes()
                    )
    record.write("rule broken" if broken else "rule held", True)
    return BROKEN if broken else HELD


def _cut_off(case: "Case") -> None:
    """Ends all processes and the script, which took too long."""
    case.record.write("could not run: the script took too long", True)
    case.close()
    os._exit(COULD_NOT_RUN)


class Case:
    """What a case starts."""

    def __init__(self, record: Record, scratch: pathlib.Path) -> None:
        """Starts the store."""
        #: Whether the case plays the disruption.
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.store = DrillStore(f"{_NET}.1")
        self.machines: list[Machine] = []
        self._scratch = scratch

    def add_machine(
        self, service: str, own_store_address: bool = False
    ) -> Machine:
        """Starts a machine; its upstream does not report yet."""
        machine = Machine(
            len(self.machines) + 10,
            service,
            self.store,
            self.record,
            self._scratch,
            own_store_address=own_store_address,
        )
        self.machines.append(machine)
        return machine

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Writes a configuration as the operator does."""
        self.store.put("op/config", documents.make_document(version, routes))
        self.record.write(
            f"operator: r{version} acknowledged, revision "
            f"{self.store.revision}",
            True,
        )

    def wait_entry(self, machine: Machine) -> None:
        """Waits until the node has announced its upstream."""
        key = f"fl/upstreams/{machine.upstream.id}"
        wait_until(lambda: self.store.get(key) is not None, key)

    def close(self) -> None:
        """Ends all processes."""
        for machine in self.machines:
            machine.close()
        self.store.stop()
