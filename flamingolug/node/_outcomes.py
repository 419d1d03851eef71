"""Outcomes of keyed non-idempotent calls, at the owner of their keys."""

import hashlib
from collections.abc import Callable
from typing import cast
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import calls
from flamingolug import peers
from flamingolug import telemetry

#: Seconds that the outcome of a key is available, from the start of its call.
RETENTION_S = 600.0
#: Records above this number are removed by the next `remove_expired`, oldest
#: first. Records of running calls are not removed.
MAX_RECORDS = 50_000
#: Answers with a larger body are recorded as an unknown outcome.
MAX_STORED_BODY_BYTES = 65_536
#: The same limit for answers handed over to another node with their keys.
MAX_MOVED_BODY_BYTES = 4_096
#: Step reported in refusals and outcomes: the part of the node that decided.
_STEP = "outcomes"


class _Record(NamedTuple):
    """Record of the call with one key."""

    #: Digest of the call, see `fingerprint`.
    fingerprint: bytes
    #: When the call began, in monotonic seconds.
    begun_at: float
    result: "event.AsyncResult[calls.Outcome]"


class Outcomes:
    """Runs the call of each key at most once and records its outcome."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without records."""
        self._now = now
        self._records: dict[str, _Record] = {}
        self._dispatched: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def run(
        self, call: calls.Call, run: Callable[[calls.Call], calls.Outcome]
    ) -> calls.Outcome:
        """Runs `call`, or returns the recorded outcome of its key.

        A key that is reused for a different call is refused.
        """
        record = self._records.get(call.key)
        if record is None:
            record = self._begin(call, run)
            return self._wait(record, call)
        if record.fingerprint != fingerprint(call):
            return calls.not_run(telemetry.Refusal.KEY_REUSED, _STEP)
        # The call that runs reports its attempts; a repeated one uses none.
        return self._wait(record, call)._replace(attempts=0)

    def lookup(self, key: str) -> calls.Outcome | None:
        """Returns the outcome of a key, None when it has no record.

        The outcome of a call that is still running is unknown.
        """
        record = self._records.get(key)
        if record is None:
            return None
        if record.result.ready():
            return record.result.get()
        return calls.unknown("running", _STEP, "", 0)

    def has_record(self, key: str) -> bool:
        """Returns whether a key has a record at this node."""
        return key in self._records

    def record_dispatched(self, key: str) -> None:
        """Records that a call is about to be sent to the backend server."""
        self._dispatched.add(key)

    def export_records(
        self, selects: Callable[[str], bool]
    ) -> list[peers.OutcomeRecord]:
        """Returns the records of the keys for which `selects` holds."""
        now = self._now()
        exported: list[peers.OutcomeRecord] = []
        for key, record in self._records.items():
            if not selects(key):
                continue
            if not record.result.ready() and key not in self._dispatched:
                # The call is still queued. It is refused when its ownership is
                # checked again before sending, because the key has moved.
                continue
            outcome = calls.unknown("running", _STEP, "", 0)
            if record.result.ready():
                outcome = _without_large_body(
                    cast(calls.Outcome, record.result.get()),
                    MAX_MOVED_BODY_BYTES,
                )
            exported.append(
                {
                    "key": key,
                    "print": record.fingerprint,
                    "verdict": str(outcome.verdict),
                    "status": outcome.status,
                    "headers": list(outcome.headers),
                    "body": outcome.body,
                    "reason": outcome.reason,
                    "age": now - record.begun_at,
                }
            )
        return exported

    def import_records(self, records: list[peers.OutcomeRecord]) -> None:
        """Adds the records of keys that moved to this node."""
        for message in records:
            if message["key"] in self._records:
                continue
            record = _Record(
                message["print"],
                self._now() - message["age"],
                event.AsyncResult(),
            )
            record.result.set(
                calls.Outcome(
                    verdict=calls.Verdict(message["verdict"]),
                    attempts=0,
                    status=message["status"],
                    headers=tuple(
                        (name, value) for name, value in message["headers"]
                    ),
                    body=message["body"],
                    reason=message["reason"],
                    step=_STEP,
                )
            )
            self._records[message["key"]] = record

    def remove_expired(self) -> None:
        """Removes records past their retention or above `MAX_RECORDS`."""
        oldest = self._now() - RETENTION_S
        for key, record in list(self._records.items()):
            if record.begun_at >= oldest and (
                len(self._records) <= MAX_RECORDS
            ):
                break
            if not record.result.ready():
                continue
            del self._records[key]

    def _begin(
        self, call: calls.Call, run: Callable[[calls.Call], calls.Outcome]
    ) -> _Record:
        record = _Record(fingerprint(call), self._now(), event.AsyncResult())
        self._records[call.key] = record
        # A separate greenlet, so that the call continues and its outcome is
        # recorded when the caller disconnects or times out.
        gevent.spawn(self._run_and_record, record, call, run)
        return record

    def _run_and_record(
        self,
        record: _Record,
        call: calls.Call,
        run: Callable[[calls.Call], calls.Outcome],
    ) -> None:
        try:
            outcome = run(call)
        except Exception as exc:
            outcome = calls.unknown(repr(exc), _STEP, "", call.allowance)
        self._dispatched.discard(call.key)
        if outcome.verdict is calls.Verdict.NOT_RUN:
            del self._records[call.key]
        elif len(outcome.body) > MAX_STORED_BODY_BYTES:
            # Callers that already wait get the whole answer; later ones get an
            # unknown outcome.
            trimmed = _Record(
                record.fingerprint, record.begun_at, event.AsyncResult()
            )
            trimmed.result.set(
                _without_large_body(outcome, MAX_STORED_BODY_BYTES)
            )
            self._records[call.key] = trimmed
        record.result.set(outcome)

    def _wait(self, record: _Record, call: calls.Call) -> calls.Outcome:
        remaining_s = max(call.deadline - self._now(), 0.0)
        try:
            return cast(calls.Outcome, record.result.get(timeout=remaining_s))
        except gevent.Timeout:
            return calls.unknown("running", _STEP, "", call.allowance)


def _without_large_body(
    outcome: calls.Outcome, max_bytes: int
) -> calls.Outcome:
    """Returns the outcome, or an unknown one if its body is too large.

    An answer cannot be repeated without its body, so a repeated call or an
    outcome query is only informed that the call ran.
    """
    if len(outcome.body) <= max_bytes:
        return outcome
    return calls.unknown("answer-not-kept", _STEP, "", outcome.attempts)


def fingerprint(call: calls.Call) -> bytes:
    """Returns a digest of all that must be equal when a key is reused."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.kind}\n{call.method}\n{call.target}\n".encode())
    digest.update(call.body)
    return digest.digest()


def scoped_key(caller: str, kind: str, key: str) -> str:
    """Returns the stored form of a key, scoped to its caller and kind."""
    return hashlib.blake2b(
        f"{caller}\n{kind}\n{key}".encode(), digest_size=16
    ).hexdigest()
