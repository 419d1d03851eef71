"""Requests that the backend server beside this node works on.

The backend server passes the context header of a request on with each call
that it makes for it. This table finds the request again and holds what is
left of its attempt allowance, so that calls made in parallel draw disjoint
shares.
"""

import secrets
from collections.abc import Callable

from flamingolug import calls
from flamingolug import manifest
from flamingolug import policy

_TOKEN_BYTES = 12


class Parent:
    """One request that a backend server works on."""

    def __init__(
        self, token: str, call: calls.Call, now: Callable[[], float]
    ) -> None:
        """Opens the request; the attempt itself is paid already."""
        self.token = token
        self.call = call
        self.held = call.allowance - 1
        self.cancelled = False
        self._now = now
        self._begun: dict[str, int] = {}
        self._active = 0
        self._busy_since = 0.0
        self._busy_s = 0.0

    def take_share(self, kind: str, found: manifest.Manifest) -> int:
        """Takes the attempts that one call of the backend server may use."""
        later: list[int] = []
        left_out = dict(self._begun)
        left_out[kind] = left_out.get(kind, 0) + 1
        for child in found.kinds[self.call.kind].calls:
            if left_out.get(child, 0) > 0:
                left_out[child] -= 1
                continue
            later.append(found.attempts_needed(child))
        needed = found.attempts_needed(kind)
        share = policy.reserve_for_children(self.held, needed, later)
        self.held -= share
        return share

    def begin_child(self, kind: str) -> int:
        """Notes that a call begins; returns its number among its kind."""
        ordinal = self._begun.get(kind, 0)
        self._begun[kind] = ordinal + 1
        if self._active == 0:
            self._busy_since = self._now()
        self._active += 1
        return ordinal

    def end_child(self, unspent: int) -> None:
        """Notes that a call ended and takes back its unspent attempts."""
        self.held += unspent
        self._active -= 1
        if self._active == 0:
            self._busy_s += self._now() - self._busy_since

    def busy_s(self) -> float:
        """Returns the seconds in which calls of its own were in progress."""
        if self._active:
            return self._busy_s + self._now() - self._busy_since
        return self._busy_s

    def attempts_used(self) -> int:
        """Returns the attempts used, the request itself included."""
        return self.call.allowance - self.held


class InFlight:
    """All requests that the backend server works on, by token."""

    def __init__(self, incarnation: int, now: Callable[[], float]) -> None:
        """Starts empty."""
        self._prefix = f"{incarnation:x}."
        self._now = now
        self._parents: dict[str, Parent] = {}

    def __len__(self) -> int:
        return len(self._parents)

    def open(self, call: calls.Call) -> Parent:
        """Opens a request under a token that nobody can guess."""
        token = self._prefix + secrets.token_hex(_TOKEN_BYTES)
        parent = Parent(token, call, self._now)
        self._parents[token] = parent
        return parent

    def find(self, token: str) -> Parent | None:
        """Returns the request with this token."""
        return self._parents.get(token)

    def close(self, parent: Parent) -> None:
        """Closes a request; calls made for it later are refused."""
        parent.cancelled = True
        self._parents.pop(parent.token, None)
