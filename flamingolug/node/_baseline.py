"""Routing without overload control: round robin, three attempts, no limits.

The setting `control: none` selects it. It is the baseline of measurements.
"""

import itertools
from collections.abc import Callable

from flamingolug import calls
from flamingolug import membership
from flamingolug import telemetry

MAX_ATTEMPTS = 3
_FAILURE_STATUSES = frozenset({500, 502, 503, 504})


class RoundRobin:
    """Sends calls to the upstreams of a service in turn."""

    def __init__(
        self,
        members: membership.Membership,
        send: Callable[[membership.Member, calls.Call], calls.Outcome],
    ) -> None:
        """Creates a router.

        Args:
            members: membership that lists the upstreams.
            send: sends one attempt.
        """
        self._members = members
        self._send = send
        self._sequence = itertools.count()

    def route(self, call: calls.Call) -> calls.Outcome:
        """Returns the outcome of the last of at most three attempts."""
        outcome = calls.not_run(
            telemetry.Refusal.NO_UPSTREAM, "route", call.service
        )
        attempts = 0
        for _ in range(MAX_ATTEMPTS):
            upstreams = self._members.table.of_service(call.service)
            if not upstreams:
                break
            member = upstreams[next(self._sequence) % len(upstreams)]
            outcome = self._send(member, call)
            attempts += outcome.attempts
            if (
                outcome.verdict is calls.Verdict.ANSWERED
                and outcome.status not in _FAILURE_STATUSES
            ):
                break
        return outcome._replace(attempts=attempts)
