"""Requests in progress at the local backend server.

With each call that the backend server makes for a request, it sends the
context header of that request. The table in this module maps the header to the
request and to what remains of its attempt allowance, so that parallel calls
take disjoint shares of the allowance.
"""

import secrets
from collections.abc import Callable

from flamingolug import calls
from flamingolug import manifest
from flamingolug import policy

_TOKEN_BYTES = 12


class ParentRequest:
    """A request in progress at the backend server.

    The calls that the backend server makes for it are its children.
    """

    def __init__(
        self, token: str, call: calls.Call, now: Callable[[], float]
    ) -> None:
        """Opens the request and deducts its own attempt from the allowance."""
        self.token = token
        self.call = call
        self.attempts_left = call.allowance - 1
        self.closed = False
        self._now = now
        self._begun_calls: dict[str, int] = {}
        self._running_children = 0
        self._child_time_since = 0.0
        self._child_time_s = 0.0

    def reserve_attempts(
        self, kind: str, current_manifest: manifest.Manifest
    ) -> int:
        """Reserves and returns the attempts that a child call may use."""
        # Attempts needed by the calls in the manifest that have not begun yet.
        later_needs: list[int] = []
        begun_calls = dict(self._begun_calls)
        begun_calls[kind] = begun_calls.get(kind, 0) + 1
        for child_kind in current_manifest.kinds[self.call.kind].calls:
            if begun_calls.get(child_kind, 0) > 0:
                begun_calls[child_kind] -= 1
                continue
            later_needs.append(current_manifest.attempts_needed(child_kind))
        attempts_needed = current_manifest.attempts_needed(kind)
        allowance = policy.allowance_for_child_call(
            self.attempts_left, attempts_needed, later_needs
        )
        self.attempts_left -= allowance
        return allowance

    def begin_child_call(self, kind: str) -> int:
        """Records the start of a child call.

        Returns:
            The ordinal of the call among the children of its kind.
        """
        ordinal = self._begun_calls.get(kind, 0)
        self._begun_calls[kind] = ordinal + 1
        if self._running_children == 0:
            self._child_time_since = self._now()
        self._running_children += 1
        return ordinal

    def end_child_call(self, unused_attempts: int) -> None:
        """Records the end of a child call and adds back its unused attempts."""
        self.attempts_left += unused_attempts
        self._running_children -= 1
        if self._running_children == 0:
            self._child_time_s += self._now() - self._child_time_since

    def child_time_s(self) -> float:
        """Returns the seconds in which child calls were in progress."""
        if self._running_children:
            return self._child_time_s + self._now() - self._child_time_since
        return self._child_time_s

    def attempts_used(self) -> int:
        """Returns the number of attempts used, including the request itself."""
        return self.call.allowance - self.attempts_left


class InFlightRequests:
    """All requests in progress at the backend server, by token."""

    def __init__(self, incarnation: int, now: Callable[[], float]) -> None:
        """Starts empty."""
        self._prefix = f"{incarnation:x}."
        self._now = now
        self._parents: dict[str, ParentRequest] = {}

    def __len__(self) -> int:
        return len(self._parents)

    def open(self, call: calls.Call) -> ParentRequest:
        """Opens a request under an unpredictable token."""
        token = self._prefix + secrets.token_hex(_TOKEN_BYTES)
        parent = ParentRequest(token, call, self._now)
        self._parents[token] = parent
        return parent

    def find(self, token: str) -> ParentRequest | None:
        """Returns the request with this token, None if it is not open."""
        return self._parents.get(token)

    def close(self, parent: ParentRequest) -> None:
        """Closes a request; its later child calls are refused."""
        parent.closed = True
        self._parents.pop(parent.token, None)
