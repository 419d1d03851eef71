"""Starts nodes as separate processes, with stand-ins on loopback.

A script of the review builds a small installation: the store of the project's
stand-ins, one node process on each machine, and one upstream beside each node.
Each machine has a loopback address of its own. All stand-ins run in the process
of the script, on the real clock.
"""

import os
import pathlib
import random
import shlex
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
import msgspec
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1
from flamingolug_standins import leased_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "shop.example"
#: Bounds of the installation qsl-testlog; the settings of a node contain them.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "TouchMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GracePeriodS": 6,
    "LostMs": 200,
    "ConfigApplyMs": 2000,
    "BackMs": 250,
    "OuterMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 48,
    "RecoveryS": 15,
}
TOUCH_S = BOUNDS["TouchMs"] / 1000.0
DRAIN_S = BOUNDS["DrainMs"] / 1000.0
CONFIG_APPLY_S = BOUNDS["ConfigApplyMs"] / 1000.0
MEMORY_MB = 300
HEARTBEAT_S = 1.5
MAX_BODY_BYTES = 67108864
#: Exit codes of a script.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
_LIMITS = http1.MessageLimits(65536, MAX_BODY_BYTES)
_STARTUP_S = 20.0
#: Seconds after which a case is given up.
MAX_DURATION_S = 100.0
#: Loopback addresses of the store and of the first machine.
_STORE_HOST = "127.0.1.2"
_FIRST_MACHINE = 10
_MAX_MACHINES = 3


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the record in the folder of a case."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Adds a line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


def make_route(
    name: str, service: str, kind: str = "safe", timeout_ms: int = 1500
) -> dict[str, Any]:
    """Returns a route resource with the prefix `/NAME/`."""
    return {
        "ResourceType": "Routes",
        "Metadata": {"Name": name},
        "Spec": {
            "Hostname": HOST_NAME,
            "Prefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 1000,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
        },
    }


