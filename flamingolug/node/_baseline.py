"""The same path without control: round robin, three tries, no limits.

It serves as the baseline of measurements and is chosen by the setting
`control: none`.
"""

import itertools
from collections.abc import Callable

from flamingolug import calls
from flamingolug import membership
from flamingolug import telemetry

TRIES = 3
_FAILURES = frozenset({500, 502, 503, 504})


class RoundRobin:
    """Tries upstreams of a service in turn."""

    def __init__(
        self,
        members: membership.Membership,
        send: Callable[[membership.Member, calls.Call], calls.Outcome],
    ) -> None:
        """Creates a router.

        Args:
            members: where the upstreams are found.
            send: sends one attempt.
        """
        self._members = members
        self._send = send
        self._turn = itertools.count()

    def route(self, call: calls.Call) -> calls.Outcome:
        """Returns the outcome of the last of at most three tries."""
        outcome = calls.not_run(
            telemetry.Refusal.NO_UPSTREAM, "route", call.service
        )
        used = 0
        for _ in range(TRIES):
            members = self._members.table.of_service(call.service)
            if not members:
                break
            member = members[next(self._turn) % len(members)]
            outcome = self._send(member, call)
            used += outcome.attempts
            if (
                outcome.verdict is calls.Verdict.ANSWERED
                and outcome.status not in _FAILURES
            ):
                break
        return outcome._replace(attempts=used)
