"""Route lookup and weighted choice of the service for a request."""

from flamingolug.gateway import _model


class RouteTable:
    """Routes of one configuration, ordered for lookup."""

    def __init__(self, cfg: _model.Configuration) -> None:
        """Sorts the routes of each host by descending prefix length."""
        self._hosts: dict[bytes, list[tuple[bytes, _model.Route]]] = {}
        self._credits: dict[str, dict[str, float]] = {}
        for route in cfg.routes:
            pairs = self._hosts.setdefault(route.host.lower().encode(), [])
            pairs.append((route.prefix.encode(), route))
        for pairs in self._hosts.values():
            pairs.sort(key=lambda pair: len(pair[0]), reverse=True)

    def find(self, host: bytes, target: bytes) -> _model.Route | None:
        """Returns the route with the longest matching prefix, None for none."""
        host = host.lower()
        pairs = self._hosts.get(host) or self._hosts.get(
            host.rpartition(b":")[0]
        )
        if pairs is None:
            return None
        path = target.partition(b"?")[0]
        for prefix, route in pairs:
            if path.startswith(prefix):
                return route
        return None

    def choose_service(self, route: _model.Route) -> str:
        """Returns the service for the next request of a route.

        Uses smooth weighted round robin, so that the split matches the weights
        over short sequences of requests too.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0][0]
        credits = self._credits.setdefault(
            route.name,
            dict.fromkeys((name for name, _ in route.weighted_services), 0.0),
        )
        total = 0.0
        for name, weight in route.weighted_services:
            credits[name] += weight
            total += weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen
