"""Distinguishes calls of backend servers from requests of callers.

Callers run beside every backend server, so their requests enter at nodes of
all services. A route whose requests enter at nodes of some services only is
called by those services while they process requests of their own.
"""

from collections.abc import Mapping

#: Calls of a service that must be expected before it can count as absent. A
#: service that makes its part of the calls then counts as absent by chance once
#: in 150 decisions.
MIN_EXPECTED_CALLS = 5.0
#: Calls after which the counts are halved, so that a route whose callers change
#: is detected.
WINDOW_CALLS = 2000
#: Ratio of the calls of one service to those expected of it below which the
#: service counts as absent. It is above zero because tests of the configuration
#: occasionally reach every node.
MIN_PRESENCE_RATIO = 0.2
#: Part of all upstreams that the absent services must have together. A small
#: service may have no upstream in the zones from which calls come.
MIN_ABSENT_PART = 0.12
#: Votes for a route above which it counts as nested at an entry, and the
#: highest number of votes that is kept.
MIN_VOTES = 2
MAX_VOTES = 8


class CallOrigins:
    """Counts the requests of each route by the service where they enter."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}

    def record(self, route: str, origin_service: str) -> None:
        """Counts a call that entered at a node of `origin_service`."""
        counts = self._counts.setdefault(route, {})
        counts[origin_service] = counts.get(origin_service, 0) + 1
        total = self._totals.get(route, 0) + 1
        if total > WINDOW_CALLS:
            total = 0
            for name in counts:
                counts[name] //= 2
                total += counts[name]
        self._totals[route] = total

    def is_nested(
        self, route: str, origin_service: str, upstreams: Mapping[str, int]
    ) -> bool:
        """Returns whether a call comes from a backend server.

        Callers are expected in proportion to the upstreams, since there is a
        node beside each. On a nested route a call from a service that makes
        hardly any is a test of the configuration.

        Args:
            route: name of the route of the call.
            origin_service: service of the node where it entered.
            upstreams: number of upstreams of each service.
        """
        total = self._totals.get(route, 0)
        if total < MIN_EXPECTED_CALLS or len(upstreams) < 2:
            return False
        counts = self._counts[route]
        all_upstreams = sum(upstreams.values())
        absent = 0
        for service, count in upstreams.items():
            expected = total * count / all_upstreams
            if expected < MIN_EXPECTED_CALLS:
                continue
            if counts.get(service, 0) < MIN_PRESENCE_RATIO * expected:
                if service == origin_service:
                    return False
                absent += count
        return absent > MIN_ABSENT_PART * all_upstreams


class NestedRoutes:
    """Routes that the gates of upstreams report as nested.

    Each outcome is a vote. In a large fleet a gate gets few calls of a route,
    so some gates have not detected yet what others have.
    """

    def __init__(self) -> None:
        """Creates an instance without votes."""
        self._votes: dict[str, int] = {}

    def contains(self, route: str) -> bool:
        """Returns whether a route is nested."""
        return self._votes.get(route, 0) >= MIN_VOTES

    def record(self, route: str, nested: bool) -> None:
        """Counts the vote of a gate."""
        votes = self._votes.get(route, 0) + (1 if nested else -1)
        self._votes[route] = min(max(votes, 0), MAX_VOTES)
