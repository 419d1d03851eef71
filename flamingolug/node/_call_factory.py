"""Creates calls from HTTP requests.

A root call enters the fleet here. A child call is made by a backend server
for a request that it is handling, its parent request.
"""

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
from flamingolug.node import _message_codec
from flamingolug.node import _outcomes

#: Maximum number of idempotency keys remembered to detect repeated requests.
MAX_RECENT_KEYS = 20_000
#: Step reported in refusals: the part of the node that refused the call.
_STEP = "entry"
_TIMESTAMPED_UUID_VERSION = 7
#: Number of bits below the 48-bit time stamp of a version 7 UUID.
_UUID_TIME_SHIFT = 80
#: Maximum difference between the clocks of callers and nodes, in seconds.
MAX_CLOCK_SKEW_S = 2.0


class HttpRequest(NamedTuple):
    """An HTTP request as received."""

    method: str
    #: Path and query string.
    target: str
    #: Pairs of name, in lower case, and value.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Network address of the caller.
    caller_address: str

    def header(self, name: str) -> str:
        """Returns the value of a header, '' when it is absent.

        The name is not case-sensitive.
        """
        lowercase_name = name.lower()
        for header_name, value in self.headers:
            if header_name == lowercase_name:
                return value
        return ""


class CallFactory:
    """Creates calls from HTTP requests."""

    def __init__(
        self,
        incarnation: int,
        in_flight: _inflight.InFlightRequests,
        timers: timing.Timers,
        next_id: Callable[[], int],
    ) -> None:
        """Starts without recorded callers and keys."""
        self._unix_time = timers.unix_time
        self._incarnation = incarnation
        self._in_flight = in_flight
        self._now = timers.now
        self._next_id = next_id
        self._shares = policy.FairShares()
        self._recent_keys: dict[str, None] = {}

    def decay_fair_shares(self) -> None:
        """Decays the request counts of callers; call it once a second."""
        self._shares.decay()

    def parent_of(self, req: HttpRequest) -> _inflight.ParentRequest | None:
        """Returns the parent of a request, None for a root call.

        Raises:
            RefusedError: the parent is not in flight at this node.
        """
        token = req.header(calls.HEADER_CONTEXT)
        if not token:
            return None
        parent = self._in_flight.find(token)
        if parent is None:
            raise errors.RefusedError(telemetry.Refusal.PARENT_GONE, step=_STEP)
        return parent

    def make_root_call(
        self, req: HttpRequest, active: configuration.ActiveManifest
    ) -> calls.Call:
        """Returns the call for a request that enters the fleet here.

        Raises:
            RefusedError: the service or kind is unknown, or a header is
                malformed.
        """
        kind, target = find_kind(req, active.manifest)
        caller = req.header(calls.HEADER_CALLER) or req.caller_address
        key = req.header(calls.HEADER_KEY)
        timeout_ms = min(_timeout_ms(req, kind), kind.deadline_ms)
        key_created_at = key_creation_time(key, self._unix_time())
        if key:
            key = _outcomes.scoped_key(caller, kind.name, key)
        root_id = key or f"{self._incarnation:x}-{self._next_id():x}"
        tie_break = policy.tie_break_of(
            root_id, self._shares.record(caller), self._record_key(key)
        )
        return calls.Call(
            root_id=root_id,
            root_kind=kind.name,
            kind=kind.name,
            service=kind.service,
            depth=0,
            level=_message_codec.level_of(active, kind.name, 0, tie_break),
            tie_break=tie_break,
            method=req.method,
            target=target,
            headers=calls.forwardable_headers(req.headers),
            body=req.body,
            key=key,
            key_created_at=key_created_at,
            caller=caller,
            deadline=self._now() + timeout_ms / 1000.0,
            allowance=kind.attempts,
            non_idempotent=kind.non_idempotent,
        )

    def make_child_call(
        self,
        req: HttpRequest,
        parent: _inflight.ParentRequest,
        active: configuration.ActiveManifest,
    ) -> calls.Call:
        """Returns the call that a backend server makes for a parent request.

        Return unused attempts with `parent.end_child_call`.

        Raises:
            RefusedError: the service or kind is unknown, or a header is
                malformed.
        """
        kind, target = find_kind(req, active.manifest)
        parent_call = parent.call
        timeout_s = _timeout_ms(req, kind) / 1000.0
        allowance = parent.reserve_attempts(kind.name, active.manifest)
        ordinal = parent.begin_child_call(kind.name)
        key = req.header(calls.HEADER_KEY)
        if not key and kind.non_idempotent:
            # The key is derived, so that a retry of the parent request makes
            # its calls with the same keys.
            key = (
                f"{parent_call.root_id}/{parent_call.kind}"
                f"/{kind.name}/{ordinal}"
            )
        if key:
            key = _outcomes.scoped_key(parent_call.root_id, kind.name, key)
        return calls.Call(
            root_id=parent_call.root_id,
            root_kind=parent_call.root_kind,
            kind=kind.name,
            service=kind.service,
            depth=parent_call.depth + 1,
            level=_message_codec.level_of(
                active,
                parent_call.root_kind,
                parent_call.depth + 1,
                parent_call.tie_break,
            ),
            tie_break=parent_call.tie_break,
            method=req.method,
            target=target,
            headers=calls.forwardable_headers(req.headers),
            body=req.body,
            key=key,
            key_created_at=parent_call.key_created_at,
            caller=parent_call.caller,
            deadline=min(parent_call.deadline, self._now() + timeout_s),
            allowance=allowance,
            non_idempotent=kind.non_idempotent,
        )

    def _record_key(self, key: str) -> bool:
        """Records a key; returns whether it was seen recently."""
        if not key:
            return False
        if key in self._recent_keys:
            return True
        if len(self._recent_keys) >= MAX_RECENT_KEYS:
            del self._recent_keys[next(iter(self._recent_keys))]
        self._recent_keys[key] = None
        return False


