"""A call, and the three outcomes that it can have."""

import enum
from typing import NamedTuple

from flamingolug import telemetry


class Verdict(enum.StrEnum):
    """What is known of a call once it has ended."""

    #: A backend server gave its complete answer.
    ANSWERED = "answered"
    #: No backend server ran it, and none will.
    NOT_RUN = "not-run"
    #: It may have run.
    UNKNOWN = "unknown"


class Call(NamedTuple):
    """One call to one service, at the node that handles it."""

    #: Identity of the request that entered the fleet.
    root_id: str
    #: Kind of that request; it decides importance at every hop.
    root_kind: str
    kind: str
    service: str
    #: Backend servers that already work for the request.
    depth: int
    #: Shedding level, lower is more important.
    level: int
    #: Step of the request within its class of work.
    tie_break: int
    method: str
    #: Path and query, as the backend server will see them.
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Idempotency key, scoped to caller and kind; empty for none.
    key: str
    #: Seconds since the Unix epoch when the key was made, 0 when unknown.
    key_created_at: float
    caller: str
    #: Monotonic seconds of this process.
    deadline: float
    #: Attempts that the call may use, all hops below included.
    allowance: int
    non_idempotent: bool

    def needs_owner(self) -> bool:
        """Returns whether only the owner of its key may run it."""
        return self.non_idempotent and bool(self.key)


class Outcome(NamedTuple):
    """How a call ended."""

    verdict: Verdict
    #: Attempts used, all hops below included.
    attempts: int
    #: HTTP status of the answer, 0 without one.
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    #: Reason of a refusal or of an unknown outcome.
    reason: str = ""
    #: Step and peer at which it arose.
    step: str = ""
    peer: str = ""


def answered(
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    attempts: int,
) -> Outcome:
    """Returns the outcome of a call with a complete answer."""
    return Outcome(Verdict.ANSWERED, attempts, status, headers, body)


def not_run(
    reason: telemetry.Refusal, step: str, peer: str = "", attempts: int = 0
) -> Outcome:
    """Returns the outcome of a call that provably did not run."""
    return Outcome(
        Verdict.NOT_RUN, attempts, reason=str(reason), step=step, peer=peer
    )


def unknown(reason: str, step: str, peer: str, attempts: int) -> Outcome:
    """Returns the outcome of a call that may have run."""
    return Outcome(
        Verdict.UNKNOWN, attempts, reason=reason, step=step, peer=peer
    )