def make_configuration(version: int, routes: list[dict[str, Any]]) -> bytes:
    """Returns a configuration document, with the limits of the pages."""
    names = sorted({route["Spec"]["Service"] for route in routes})
    services = [
        {
            "ResourceType": "Services",
            "Metadata": {"Name": name},
            "Spec": {
                "HealthPath": "/health",
                "MaxConnections": 424,
                "Protocol": "h1",
                "Tls": False,
            },
        }
        for name in names
    ]
    limits = {
        "ResourceType": "Limits",
        "Metadata": {},
        "Spec": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": MAX_BODY_BYTES,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
    return msgspec.json.encode(
        {"Version": f"r{version}", "Resources": [*routes, *services, limits]}
    )


class Relay:
    """TCP relay in front of the store, for one machine.

    While it is silent, the machine gets no response. A connection on which a
    response was lost returns nothing further, also later.
    """

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        """Starts forwarding."""
        self.silent = False
        self.lost_responses = 0
        self._target = target
        self._server = gevent_server.StreamServer(
            http1.listen(host, port), self._serve
        )
        self._server.start()

    def _serve(self, sock: gevent_socket.socket, peer: object) -> None:
        del peer
        upstream = gevent_socket.create_connection(self._target)
        state = {"lost": False}
        back = gevent.spawn(self._forward_responses, upstream, sock, state)
        try:
            while True:
                data = sock.recv(65536)
                if not data:
                    return
                if self.silent or state["lost"]:
                    # The call is not executed and has no response.
                    state["lost"] = True
                    self.lost_responses += 1
                    continue
                upstream.sendall(data)
        except OSError:
            return
        finally:
            back.kill()
            upstream.close()
            sock.close()

    def _forward_responses(
        self,
        upstream: gevent_socket.socket,
        sock: gevent_socket.socket,
        state: dict[str, bool],
    ) -> None:
        try:
            while True:
                data = upstream.recv(65536)
                if not data:
                    sock.shutdown(socket.SHUT_RDWR)
                    return
                if self.silent or state["lost"]:
                    if not state["lost"]:
                        self.lost_responses += 1
                    state["lost"] = True
                    continue
                sock.sendall(data)
        except OSError:
            return


class Machine:
    """One machine: the node's process and the addresses beside it."""

    def __init__(
        self, installation: "Installation", index: int, service: str, zone: str
    ) -> None:
        """Reserves the addresses of a machine."""
        self.name = f"node-{index}"
        self.service = service
        self.zone = zone
        self.host = _machine_host(index)
        base = installation.base_port
        self.outbound = (self.host, base + 1)
        self.ready = (self.host, base + 2)
        self.control = (self.host, base + 3)
        self.app = (self.host, base + 4)
        self.link_ports = (base + 5, base + 6)
        self.store = installation.store.address
        self.process: subprocess.Popen[bytes] | None = None
        self._installation = installation
        self._log = installation.folder / f"{self.name}.log"

    def _settings(self) -> str:
        def address(pair: tuple[str, int]) -> str:
            return f'"{pair[0]}:{pair[1]}"'

        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        return f"""
NodeName = "{self.name}"
Role = "node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "muscat"
InternalPorts = [{self.link_ports[0]}, {self.link_ports[1]}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "local"
Entry = "local"
HeartbeatMs = {int(HEARTBEAT_S * 1000)}
AppAddr = {address(self.app)}
Service = "{self.service}"
[ListenAddrs]
Inbound = "{self.host}:{self._installation.base_port + 7}"
Outbound = {address(self.outbound)}
Ready = {address(self.ready)}
Control = {address(self.control)}
[Limits]
CpuShare = 0.86
CpuCores = 2
MemoryMb = {MEMORY_MB}
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
{bounds}
[Platform]
Address = {address(self.store)}
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""

    def start(self) -> None:
        """Starts the node with the command of the deploy file."""
        path = self._installation.folder / f"{self.name}.toml"
        path.write_text(self._settings(), encoding="utf-8")
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["FLAMINGOLUG_BOOT"] = str(path)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["node"]["run"]),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._installation.record.write(f"{self.name}: process started")

    def is_ready(self) -> bool:
        """Returns whether the readiness check is answered with 200."""
        try:
            conn = http1.open_connection(*self.ready, timeout_s=0.5)
        except errors.BackendError:
            return False
        try:
            conn.send(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            with gevent.Timeout(1.0):
                return conn.receive(False, 4096).status == 200
        except (errors.BackendError, gevent.Timeout):
            return False
        finally:
            conn.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node's process."""
        assert self.process is not None
        self._installation.record.write(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def wait_exit(self, timeout_s: float) -> bool:
        """Returns whether the process ends in time."""
        assert self.process is not None
        process = self.process
        return wait_until(lambda: process.poll() is not None, timeout_s)

    def memory_mb(self) -> float:
        """Returns the anonymous memory of the process, megabytes."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return float(line.split()[1]) / 1000.0
        return 0.0


class Run(NamedTuple):
    """One request that an upstream ran."""

    at: float
    request_id: str
    target: str


class Upstream:
    """A sound upstream that reports every 1.5 s and records what it runs."""

    def __init__(
        self, machine: Machine, instance_id: str, record: Record
    ) -> None:
        """Starts listening."""
        self.id = instance_id
        self.machine = machine
        self.runs: list[Run] = []
        self.work_s = 0.02
        self.response_body = b"answer"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.reporting = False
        self._record = record
        self._reporter: gevent.Greenlet[[], None] = gevent.Greenlet()
        self._running = 0
        self._server = gevent_server.StreamServer(
            http1.listen(*machine.app), self._serve
        )
        self._server.start()
        self.report_regularly()

    def stop(self) -> None:
        """Ends the upstream."""
        self.reporting = False
        self._server.stop(timeout=0)
        self._record.write(f"{self.id}: has exited")

    def make_report(self) -> bytes:
        """Returns the next report."""
        self.sequence += 1
        return msgspec.json.encode(
            {
                "Service": self.machine.service,
                "Address": f"{self.machine.app[0]}:{self.machine.app[1]}",
                "Zone": self.machine.zone,
                "Version": "v1",
                "Slots": 54,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        )

    def post(self, action: str, body: bytes) -> int:
        """Calls the node beside it; returns the status, 0 for no response."""
        path = f"/v1/instances/{self.id}/{action}"
        data = http1.format_request(
            b"POST",
            path.encode(),
            [(b"host", b"node"), (b"content-type", b"application/json")],
            body,
        )
        try:
            conn = http1.open_connection(*self.machine.control, timeout_s=1.0)
        except errors.BackendError:
            return 0
        try:
            conn.send(data)
            with gevent.Timeout(1.0):
                return conn.receive(False, 4096).status
        except (errors.BackendError, gevent.Timeout):
            return 0
        finally:
            conn.close()

    def report_regularly(self) -> None:
        """Starts to report in the usual interval."""
        self.reporting = True
        self._reporter.kill()
        self._reporter = gevent.spawn(self._report)

    def _report(self) -> None:
        while self.reporting:
            status = self.post("heartbeat", self.make_report())
            self._record.write(
                f"{self.id}: report {self.sequence} ({self.state}): {status}"
            )
            gevent.sleep(HEARTBEAT_S)

    def _serve(self, sock: gevent_socket.socket, peer: object) -> None:
        del peer
        stream = http1.Stream(sock)
        reader = http1.RequestReader(_LIMITS)
        try:
            while True:
                data = stream.recv(262144)
                if not data:
                    return
                reader.feed(data)
                while reader.ready:
                    stream.send_all(self._answer(reader.ready.popleft()))
        except OSError:
            return
        finally:
            stream.close()

    def _answer(self, req: http1.Request) -> bytes:
        request_id = req.header(b"x-attempt-id")
        id_header = (b"x-attempt-id", request_id)
        expected = req.header(b"x-expected-instance")
        if expected and expected.decode() != self.id:
            headers = [id_header, (b"x-not-executed", b"1")]
            return http1.format_response(421, headers, b"", False)
        run = Run(self._record.now(), request_id.decode(), req.target.decode())
        self.runs.append(run)
        self._record.write(f"{self.id}: runs {run.request_id} {run.target}")
        self._running += 1
        gevent.sleep(self.work_s)
        self._running -= 1
        headers = [
            id_header,
            (b"x-response-seal", b"seal-" + request_id),
            (b"x-server-load", f"{self._running},0,54".encode()),
        ]
        return http1.format_response(200, headers, self.response_body, False)


class Installation:
    """Store, machines and upstreams of one case."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        """Starts the store.

        Args:
            record: record of the case.
            folder: temporary folder for settings and logs.
        """
        self.record = record
        self.folder = folder
        self.base_port = _find_base_port()
        self.store = leased_store.LeasedStore(_STORE_HOST, self.base_port)
        self.machines: list[Machine] = []
        self.upstreams: list[Upstream] = []

    def add_machine(self, service: str, zone: str) -> Machine:
        """Adds a machine whose node is not started yet."""
        machine = Machine(self, len(self.machines), service, zone)
        self.machines.append(machine)
        return machine

    def add_upstream(self, machine: Machine, instance_id: str) -> Upstream:
        """Starts an upstream beside a node."""
        upstream = Upstream(machine, instance_id, self.record)
        self.upstreams.append(upstream)
        return upstream

    def put_configuration(
        self, version: int, routes: list[dict[str, Any]]
    ) -> None:
        """Writes a configuration, as the operator does."""
        self.store.put("op/config", make_configuration(version, routes))
        names = ", ".join(route["Metadata"]["Name"] for route in routes)
        self.record.write(f"operator: r{version} acknowledged, routes {names}")

    def wait_ready(self, *machines: Machine) -> None:
        """Waits until nodes are ready.

        Raises:
            CouldNotRunError: they are not ready in time.
        """
        for machine in machines or tuple(self.machines):
            if not wait_until(machine.is_ready, _STARTUP_S):
                raise CouldNotRunError(f"{machine.name} is not ready")
            self.record.write(f"{machine.name}: ready")

    def end(self) -> None:
        """Ends all processes that this case started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Returns whether a condition holds in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        gevent.sleep(0.02)
    return True


def make_request(
    route: str,
    request_id: str,
    method: bytes = b"GET",
    body: bytes = b"",
    deadline_ms: int = 5000,
) -> bytes:
    """Returns the bytes of a client's request."""
    return http1.format_request(
        method,
        f"/{route}/2f".encode(),
        [
            (b"host", HOST_NAME.encode()),
            (b"x-attempt-id", request_id.encode()),
            (b"x-deadline-ms", str(deadline_ms).encode()),
        ],
        body,
    )


def send_request(
    record: Record,
    machine: Machine,
    route: str,
    request_id: str,
    method: bytes = b"GET",
) -> int:
    """Sends one request on a new connection.

    Returns:
        The status of the answer, 0 if there was none.
    """
    record.write(f"client: {request_id} /{route}/ sent to {machine.name}")
    try:
        conn = http1.open_connection(*machine.outbound, timeout_s=1.0)
    except errors.BackendError:
        record.write(f"client: {request_id}: no connection")
        return 0
    try:
        conn.send(make_request(route, request_id, method))
        with gevent.Timeout(6.0):
            status = conn.receive(False, 1 << 20).status
    except (errors.BackendError, gevent.Timeout) as exc:
        record.write(f"client: {request_id}: no answer ({exc})")
        return 0
    finally:
        conn.close()
    record.write(f"client: {request_id}: {status}")
    return status


def run_case(
    folder: pathlib.Path, play: Callable[[Installation, bool], bool]
) -> int:
    """Plays a case; returns the exit code of its script.

    Args:
        folder: folder of the case.
        play: plays it, with or without the disruption; returns whether the
            rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"trouble: {trouble}")
    script = gevent.getcurrent()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(
            number,
            lambda: gevent.kill(script, CouldNotRunError("stopped")),
        )
    try:
        with tempfile.TemporaryDirectory() as temporary:
            installation = Installation(record, pathlib.Path(temporary))
            try:
                with gevent.Timeout(MAX_DURATION_S):
                    held = play(installation, trouble)
            finally:
                installation.end()
                _keep_logs(installation)
    except (Exception, gevent.Timeout) as exc:
        # An uncaught exception would end the script with status 1, as a broken
        # rule does.
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        return COULD_NOT_RUN
    record.write("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def _keep_logs(installation: Installation) -> None:
    """Copies the nodes' logs to the folder that `LOGS` names, if any."""
    target = os.environ.get("LOGS")
    if not target:
        return
    for path in installation.folder.glob("*.log"):
        (pathlib.Path(target) / path.name).write_bytes(path.read_bytes())


def _machine_host(index: int) -> str:
    """Returns the loopback address of a machine."""
    return f"127.0.1.{_FIRST_MACHINE + index}"


def _find_base_port() -> int:
    """Returns the first of ten ports that are free on all addresses."""
    hosts = [_STORE_HOST, *map(_machine_host, range(_MAX_MACHINES))]
    for _ in range(50):
        base = random.randrange(12_000, 30_000, 10)
        try:
            for host in hosts:
                for offset in range(10):
                    with socket.socket() as sock:
                        sock.bind((host, base + offset))
        except OSError:
            continue
        return base
    raise CouldNotRunError("no free ports")
