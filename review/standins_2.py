"""Stand-ins for the platform, the upstreams and the clients of a deployment.

Everything runs in one asyncio process on loopback addresses. The nodes are the
project's own program, each in a process of its own, started with the command
of the deploy file.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
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
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
Headers = dict[str, str]


def now() -> float:
    """Returns the monotonic clock reading in seconds."""
    return time.monotonic()


class Record:
    """Writes one JSON object a line to `record.txt` of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        """Truncates the file."""
        self._file = path.open("w", encoding="utf-8")
        self._started = now()

    def write(self, event: str, **fields: object) -> None:
        """Writes an event with the seconds since the start."""
        line = {"t": round(now() - self._started, 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response."""

    first_line: str
    headers: Headers
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Returns start line and headers, None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError("ended in a head") from exc
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_message(
    reader: asyncio.StreamReader, is_response: bool
) -> Message | None:
    """Returns the next message, None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    first_line, headers = head
    if headers.get("transfer-encoding") == "chunked":
        parts: list[bytes] = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            parts.append(data[:-2])
        return Message(first_line, headers, b"".join(parts))
    length = int(headers.get("content-length", "0"))
    if is_response and "content-length" not in headers:
        status = int(first_line.split()[1])
        if status not in (204, 304):
            return Message(first_line, headers, await reader.read())
    return Message(first_line, headers, await reader.readexactly(length))


def format_message(first_line: str, headers: Headers, body: bytes) -> bytes:
    """Returns a message with a content length."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store.

    Attributes:
        mode: "up", "busy" (503) or "silent" (accepts calls and does and
            answers nothing).
        delay_s: seconds before a call is handled.
    """

    def __init__(self, host: str, port: int) -> None:
        """Creates an empty store."""
        self.address = (host, port)
        self.mode = "up"
        self.delay_s = 0.0
        #: Listening hosts at which calls get no response. A response that is
        #: due meanwhile is lost, and its connection returns nothing further.
        self.silent_hosts: set[str] = set()
        #: Listening hosts at which calls get 503; nothing is done then.
        self.busy_hosts: set[str] = set()
        #: Clock reading of the last lease renewal by listening host.
        self.renewed_at: dict[str, float] = {}
        #: Number of responses that were lost, by path.
        self.lost: collections.Counter[str] = collections.Counter()
        #: Seconds for which changes are kept for watches.
        self.history_s = 20.0
        #: Clock reading of the last check of the configuration (a watch that
        #: doesn't wait) by listening host.
        self.checked_at: dict[str, float] = {}
        self.revision = 10
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        #: Revision, key, value (None: deleted) and time of each kept change.
        self.events: collections.deque[tuple[int, str, bytes | None, float]] = (
            collections.deque()
        )
        #: Revision of the last change that is no longer kept.
        self._dropped = 0
        self._last_lease = 7000
        self._changed = asyncio.Event()

    def host_for(self, index: int) -> str:
        """Returns the listening host for the machine of an index."""
        return f"127.0.0.{100 + index}"

    async def start(self, machines: int) -> None:
        """Starts to listen, at an address for each machine."""
        for index in range(machines):
            await asyncio.start_server(
                self._serve, self.host_for(index), self.address[1]
            )
        self._task = asyncio.create_task(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; returns the revision."""
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.events.append((self.revision, key, value, now()))
        self._notify()
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append((self.revision, key, None, now()))
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item[2] == lease:
                self.delete(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            while self.events and self.events[0][3] < now() - self.history_s:
                self._dropped = self.events.popleft()[0]
            for lease, (ends_at, _) in list(self.leases.items()):
                if ends_at < now() and self.mode == "up":
                    self._end_lease(lease)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info("sockname")[0]

        async def lose_if_silent(path: str) -> None:
            if self.mode == "silent" or host in self.silent_hosts:
                self.lost[path] += 1
                await asyncio.sleep(3600)

        with contextlib.suppress(OSError, EOFError):
            while (req := await read_message(reader, False)) is not None:
                path = req.first_line.split()[1].partition("?")[0]
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await lose_if_silent(path)
                if "Prefix=op/config" in req.first_line and (
                    "WaitMs=0 " in req.first_line
                ):
                    self.checked_at[host] = now()
                if path.startswith("/v1/kv-keep"):
                    self.renewed_at[host] = now()
                if self.mode == "busy" or host in self.busy_hosts:
                    status, value = 503, {}
                else:
                    status, value = await self._handle(req)
                await lose_if_silent(path)
                writer.write(
                    format_message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json"},
                        json.dumps(value).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _handle(self, req: Message) -> tuple[int, dict[str, Any]]:
        method, target, _ = req.first_line.split()
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(req.body) if req.body else {}
        if path == "/v1/kv-key":
            if args["Key"] not in self.items:
                return 404, {"AsOf": self.revision}
            return 200, {**self._item(args["Key"]), "AsOf": self.revision}
        if path == "/v1/kv-range":
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(args["Prefix"])
                and key > args.get("after", "")
            ]
            return 200, {
                "items": [self._item(key) for key in keys[:500]],
                "HasMore": len(keys) > 500,
                "AsOf": self.revision,
            }
        if path == "/v1/kv-watch":
            return await self._watch(args)
        if path == "/v1/kv-txn":
            return self._txn(body)
        return self._handle_lease(method, path, body)

    def _handle_lease(
        self, method: str, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/v1/kv-lease":
            self._last_lease += 1
            ttl_s = body["TtlMs"] / 1000.0
            self.leases[self._last_lease] = (now() + ttl_s, ttl_s)
            return 200, {"Lease": self._last_lease, "TtlMs": body["TtlMs"]}
        prefix, _, lease_id = path.rpartition("/")
        if prefix == "/v1/kv-keep":
            if int(lease_id) not in self.leases:
                return 404, {}
            ttl_s = self.leases[int(lease_id)][1]
            self.leases[int(lease_id)] = (now() + ttl_s, ttl_s)
            return 200, {"TtlMs": int(ttl_s * 1000)}
        if prefix == "/v1/kv-lease-end" and method == "DELETE":
            self._end_lease(int(lease_id))
            return 200, {}
        return 404, {}

    def _item(self, key: str) -> dict[str, Any]:
        value, revision, lease = self.items[key]
        return {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": revision,
            "CreatedAt": revision,
            "Lease": lease,
        }

    async def _watch(self, args: Headers) -> tuple[int, dict[str, Any]]:
        after = int(args["after"])
        ends_at = now() + int(args["WaitMs"]) / 1000.0
        while True:
            if after < self._dropped:
                return 410, {}
            events: list[dict[str, Any]] = []
            for revision, key, value, _ in self.events:
                if revision <= after or not key.startswith(args["Prefix"]):
                    continue
                event: dict[str, Any] = {"Key": key, "Revision": revision}
                if value is None:
                    event["Deleted"] = True
                else:
                    event["Value"] = base64.b64encode(value).decode()
                    event["CreatedAt"] = revision
                    event["Lease"] = 0
                events.append(event)
            left_s = ends_at - now()
            if events or left_s <= 0 or self.mode != "up":
                return 200, {"events": events, "AsOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.5))

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body.get("ExpectedRev", [])
        for row in rows:
            current = self.items.get(row["Key"], (b"", 0, 0))[1]
            if current != row["Revision"]:
                items = [
                    self._item(each["Key"])
                    for each in rows
                    if each["Key"] in self.items
                ]
                return 412, {"items": items}
        for row in body.get("Writes", []):
            if row.get("Lease") and row["Lease"] not in self.leases:
                return 404, {}
        for row in body.get("Writes", []):
            value = base64.b64decode(row["Value"])
            self.put(row["Key"], value, row.get("Lease", 0))
        for key in body.get("Deletes", []):
            self.delete(key)
        return 200, {"Revision": self.revision}


@dataclasses.dataclass
class Run:
    """One request that an upstream began to run."""

    request_id: str
    upstream: str
    service: str
    caller: str
    method: str
    target: str
    body: bytes
    deadline_ms: int
    started_at: float
    ended_at: float = 0.0
    #: "answered", "dropped" or "expired".
    end: str = ""


class Upstream:
    """One application upstream beside a node.

    Attributes:
        work_s: returns the seconds of work of a request.
        respond: returns status and body of a request that ran.
        state: "ready", "draining" or "left".
        reports: whether liveness reports are sent.
    """

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        record: Record,
        *,
        slots: int = 8,
        upstream_id: str = "",
    ) -> None:
        """Creates an upstream that is not listening."""
        self.service = service
        self.address = address
        self.id = upstream_id or f"i-{random.randrange(16**8):08x}"
        self.slots = slots
        self.work_s: Callable[[Message], float] = lambda req: 0.05
        self.respond: Callable[[Message], tuple[int, bytes]] = lambda req: (
            200,
            b"answer to " + _id_of(req).encode(),
        )
        #: Called with a request that ran, the response and the writer; returns
        #: True if it has written what the upstream sends instead.
        self.tamper: (
            Callable[[Message, bytes, asyncio.StreamWriter], Awaitable[bool]]
            | None
        ) = None
        self.state = "ready"
        self.reports = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs: list[Run] = []
        #: Clock reading of the acknowledgement of a leaving state.
        self.left_ack_at = 0.0
        self._control = control
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(slots)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and to report."""
        self._slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 20
        )
        self._task = asyncio.create_task(self._report_forever())

    async def crash(self) -> None:
        """Ends without a notice."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report(self, state: str = "") -> int:
        """Sends a liveness report; returns the status, 0 for none in 1 s."""
        self.state = state or self.state
        self.sequence += 1
        return await self.post_report(self.state, self.sequence)

    async def post_report(self, state: str, sequence: int) -> int:
        """Sends the report of a given state and sequence number."""
        body = {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "born": self.born,
        }
        return await self._post("heartbeat", json.dumps(body).encode())

    async def deregister(self) -> int:
        """Sends a leave notice; returns the status, 0 for none in 1 s."""
        self.reports = False
        return await self._post(
            "deregister", json.dumps({"born": self.born}).encode()
        )

    async def _post(self, action: str, body: bytes) -> int:
        try:
            status, _, _ = await asyncio.wait_for(
                ask(
                    self._control,
                    format_message(
                        f"POST /v1/instances/{self.id}/{action} HTTP/1.1",
                        {
                            "Host": "control",
                            "Content-Type": "application/json",
                        },
                        body,
                    ),
                ),
                1.0,
            )
        except (OSError, EOFError, TimeoutError):
            return 0
        if status == 200 and (action == "deregister" or b'"draining"' in body):
            self.left_ack_at = self.left_ack_at or now()
            self._record.write("leave_acknowledged", upstream=self.id)
        return status

    async def _report_forever(self) -> None:
        while True:
            if self.reports:
                await self.report()
            await asyncio.sleep(1.5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_message(reader, False)) is not None:
                if not await self._answer(req, reader, writer):
                    break
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        req: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = _id_of(req)
        method, target, _ = req.first_line.split()
        expected = req.headers.get("x-expected-instance", self.id)
        if expected != self.id:
            self._write(writer, 421, {"X-Not-Executed": "1"}, request_id, b"")
            return True
        if not request_id:
            self._write(writer, 400, {"X-Not-Executed": "1"}, "", b"")
            return True
        async with self._slots:
            run = Run(
                request_id,
                self.id,
                self.service,
                req.headers.get("x-caller-service", ""),
                method,
                target,
                req.body if len(req.body) < 65536 else b"",
                int(req.headers.get("x-deadline-ms", "0")),
                now(),
            )
            self.runs.append(run)
            self._record.write(
                "run", id=request_id, upstream=self.id, bytes=len(req.body)
            )
            self.running += 1
            closed = asyncio.create_task(_wait_for_close(reader))
            try:
                work_s = min(self.work_s(req), run.deadline_ms / 1000.0)
                done, _ = await asyncio.wait({closed}, timeout=work_s)
            finally:
                self.running -= 1
                if not closed.done():
                    closed.cancel()
            run.ended_at = now()
            if done:
                run.end = "dropped"
                self._record.write("dropped", id=request_id)
                return False
            if self.work_s(req) > run.deadline_ms / 1000.0:
                run.end = "expired"
                status, body = 504, b"expired"
            else:
                run.end = "answered"
                status, body = self.respond(req)
        headers = {
            "X-Response-Seal": f"seal.{request_id}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }
        data = self._format(status, headers, request_id, body)
        self._record.write("served", id=request_id, status=status)
        if self.tamper is not None and await self.tamper(req, data, writer):
            return not writer.is_closing()
        writer.write(data)
        await writer.drain()
        return True

    def _format(
        self, status: int, headers: Headers, request_id: str, body: bytes
    ) -> bytes:
        if request_id:
            headers = {"X-Attempt-Id": request_id, **headers}
        return format_message(
            f"HTTP/1.1 {status} X",
            {**headers, "X-Instance-Id": self.id, "Keep-Alive": "timeout=10"},
            body,
        )

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: Headers,
        request_id: str,
        body: bytes,
    ) -> None:
        writer.write(self._format(status, headers, request_id, body))


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Returns when the caller closes the connection; consumes nothing."""
    while not reader.at_eof() and reader.exception() is None:
        # A caller sends nothing before the answer.
        await asyncio.sleep(0.01)


def _id_of(req: Message) -> str:
    return req.headers.get("x-attempt-id", "")


async def ask(
    address: tuple[str, int], data: bytes
) -> tuple[int, Headers, bytes]:
    """Sends one request on a new connection; returns the response."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        writer.write(data)
        response = await read_message(reader, True)
    finally:
        writer.close()
    if response is None:
        raise ConnectionError("closed without a response")
    status = int(response.first_line.split()[1])
    return status, response.headers, response.body


@dataclasses.dataclass
class Attempt:
    """One client attempt and what the client saw."""

    request_id: str
    route: str
    node: str
    sent_at: float
    #: Status, 0 if the connection ended without an answer.
    status: int = -1
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytes = b""
    answered_at: float = 0.0
    error: str = ""


def make_request(
    route: str,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    *,
    deadline_ms: int = 5000,
    close: bool = False,
) -> bytes:
    """Returns the bytes of a client's request."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }
    if close:
        headers["Connection"] = "close"
    return format_message(f"{method} /{route}/x?y=1 HTTP/1.1", headers, body)


@dataclasses.dataclass
class NodeAddresses:
    """Addresses of one machine."""

    host: str
    base: int

    @property
    def outbound(self) -> tuple[str, int]:
        """Where clients connect."""
        return (self.host, self.base)

    @property
    def ready(self) -> tuple[str, int]:
        """Where readiness is asked."""
        return (self.host, self.base + 1)

    @property
    def control(self) -> tuple[str, int]:
        """Where the upstream reports."""
        return (self.host, self.base + 2)

    @property
    def app(self) -> tuple[str, int]:
        """Where the upstream listens."""
        return (self.host, self.base + 3)

    @property
    def link(self) -> int:
        """First internal port."""
        return self.base + 10


_SETTINGS = """\
NodeName = "{name}"
Role = "node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "{host}"
Zone = "z1"
Region = "r1"
InternalPorts = [{link}, {last}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "local"
Entry = "local"
HeartbeatMs = 1500
AppAddr = "{host}:{app}"
Service = "{service}"
[Zones]
z1 = "r1"
[ListenAddrs]
Inbound = "{host}:{inbound}"
Outbound = "{host}:{outbound}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
CpuShare = 0.86
CpuCores = 2
MemoryMb = {memory_mb}
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


class Machine:
    """One machine: a node process and the upstream beside it.

    The platform ends a process that exceeds `MemoryMb`, and starts one that
    ended again after a short delay.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        addresses: NodeAddresses,
        store: Store,
        store_host: str,
        record: Record,
        directory: pathlib.Path,
        memory_mb: int = 300,
    ) -> None:
        """Creates a machine whose node is not running."""
        self.name = name
        self.service = service
        self.addresses = addresses
        self.store_host = store_host
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        #: Clock readings at which the platform ended the process for memory.
        self.memory_kills: list[float] = []
        #: Clock readings of unexpected exits.
        self.exits: list[float] = []
        self.restart_delay_s = 0.3
        self.upstream = Upstream(
            service, addresses.app, addresses.control, record
        )
        self._record = record
        self._store = store
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.supervised = True
        self._expected_end = False

    @property
    def log(self) -> str:
        """Output of the node so far."""
        return self._log.read_text(errors="replace")

    def start_node(self) -> None:
        """Starts the node with the command of the deploy file."""
        addr = self.addresses
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                host=addr.host,
                link=addr.link,
                last=addr.link + 1,
                app=addr.app[1],
                service=self.service,
                inbound=addr.base + 4,
                outbound=addr.outbound[1],
                ready=addr.ready[1],
                control=addr.control[1],
                memory_mb=self.memory_mb,
                store=f"{self.store_host}:{self._store.address[1]}",
            )
        )
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )
        command = shlex.split(deploy["roles"]["node"]["run"])
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(REPOSITORY / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "FLAMINGOLUG_BOOT": str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._expected_end = False
        self._record.write("node_started", node=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node."""
        assert self.process is not None
        if self.process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._expected_end = True
        self._record.write("signal", node=self.name, signal=number.name)
        self.process.send_signal(number)

    def check(self) -> None:
        """Ends a process that exceeds its memory; notes one that ended."""
        process = self.process
        if process is None:
            return
        if process.poll() is not None:
            self.process = None
            if not self._expected_end:
                self.exits.append(now())
            self._record.write(
                "node_ended",
                node=self.name,
                status=process.returncode,
                expected=self._expected_end,
            )
            if self.supervised:
                asyncio.get_running_loop().call_later(
                    self.restart_delay_s, self._start_again
                )
            return
        resident_mb = _resident_mb(process.pid)
        self.peak_mb = max(self.peak_mb, resident_mb)
        if resident_mb > self.memory_mb:
            self.memory_kills.append(now())
            self._record.write(
                "memory_exceeded", node=self.name, resident_mb=resident_mb
            )
            process.kill()

    def _start_again(self) -> None:
        if self.supervised and self.process is None:
            self.start_node()

    def close(self) -> None:
        """Ends the node."""
        self.supervised = False
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def _resident_mb(pid: int) -> float:
    """Returns the peak of the resident memory of a process, megabytes."""
    with contextlib.suppress(OSError):
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return round(int(line.split()[1]) * 1024 / 1e6, 1)
    return 0.0


def make_route(name: str, service: str, **changes: object) -> dict[str, Any]:
    """Returns a route of the configuration."""
    spec: dict[str, object] = {
        "Hostname": HOST,
        "Prefix": f"/{name}/",
        "Kind": "safe",
        "TimeoutMs": 5000,
        "TargetLatencyMs": 1500,
        "MaxAttempts": 2,
        "Priority": 1,
        "Service": service,
    }
    spec.update(changes)
    return {"ResourceType": "Routes", "Metadata": {"Name": name}, "Spec": spec}


class Deployment:
    """A store, machines and their clients."""

    def __init__(
        self, services: list[str], record: Record, memory_mb: int = 300
    ) -> None:
        """Creates machines, one for each name of a service."""
        self._directory = tempfile.TemporaryDirectory()
        directory = pathlib.Path(self._directory.name)
        base = _free_base_port()
        self.record = record
        self.store = Store("127.0.0.9", base)
        self.machines = [
            Machine(
                name=f"m{index}",
                service=service,
                addresses=NodeAddresses(f"127.0.0.{10 + index}", base),
                store=self.store,
                store_host=self.store.host_for(index),
                record=record,
                directory=directory,
                memory_mb=memory_mb,
            )
            for index, service in enumerate(services)
        ]
        self.services = services
        #: Clock reading from which on all nodes are ready.
        self.ready_at = 0.0
        self.version = 3
        self.attempts: list[Attempt] = []
        #: Requests of `keep_sending` whose connection ended unanswered.
        self.cut: list[Attempt] = []
        self._number = 0
        self._prefix = f"{random.randrange(16**6):06x}"

    def put_configuration(self, routes: list[dict[str, Any]]) -> None:
        """Writes the next version of the configuration."""
        self.version += 2
        resources = [
            *routes,
            *(
                {
                    "ResourceType": "Services",
                    "Metadata": {"Name": name},
                    "Spec": {
                        "HealthPath": "/health",
                        "MaxConnections": 604,
                        "Protocol": "h1",
                        "Tls": False,
                    },
                }
                for name in sorted(set(self.services))
            ),
            {
                "ResourceType": "Limits",
                "Metadata": {},
                "Spec": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 67108864,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        ]
        document = {"Version": f"r{self.version}", "Resources": resources}
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write("configuration", version=self.version)

    async def start(self) -> None:
        """Starts everything; waits until each node serves each service."""
        await self.store.start(len(self.machines))
        for machine in self.machines:
            await machine.upstream.start()
            machine.start_node()
        self._task = asyncio.create_task(self._check_forever())
        for machine in self.machines:
            await wait_until(lambda m=machine: self.is_ready(m), 30.0)
        self.ready_at = now()
        await asyncio.sleep(4.0)

    async def is_ready(self, machine: Machine) -> bool:
        """Returns whether a node answers 200 at its ready address."""
        try:
            status, _, _ = await asyncio.wait_for(
                ask(
                    machine.addresses.ready,
                    b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n",
                ),
                1.0,
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    async def _check_forever(self) -> None:
        while True:
            for machine in self.machines:
                machine.check()
            await asyncio.sleep(0.01)

    def new_id(self) -> str:
        """Returns an attempt id that was not used before."""
        self._number += 1
        return f"{self._prefix}{self._number:010x}"

    async def send(
        self,
        machine: Machine,
        route: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5000,
    ) -> Attempt:
        """Sends one request on a new connection; waits for its end."""
        attempt = Attempt(self.new_id(), route, machine.name, now())
        self.attempts.append(attempt)
        self.record.write(
            "sent",
            id=attempt.request_id,
            route=route,
            node=machine.name,
            method=method,
            bytes=len(body),
        )
        data = make_request(
            route,
            attempt.request_id,
            method,
            body,
            deadline_ms=deadline_ms,
            close=True,
        )
        try:
            status, headers, answer = await asyncio.wait_for(
                ask(machine.addresses.outbound, data),
                deadline_ms / 1000.0 + 3.0,
            )
            attempt.status, attempt.headers = status, headers
            attempt.body = answer
        except (OSError, EOFError, TimeoutError) as exc:
            attempt.status = 0
            attempt.error = repr(exc)
        attempt.answered_at = now()
        self.record.write(
            "answered",
            id=attempt.request_id,
            status=attempt.status,
            error=attempt.error,
            took_s=round(attempt.answered_at - attempt.sent_at, 4),
        )
        return attempt

    async def keep_sending(self, machine: Machine, route: str) -> None:
        """Sends one request after the other on kept connections.

        Requests whose connection ends without an answer are added to `cut`.
        """
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    *machine.addresses.outbound
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            while True:
                attempt = Attempt(self.new_id(), route, machine.name, now())
                self.record.write(
                    "sent", id=attempt.request_id, node=machine.name
                )
                try:
                    writer.write(
                        make_request(
                            route, attempt.request_id, "POST", b"small"
                        )
                    )
                    response = await read_message(reader, True)
                except (OSError, EOFError):
                    response = None
                status = int(response.first_line.split()[1]) if response else 0
                self.record.write(
                    "answered", id=attempt.request_id, status=status
                )
                if response is None:
                    self.cut.append(attempt)
                    break
                if response.headers.get("connection") == "close":
                    break
            writer.close()
            await asyncio.sleep(0.2)

    def runs(self) -> list[Run]:
        """Returns what all upstreams ran."""
        return [run for each in self.machines for run in each.upstream.runs]

    def close(self) -> None:
        """Ends all nodes."""
        for machine in self.machines:
            machine.close()
        self._directory.cleanup()


async def cancel(tasks: list[asyncio.Task[None]]) -> None:
    """Cancels tasks and waits for their end."""
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def wait_until(
    condition: Callable[[], Awaitable[bool]], limit_s: float
) -> None:
    """Waits for a condition.

    Raises:
        RuntimeError: it does not hold in time.
    """
    ends_at = now() + limit_s
    while not await condition():
        if now() > ends_at:
            raise RuntimeError("the case could not run: condition not met")
        await asyncio.sleep(0.05)


def _free_base_port() -> int:
    """Returns the first of 20 ports that are free on loopback."""
    for _ in range(200):
        base = random.randrange(12000, 30000, 20)
        socks: list[socket.socket] = []
        try:
            for host in ("127.0.0.10", "127.0.0.100"):
                for offset in range(13):
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((host, base + offset))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        return base
    raise RuntimeError("no free ports")


def run_case(
    folder: pathlib.Path,
    play: Callable[[Record, bool], Awaitable[list[str]]],
) -> int:
    """Plays a case; returns its exit status.

    Args:
        folder: folder of the case.
        play: plays it, given whether there is a disruption; returns a line for
            each way in which the rule was broken.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # The end of this process ends the nodes too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            broken = await asyncio.wait_for(play(record, trouble), 110.0)
        except (Exception, asyncio.CancelledError) as exc:
            record.write("could_not_run", error=repr(exc))
            print(f"could not run: {exc!r}", file=sys.stderr)
            return 2
        for line in broken:
            record.write("broken", line=line)
            print(f"broken: {line}")
        record.write("end", broken=len(broken), trouble=trouble)
        if not broken:
            print("held")
        return 1 if broken else 0

    async def main() -> None:
        status = await run()
        sys.stdout.flush()
        # Tasks of connections may still wait; they end with the process.
        os._exit(status)

    asyncio.run(main())
    return 2
