"""Turns an HTTP request into a call: a fresh request, or one of a parent."""

import uuid
from collections.abc import Callable
from typing import NamedTuple

from flamingolug import calls
from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import policy
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _inflight
from flamingolug.node import _outcomes
from flamingolug.node import _wire

#: Request identities remembered to recognise repeated ones.
MAX_RECENT = 20_000
_STEP = "entry"
_TIMED_UUID_VERSION = 7
_UUID_TIME_SHIFT = 80
#: Seconds by which clocks of callers and nodes may differ.
MAX_CLOCK_SKEW_S = 2.0


class HttpRequest(NamedTuple):
    """A request as it came in."""

    method: str
    #: Path and query.
    target: str
    #: Names in lower case.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Address of the caller.
    peer: str

    def header(self, name: str) -> str:
        """Returns a header by name in any case, '' when absent."""
        wanted = name.lower()
        for key, value in self.headers:
            if key == wanted:
                return value
        return ""


class Entry:
    """Makes calls out of requests."""

    def __init__(
        self,
        incarnation: int,
        in_flight: _inflight.InFlight,
        timers: timing.Timers,
        next_id: Callable[[], int],
    ) -> None:
        """Starts without memory of callers."""
        self._unix_time = timers.unix_time
        self._incarnation = incarnation
        self._in_flight = in_flight
        self._now = timers.now
        self._next_id = next_id
        self._shares = policy.FairShares()
        self._recent: dict[str, None] = {}

    def end_window(self) -> None:
        """Forgets part of what callers did; call it once a second."""
        self._shares.decay()

    def parent_of(self, req: HttpRequest) -> _inflight.Parent | None:
        """Returns the request that this one is made for, if any.

        Raises:
            RefusedError: it names a request that is not in flight here.
        """
        token = req.header(calls.HEADER_CONTEXT)
        if not token:
            return None
        parent = self._in_flight.find(token)
        if parent is None:
            raise errors.RefusedError(telemetry.Refusal.PARENT_GONE, step=_STEP)
        return parent

    def fresh_call(
        self, req: HttpRequest, found: configuration.ActiveManifest
    ) -> calls.Call:
        """Returns the call of a request that enters the fleet here.

        Raises:
            RefusedError: unknown service or kind, or a malformed header.
        """
        kind, target = find_kind(req, found.manifest)
        caller = req.header(calls.HEADER_CALLER) or req.peer
        key = req.header(calls.HEADER_KEY)
        deadline_ms = min(_deadline_ms(req, kind), kind.deadline_ms)
        born_at = key_birth(key, self._unix_time())
        if key:
            key = _outcomes.scoped_key(caller, kind.name, key)
        root_id = key or f"{self._incarnation:x}-{self._next_id():x}"
        tie_break = policy.tie_break_of(
            root_id, self._shares.record(caller), self._is_repeated(key)
        )
        return calls.Call(
            root_id=root_id,
            root_kind=kind.name,
            kind=kind.name,
            service=kind.service,
            depth=0,
            level=_wire.level_of(found, kind.name, 0, tie_break),
            tie_break=tie_break,
            method=req.method,
            target=target,
            headers=calls.forwardable(req.headers),
            body=req.body,
            key=key,
            key_created_at=born_at,
            caller=caller,
            deadline=self._now() + deadline_ms / 1000.0,
            allowance=kind.attempts,
            non_idempotent=kind.non_idempotent,
        )

    def child_call(
        self,
        req: HttpRequest,
        parent: _inflight.Parent,
        found: configuration.ActiveManifest,
    ) -> calls.Call:
        """Returns a call that a backend server makes for its request.

        The caller must give back what is unspent through `end_child`.

        Raises:
            RefusedError: unknown service or kind, or a malformed header.
        """
        kind, target = find_kind(req, found.manifest)
        above = parent.call
        deadline_s = _deadline_ms(req, kind) / 1000.0
        share = parent.take_share(kind.name, found.manifest)
        ordinal = parent.begin_child(kind.name)
        key = req.header(calls.HEADER_KEY)
        if not key and kind.non_idempotent:
            # When the parent is tried again its calls get the same keys.
            key = f"{above.root_id}/{above.kind}/{kind.name}/{ordinal}"
        if key:
            key = _outcomes.scoped_key(above.root_id, kind.name, key)
        return calls.Call(
            root_id=above.root_id,
            root_kind=above.root_kind,
            kind=kind.name,
            service=kind.service,
            depth=above.depth + 1,
            level=_wire.level_of(
                found, above.root_kind, above.depth + 1, above.tie_break
            ),
            tie_break=above.tie_break,
            method=req.method,
            target=target,
            headers=calls.forwardable(req.headers),
            body=req.body,
            key=key,
            key_created_at=above.key_created_at,
            caller=above.caller,
            deadline=min(above.deadline, self._now() + deadline_s),
            allowance=share,
            non_idempotent=kind.non_idempotent,
        )

    def _is_repeated(self, key: str) -> bool:
        """Returns whether a key was seen lately, and remembers it."""
        if not key:
            return False
        if key in self._recent:
            return True
        if len(self._recent) >= MAX_RECENT:
            del self._recent[next(iter(self._recent))]
        self._recent[key] = None
        return False


def find_kind(
    req: HttpRequest, found: manifest.Manifest
) -> tuple[manifest.Kind, str]:
    """Returns the kind of a request and the target at its backend server.

    Raises:
        RefusedError: the service or the kind is unknown.
    """
    service, slash, rest = req.target.lstrip("/").partition("/")
    target = slash + rest or "/"
    named = req.header(calls.HEADER_KIND)
    kind: manifest.Kind | None
    if named:
        kind = found.kinds.get(named)
    else:
        path = target.partition("?")[0]
        kind = found.find_kind(service, req.method, path)
    if kind is None or kind.service != service:
        raise errors.RefusedError(
            telemetry.Refusal.UNKNOWN_KIND, step=_STEP, peer=service
        )
    return kind, target


def key_birth(key: str, wall_s: float) -> float:
    """Returns when a key was made, if it tells (UUID version 7, RFC 9562).

    Returns:
        Seconds since the Unix epoch; 0 when the key does not tell, or tells
        a time to come, which a caller with a wrong clock would do.
    """
    try:
        number = uuid.UUID(key)
    except ValueError:
        return 0.0
    if number.version != _TIMED_UUID_VERSION:
        return 0.0
    born_at = (number.int >> _UUID_TIME_SHIFT) / 1000.0
    return born_at if born_at <= wall_s + MAX_CLOCK_SKEW_S else 0.0


def _deadline_ms(req: HttpRequest, kind: manifest.Kind) -> float:
    """Returns the milliseconds that the caller grants."""
    text = req.header(calls.HEADER_DEADLINE)
    if not text:
        return kind.deadline_ms
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 < value < 1e9:
        raise errors.RefusedError(
            telemetry.Refusal.BAD_REQUEST,
            step=f"{_STEP}.{calls.HEADER_DEADLINE}",
        )
    return value
