"""Distinguishes calls of backend servers from requests of callers.

Callers run beside every backend server, so their requests enter at nodes of
all services. A route whose requests enter at nodes of some services only is
called by those services while they process requests of their own.
"""

from collections.abc import Collection

#: Calls of a route that are required for a decision. After so many calls, the
#: probability that a service with a fifth of all instances counts as absent by
#: chance is about 1 in 700; with five services, a service counts as absent if
#: it made at most one call.
MIN_DECISION_CALLS = 40
#: Calls after which the counts are halved, so that a route whose callers change
#: is detected.
WINDOW_CALLS = 2000
#: Ratio of the calls of one service to the mean of all services below which the
#: service counts as absent. It is above zero because tests of the configuration
#: occasionally reach every node.
MIN_PRESENCE_RATIO = 0.2


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

    def is_nested(self, route: str, services: Collection[str]) -> bool:
        """Returns whether the calls of a route come from backend servers.

        Args:
            route: name of the route.
            services: all services that have an upstream.
        """
        total = self._totals.get(route, 0)
        if total < MIN_DECISION_CALLS or len(services) < 2:
            return False
        counts = self._counts[route]
        min_calls = MIN_PRESENCE_RATIO * total / len(services)
        return any(counts.get(service, 0) < min_calls for service in services)
