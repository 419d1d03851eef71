"""Tells calls of backend servers from requests of callers.

Callers are beside every backend server, so their requests begin at nodes of
all services. A route whose requests begin beside some services only is called
by those services while they serve requests of their own.
"""

from collections.abc import Collection

#: Calls of a route before a judgement: by then a service with a fifth of all
#: instances has been seen with all but one chance in ten thousand.
MIN_CALLS = 40
#: Calls after which old counts are halved, so that moved routes are noticed.
WINDOW_CALLS = 2000
#: Calls of one service over the mean of all below which it counts as absent;
#: tests of the configuration reach every node now and then.
PRESENT_SHARE = 0.2


class CallOrigins:
    """Counts at which services the requests of each route begin."""

    def __init__(self) -> None:
        """Starts without counts."""
        self._counts: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}

    def record(self, route: str, caller: str) -> None:
        """Counts one call."""
        counts = self._counts.setdefault(route, {})
        counts[caller] = counts.get(caller, 0) + 1
        total = self._totals.get(route, 0) + 1
        if total > WINDOW_CALLS:
            total = 0
            for name in counts:
                counts[name] //= 2
                total += counts[name]
        self._totals[route] = total

    def is_nested(self, route: str, services: Collection[str]) -> bool:
        """Returns whether requests of a route come from backend servers.

        Args:
            route: name of the route.
            services: all services that have an upstream.
        """
        total = self._totals.get(route, 0)
        if total < MIN_CALLS or len(services) < 2:
            return False
        counts = self._counts[route]
        least = PRESENT_SHARE * total / len(services)
        return any(counts.get(service, 0) < least for service in services)
