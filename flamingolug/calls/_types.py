"""Calls and their outcomes."""

import enum
from typing import NamedTuple

from flamingolug import telemetry


class Verdict(enum.StrEnum):
    """Whether a call that has ended was run, as far as is known."""

    #: A backend server returned a complete response.
    ANSWERED = "answered"
    #: No backend server has run the call, and none will run it.
    NOT_RUN = "not-run"
    #: The call may have run.
    UNKNOWN = "unknown"


class Call(NamedTuple):
    """A call to a service, as seen by the node that handles it."""

    #: Identifier of the root request, which entered the fleet from outside.
    root_id: str
    #: Kind of the root request. It determines the shedding level at every hop.
    root_kind: str
    #: Kind of this call.
    kind: str
    service: str
    #: Number of calls above this one in its chain of calls; 0 for the call of
    #: the root request itself.
    depth: int
    #: Shedding level; a lower level is more important.
    level: int
    #: Orders requests of equal rank, nesting and worth density: 0 to
    #: `manifest.TIE_BREAK_STEPS - 1`, lower is more important.
    tie_break: int
    method: str
    #: Path and query that are sent to the backend server.
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Hash of the idempotency key and its scope: the kind and the caller, or
    #: for nested calls the kind and the root request. Empty without a key.
    key: str
    #: Time at which the key was created, seconds since the Unix epoch; 0 if
    #: unknown.
    key_created_at: float
    caller: str
    #: Deadline in monotonic seconds of this process.
    deadline: float
    #: Attempts that the call may use, including those of all calls made for it.
    allowance: int
    non_idempotent: bool

    def needs_owner(self) -> bool:
        """Returns whether only the owner of its idempotency key may run it.

        The owner is a node; see `flamingolug.ownership`.
        """
        return self.non_idempotent and bool(self.key)


class Outcome(NamedTuple):
    """The outcome of a call."""

    verdict: Verdict
    #: Attempts used, including those of all calls made for it.
    attempts: int
    #: HTTP status of the response, 0 if there is none.
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    #: Reason for a refusal or for an unknown outcome; empty if answered.
    reason: str = ""
    #: Processing step in which the reason arose.
    step: str = ""
    #: Name or address of the peer that the reason concerns.
    peer: str = ""


def answered(
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    attempts: int,
) -> Outcome:
    """Returns the outcome of a call with a complete response."""
    return Outcome(Verdict.ANSWERED, attempts, status, headers, body)


def not_run(
    reason: telemetry.Refusal, step: str, peer: str = "", attempts: int = 0
) -> Outcome:
    """Returns the outcome of a call that has not run and will not run."""
    return Outcome(
        Verdict.NOT_RUN, attempts, reason=str(reason), step=step, peer=peer
    )


def unknown(reason: str, step: str, peer: str, attempts: int) -> Outcome:
    """Returns the outcome of a call that may have run."""
    return Outcome(
        Verdict.UNKNOWN, attempts, reason=reason, step=step, peer=peer
    )