def find_kind(
    req: HttpRequest, current_manifest: manifest.Manifest
) -> tuple[manifest.Kind, str]:
    """Returns the kind of a request and its target on the backend server.

    Raises:
        RefusedError: the service or the kind is unknown.
    """
    service, slash, rest = req.target.lstrip("/").partition("/")
    target = slash + rest or "/"
    kind_name = req.header(calls.HEADER_KIND)
    kind: manifest.Kind | None
    if kind_name:
        kind = current_manifest.kinds.get(kind_name)
    else:
        path = target.partition("?")[0]
        kind = current_manifest.find_kind(service, req.method, path)
    if kind is None or kind.service != service:
        raise errors.RefusedError(
            telemetry.Refusal.UNKNOWN_KIND, step=_STEP, peer=service
        )
    return kind, target


def key_creation_time(key: str, unix_time_s: float) -> float:
    """Returns the creation time in a UUID version 7 key (RFC 9562).

    Returns:
        Seconds since the Unix epoch. 0 when the key contains no time, or a
        time more than `MAX_CLOCK_SKEW_S` in the future, as from a caller whose
        clock is wrong.
    """
    try:
        uuid_value = uuid.UUID(key)
    except ValueError:
        return 0.0
    if uuid_value.version != _TIMESTAMPED_UUID_VERSION:
        return 0.0
    key_created_at = (uuid_value.int >> _UUID_TIME_SHIFT) / 1000.0
    return (
        key_created_at
        if key_created_at <= unix_time_s + MAX_CLOCK_SKEW_S
        else 0.0
    )


def _timeout_ms(req: HttpRequest, kind: manifest.Kind) -> float:
    """Returns the time-out set by the caller, else that of the kind.

    Raises:
        RefusedError: the value is not a number, not positive, or at least 1e9
            milliseconds (11.6 days), such as infinity.
    """
    text = req.header(calls.HEADER_DEADLINE)
    if not text:
        return kind.deadline_ms
    try:
        timeout_ms = float(text)
    except ValueError:
        timeout_ms = -1.0
    if not 0.0 < timeout_ms < 1e9:
        raise errors.RefusedError(
            telemetry.Refusal.BAD_REQUEST,
            step=f"{_STEP}.{calls.HEADER_DEADLINE}",
        )
    return timeout_ms
