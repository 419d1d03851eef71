"""Open-loop load generator: sends requests on a schedule, records outcomes.

Runs as a separate process: `python -m flamingolug_bench.load PLAN RESULT`.

A try is one sending of a request by its caller; callers retry on their own. An
attempt is one sending by the nodes to an upstream on behalf of a try.
"""

import gc
import pathlib
import random
import sys
import time
import uuid

import gevent
import msgspec

from flamingolug import calls
from flamingolug import errors
from flamingolug import web

_MAX_BODY_BYTES = 8_388_608
_OK = 200
_UUID_VERSION = 7
#: Default for responses without the attempts header.
_NO_ATTEMPTS = "0"


class Phase(msgspec.Struct):
    """A part of the schedule with a constant mean rate."""

    #: Seconds from the start of the schedule.
    begin_s: float
    end_s: float
    #: Mean requests per second; arrivals form a Poisson process.
    rate: float


class Stream(msgspec.Struct):
    """Requests of one kind from one group of callers."""

    kind: str
    service: str
    method: str
    path: str
    caller: str
    deadline_ms: int
    phases: list[Phase]
    #: Number of retries by the caller itself after a failure.
    retries: int = 0
    retry_delay_s: float = 0.05
    #: Whether requests carry an idempotency key.
    keyed: bool = False
    #: Whether each retry goes to the next node.
    wander: bool = True


class LoadPlan(msgspec.Struct):
    """The requests that one load process sends."""

    #: Addresses (host:port) to which requests are sent.
    nodes: list[str]
    streams: list[Stream]
    #: Unix time at which the schedule begins.
    begin_at: float
    seed: int


class Record(msgspec.Struct, array_like=True):
    """One request with all its tries."""

    kind: str
    caller: str
    #: Scheduled time, in seconds from the start of the schedule.
    scheduled_s: float
    #: Seconds from the scheduled time to the end of the last try.
    took_s: float
    #: Outcome of the last try: answered, not-run, unknown or error.
    outcome: str
    #: HTTP status of the last try, 0 without a response.
    status: int
    #: Reason header of the last try, or the step at which it failed.
    reason: str
    #: Attempts that the nodes report, summed over all tries.
    attempts: int
    #: Largest number of attempts that the nodes report for one try.
    attempts_max: int
    tries: int
    #: Idempotency key, empty for none.
    key: str
    #: Whether the body of the last response begins with the kind and number of
    #: this request.
    is_own_response: bool
    #: Bytes of the body of the last response.
    size: int
    #: Whether every try had the outcome `not-run`.
    all_not_run: bool


class LoadGenerator:
    """Sends the requests of a load plan and records their outcomes."""

    def __init__(self, plan: LoadPlan) -> None:
        """Creates a connection pool for each node."""
        self._plan = plan
        self.records: list[Record] = []
        self._pools: list[web.Pool] = []
        for address in plan.nodes:
            host, _, port = address.rpartition(":")
            # The pool keeps up to 256 unused connections.
            self._pools.append(web.Pool(host, int(port), 256))
        #: Start of the schedule on the monotonic clock.
        self._schedule_start = plan.begin_at - time.time() + time.monotonic()
        self._request_count = 0

    def run(self) -> None:
        """Runs all streams and returns when every request has ended."""
        tasks = [
            gevent.spawn(self._run_stream, stream_index, stream)
            for stream_index, stream in enumerate(self._plan.streams)
        ]
        gevent.joinall(tasks, raise_error=True)

    def _run_stream(self, stream_index: int, stream: Stream) -> None:
        rng = random.Random(f"{self._plan.seed}/{stream_index}")
        tasks: list[gevent.Greenlet[..., None]] = []
        for phase in stream.phases:
            if phase.rate <= 0.0:
                continue
            scheduled_s = phase.begin_s + rng.expovariate(phase.rate)
            while scheduled_s < phase.end_s:
                wait_s = self._schedule_start + scheduled_s - time.monotonic()
                if wait_s > 0.0:
                    gevent.sleep(wait_s)
                tasks.append(
                    gevent.spawn(
                        self._run_request, stream, scheduled_s, rng.random()
                    )
                )
                scheduled_s += rng.expovariate(phase.rate)
        gevent.joinall(tasks, raise_error=True)

    def _run_request(
        self, stream: Stream, scheduled_s: float, node_draw: float
    ) -> None:
        """Sends one request and the retries of its caller."""
        self._request_count += 1
        request_number = self._request_count
        key = ""
        if stream.keyed:
            key = make_key()
        record = Record(
            kind=stream.kind,
            caller=stream.caller,
            scheduled_s=scheduled_s,
            took_s=0.0,
            outcome="error",
            status=0,
            reason="",
            attempts=0,
            attempts_max=0,
            tries=0,
            key=key,
            is_own_response=False,
            size=0,
            all_not_run=True,
        )
        node_index = int(node_draw * len(self._pools))
        for try_index in range(stream.retries + 1):
            if try_index:
                gevent.sleep(stream.retry_delay_s)
                node_index += 1 if stream.wander else 0
            record.tries += 1
            pool = self._pools[node_index % len(self._pools)]
            self._send(stream, record, pool, request_number)
            if record.outcome == "answered" and record.status == _OK:
                break
        record.took_s = time.monotonic() - self._schedule_start - scheduled_s
        self.records.append(record)

    def _send(
        self,
        stream: Stream,
        record: Record,
        pool: web.Pool,
        request_number: int,
    ) -> None:
        headers = [
            (calls.HEADER_KIND, stream.kind),
            (calls.HEADER_CALLER, stream.caller),
        ]
        if record.key:
            headers.append((calls.HEADER_KEY, record.key))
        try:
            response = web.send_request(
                pool,
                stream.method,
                f"/{stream.service}{stream.path}?n={request_number}",
                headers,
                record.key.encode(),
                timeout_s=stream.deadline_ms / 1000.0 + 0.2,
                max_body_bytes=_MAX_BODY_BYTES,
            )
        except errors.FlamingolugError as exc:
            record.outcome = "error"
            record.reason = exc.step
            record.status = 0
            record.all_not_run = False
            return
        attempts = int(response.header(calls.HEADER_ATTEMPTS) or _NO_ATTEMPTS)
        record.attempts += attempts
        record.attempts_max = max(record.attempts_max, attempts)
        record.status = response.status
        record.outcome = response.header(calls.HEADER_OUTCOME) or "answered"
        record.reason = response.header(calls.HEADER_REASON)
        if record.outcome != "not-run":
            record.all_not_run = False
        expected = f"{stream.kind} n={request_number} ".encode()
        record.is_own_response = response.body.startswith(expected)
        record.size = len(response.body)


def make_key() -> str:
    """Returns an idempotency key: a UUID of version 7 with the current time."""
    bits = uuid.uuid4().int & ((1 << 76) - 1)
    bits |= int(time.time() * 1000.0) << 80
    bits |= _UUID_VERSION << 76
    # Sets the variant field to that of RFC 9562.
    bits = bits & ~(0b11 << 62) | 0b10 << 62
    return str(uuid.UUID(int=bits))


def main() -> None:
    """Entry point of a load process."""
    # The run is short. Pauses of the garbage collector would be measured as
    # latency of the nodes.
    gc.disable()
    plan = msgspec.json.decode(
        pathlib.Path(sys.argv[1]).read_bytes(), type=LoadPlan
    )
    generator = LoadGenerator(plan)
    generator.run()
    pathlib.Path(sys.argv[2]).write_bytes(
        msgspec.json.encode(generator.records)
    )


if __name__ == "__main__":
    main()
