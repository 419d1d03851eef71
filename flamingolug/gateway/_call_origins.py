"""Distinguishes calls of backend servers from requests of callers.

Callers run beside every backend server, so their requests enter at nodes of
all services. A route whose requests enter at nodes of some services only is
called by those services while they process requests of their own.
"""

from collections.abc import Mapping

#: Calls that must be expected of absent services together before they count.
#: Services that make their part of the calls are then absent by chance once in
#: 150 decisions.
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
#: The same if it is only one service: after a failure the nodes of one service
#: may be gone from a zone.
MIN_ABSENT_PART_OF_ONE = 0.3
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
        all_upstreams = sum(upstreams.values())
        if len(upstreams) < 2 or not all_upstreams:
            return False
        counts = self._counts.get(route, {})
        absent: list[int] = []
        for service, count in upstreams.items():
            expected = total * count / all_upstreams
            if counts.get(service, 0) >= MIN_PRESENCE_RATIO * expected:
                continue
            if service == origin_service:
                return False
            absent.append(count)
        absent_part = sum(absent) / all_upstreams
        if total * absent_part < MIN_EXPECTED_CALLS:
            return False
        if len(absent) == 1:
            return absent_part > MIN_ABSENT_PART_OF_ONE
        return absent_part > MIN_ABSENT_PART


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
