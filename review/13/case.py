"""Bodies within `MaxBodyBytes` take a node beyond `MemoryMb`.

The stand-in of the platform kills a process whose resident memory exceeds
`MemoryMb`, and starts it again.
"""

import pathlib
import signal
import sys

import gevent
import msgspec

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

import harness_3  # noqa: E402

from flamingolug import errors  # noqa: E402
from flamingolug import http1  # noqa: E402
from flamingolug_standins import documents  # noqa: E402

#: Limit of a process, `MemoryMb`; taken as the larger unit.
MEMORY_BYTES = 300 * 1024 * 1024
#: `MaxBodyBytes` of the configuration, and the bodies that clients send.
MAX_BODY_BYTES = 67_108_864
LARGE_BODY_BYTES = 60 * 1024 * 1024
SMALL_BODY_BYTES = 60 * 1024
UPLOADS = 5
#: Bytes a second of one upload; all together take half of the machine's link.
UPLOAD_BYTES_PER_S = 12_500_000
#: Clients with kept connections, and the work of their requests, seconds.
KEPT_CLIENTS = 8
WORK_S = 0.3
#: Requests on kept connections that may end without an answer.
ALLOWED_LOST = 3
PAGE_BYTES = 4096


def rss_bytes(machine: harness_3.Machine) -> int:
    """Returns the resident memory of the node."""
    assert machine.process is not None
    try:
        text = pathlib.Path(f"/proc/{machine.process.pid}/statm").read_text()
    except OSError:
        return 0
    return int(text.split()[1]) * PAGE_BYTES


class Platform:
    """Kills and restarts a node whose memory exceeds the limit."""

    def __init__(
        self, machine: harness_3.Machine, record: harness_3.Record
    ) -> None:
        """Starts to watch the node."""
        self.kills = 0
        self.peak_bytes = 0
        self._machine = machine
        self._record = record
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops watching."""
        self._task.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(0.005)
            size = rss_bytes(self._machine)
            self.peak_bytes = max(self.peak_bytes, size)
            if size <= MEMORY_BYTES:
                continue
            self.kills += 1
            self._record.write(
                f"{self._machine.name}: memory {size >> 20} MiB, limit "
                f"{MEMORY_BYTES >> 20} MiB",
                True,
            )
            self._machine.signal(signal.SIGKILL)
            self._machine.wait_end()
            gevent.sleep(0.5)
            self._machine.start()
            gevent.sleep(2.0)


class KeptClient:
    """Sends one request after the other on a kept connection."""

    def __init__(
        self, name: str, machine: harness_3.Machine, record: harness_3.Record
    ) -> None:
        """Starts sending."""
        #: Requests that ended with a closed connection instead of an answer.
        self.unanswered: list[str] = []
        self.answered = 0
        self._name = name
        self._machine = machine
        self._record = record
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops sending."""
        self._task.kill()

    def _run(self) -> None:
        conn: http1.Connection | None = None
        number = 0
        while True:
            number += 1
            request_id = f"{self._name}-{number}"
            try:
                if conn is None:
                    conn = http1.open_connection(*self._machine.outbound, 1.0)
            except errors.BackendError:
                gevent.sleep(0.2)
                continue
            try:
                conn.send(make_request("read", request_id, b"GET", b""))
                response = conn.receive(False, 1 << 20)
            except errors.BackendError as exc:
                self.unanswered.append(request_id)
                self._record.write(f"request {request_id}: {exc}")
                conn.close()
                conn = None
                continue
            self.answered += response.status == 200
            self._record.write(f"request {request_id}: {response.status}")
            if not response.reusable:
                conn.close()
                conn = None


def make_request(
    route: str, request_id: str, method: bytes, body: bytes
) -> bytes:
    """Returns the bytes of a request."""
    return http1.format_request(
        method,
        f"/{route}/x".encode(),
        [
            (b"host", documents.HOST.encode()),
            (b"x-attempt-id", request_id.encode()),
            (b"x-deadline-ms", b"12000"),
        ],
        body,
    )


def upload(
    name: str, machine: harness_3.Machine, record: harness_3.Record, size: int
) -> None:
    """Sends a request with a body of `size` bytes at the rate of a link."""
    data = make_request("write", name, b"POST", b"x" * size)
    try:
        stream = http1.open_stream(*machine.outbound, 1.0)
    except OSError as exc:
        record.write(f"upload {name}: {exc}", True)
        return
    step = UPLOAD_BYTES_PER_S // 50
    try:
        for start in range(0, len(data), step):
            stream.send_all(data[start : start + step])
            gevent.sleep(0.02)
        head = stream.recv(65536)
        record.write(f"upload {name}: {head[:40]!r}", True)
    except OSError as exc:
        record.write(f"upload {name}: {exc}", True)
    finally:
        stream.close()


def play(case: harness_3.Case) -> bool:
    """Returns whether more than three requests get no answer."""
    routes = [
        documents.make_route("read", "east"),
        documents.make_route(
            "write", "east", Kind="non_idempotent", TimeoutMs=12000
        ),
    ]
    document = msgspec.json.decode(documents.make_document(3, routes))
    for resource in document["Resources"]:
        if resource["ResourceType"] == "Limits":
            resource["Spec"]["MaxBodyBytes"] = MAX_BODY_BYTES
            resource["Spec"]["HeaderTimeoutMs"] = 3000
    case.store.put("op/config", msgspec.json.encode(document))
    front = case.add_machine("front")
    east = case.add_machine("east")
    for machine in (front, east):
        machine.wait_ready()
        machine.report_regularly()
        case.wait_entry(machine)
    east.upstream.service_s = WORK_S
    east.upstream.slots = 54
    gevent.sleep(3.0)
    watch = Platform(front, case.record)
    clients = [
        KeptClient(f"kept-{number}", front, case.record)
        for number in range(KEPT_CLIENTS)
    ]
    gevent.sleep(3.0)
    size = LARGE_BODY_BYTES if case.trouble else SMALL_BODY_BYTES
    gevent.joinall(
        [
            gevent.spawn(upload, f"upload-{number}", front, case.record, size)
            for number in range(UPLOADS)
        ]
    )
    gevent.sleep(5.0)
    for client in clients:
        client.stop()
    watch.stop()
    ran = set(east.upstream.executed_ids)
    lost = [
        each for client in clients for each in client.unanswered if each in ran
    ]
    case.record.write(
        f"peak memory {watch.peak_bytes >> 20} MiB, {watch.kills} kills by "
        f"the platform; {sum(each.answered for each in clients)} requests on "
        f"kept connections answered, {len(lost)} ran and ended without an "
        "answer",
        True,
    )
    return len(lost) > ALLOWED_LOST


if __name__ == "__main__":
    sys.exit(harness_3.run_case(FOLDER, play))
