"""Outcomes of keyed non-idempotent calls at the node that owns the keys."""

import hashlib
from collections.abc import Callable
from typing import cast
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import calls
from flamingolug import peers
from flamingolug import telemetry

#: Seconds that an outcome can be asked for.
RETENTION_S = 600.0
#: Outcomes kept at most; the oldest go first.
MAX_RECORDS = 50_000
#: Larger answers are kept without their body.
MAX_KEPT_BODY_BYTES = 65_536
#: The same for answers that move to another node with their keys.
MAX_MOVED_BODY_BYTES = 4_096
STEP = "outcomes"


class _Record(NamedTuple):
    """What this node knows of one key."""

    fingerprint: bytes
    begun_at: float
    result: "event.AsyncResult[calls.Outcome]"


class Outcomes:
    """Runs each key at most once and remembers what became of it."""

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
        """Runs `call` unless its key was seen, else returns its outcome."""
        record = self._records.get(call.key)
        if record is None:
            record = self._begin(call, run)
            return self._wait(record, call)
        if record.fingerprint != fingerprint(call):
            return calls.not_run(telemetry.Refusal.KEY_REUSED, STEP)
        return self._wait(record, call)._replace(attempts=0)

    def ask(self, key: str) -> calls.Outcome | None:
        """Returns the outcome of a key, None when nothing is known.

        A call that still runs counts as unknown.
        """
        record = self._records.get(key)
        if record is None:
            return None
        if record.result.ready():
            return record.result.get()
        return calls.unknown("running", STEP, "", 0)

    def knows(self, key: str) -> bool:
        """Returns whether a key has a record here."""
        return key in self._records

    def record_dispatched(self, key: str) -> None:
        """Notes that the backend server is about to get a call."""
        self._dispatched.add(key)

    def export(self, moves: Callable[[str], bool]) -> list[peers.RecordMessage]:
        """Returns the records of the keys for which `moves` holds."""
        now = self._now()
        found: list[peers.RecordMessage] = []
        for key, record in self._records.items():
            if not moves(key):
                continue
            if not record.result.ready() and key not in self._dispatched:
                # It still waits, and will find that the key has moved.
                continue
            outcome = calls.unknown("running", STEP, "", 0)
            if record.result.ready():
                outcome = _without_large_body(
                    cast(calls.Outcome, record.result.get()),
                    MAX_MOVED_BODY_BYTES,
                )
            found.append(
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
        return found

    def take_over(self, records: list[peers.RecordMessage]) -> None:
        """Adds the records of keys that moved here."""
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
                    step=STEP,
                )
            )
            self._records[message["key"]] = record

    def forget_old(self) -> None:
        """Drops records past their retention."""
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
        # A task of its own: the call goes on when its caller gives up, so
        # that the outcome can be asked for.
        gevent.spawn(self._finish, record, call, run)
        return record

    def _finish(
        self,
        record: _Record,
        call: calls.Call,
        run: Callable[[calls.Call], calls.Outcome],
    ) -> None:
        try:
            outcome = run(call)
        except Exception as exc:
            outcome = calls.unknown(repr(exc), STEP, "", call.allowance)
        self._dispatched.discard(call.key)
        if outcome.verdict is calls.Verdict.NOT_RUN:
            del self._records[call.key]
        elif len(outcome.body) > MAX_KEPT_BODY_BYTES:
            kept = _Record(
                record.fingerprint, record.begun_at, event.AsyncResult()
            )
            kept.result.set(_without_large_body(outcome, MAX_KEPT_BODY_BYTES))
            self._records[call.key] = kept
        record.result.set(outcome)

    def _wait(self, record: _Record, call: calls.Call) -> calls.Outcome:
        left_s = max(call.deadline - self._now(), 0.0)
        try:
            return cast(calls.Outcome, record.result.get(timeout=left_s))
        except gevent.Timeout:
            return calls.unknown("running", STEP, "", call.allowance)


def _without_large_body(
    outcome: calls.Outcome, max_bytes: int
) -> calls.Outcome:
    """Returns an outcome that is small enough to keep.

    An answer without its body is no whole answer: who asks again learns that
    the call ran, and not more.
    """
    if len(outcome.body) <= max_bytes:
        return outcome
    return calls.unknown("answer-not-kept", STEP, "", outcome.attempts)


def fingerprint(call: calls.Call) -> bytes:
    """Returns what a key must not be reused without."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.kind}\n{call.method}\n{call.target}\n".encode())
    digest.update(call.body)
    return digest.digest()


def scoped_key(caller: str, kind: str, key: str) -> str:
    """Returns the key as kept: bound to its caller and kind."""
    return hashlib.blake2b(
        f"{caller}\n{kind}\n{key}".encode(), digest_size=16
    ).hexdigest()
