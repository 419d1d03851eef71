"""Typed, immutable form of a manifest."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple


class Route(NamedTuple):
    """Selects the kind of HTTP requests that have no kind header."""

    #: HTTP method in upper case.
    method: str
    #: Prefix of the request path after its first segment, which is the name of
    #: the service: `/scents` selects all that begin with `/<service>/scents`.
    path: str


class Kind(NamedTuple):
    """One kind of requests to one service."""

    name: str
    #: Name of the service that handles requests of this kind.
    service: str
    #: None when only the kind header selects this kind.
    route: Route | None
    #: Urgency rank; 0 is the most urgent.
    rank: int
    #: Value of one complete response, in a unit that the operators choose.
    worth: float
    #: Whether executing a request of this kind twice can do harm.
    non_idempotent: bool
    #: Milliseconds that a caller waits for the complete response.
    deadline_ms: int
    #: Maximum attempts for one request, summed over its whole chain of calls.
    attempts: int
    #: Expected milliseconds for which a request occupies a slot of its backend
    #: server, without the calls that the server makes. The concurrency limit of
    #: the server is its number of slots.
    service_time_ms: float
    #: Names of the kinds that the backend server calls for each request of this
    #: kind; a kind that it calls several times is listed as often.
    calls: tuple[str, ...]


class Manifest(NamedTuple):
    """Services of a deployment and the kinds of requests to them."""

    deployment: str
    services: tuple[str, ...]
    #: Kinds by name.
    kinds: Mapping[str, Kind]

    def find_kind(self, service: str, method: str, path: str) -> Kind | None:
        """Returns the kind with the longest matching route, or None.

        Args:
            service: name of the service.
            method: HTTP method in upper case.
            path: request path after its first segment, see `Route.path`.
        """
        best: Kind | None = None
        best_length = -1
        for kind in self.kinds.values():
            route = kind.route
            if kind.service != service or route is None:
                continue
            if route.method != method or not path.startswith(route.path):
                continue
            if len(route.path) > best_length:
                best = kind
                best_length = len(route.path)
        return best

    def all_called_kinds(self, name: str) -> tuple[Kind, ...]:
        """Returns the direct and indirect callees of kind `name`, each once."""
        callees: dict[str, Kind] = {}
        pending = list(self.kinds[name].calls)
        while pending:
            callee_name = pending.pop()
            if callee_name in callees:
                continue
            callees[callee_name] = self.kinds[callee_name]
            pending.extend(self.kinds[callee_name].calls)
        return tuple(callees.values())

    def attempts_needed(self, name: str) -> int:
        """Returns the attempts that a request needs when no attempt fails.

        This counts one attempt for the request and for each call in its chain.
        """
        return int(self._chain_sum(name, lambda kind: 1))

    def chain_time_ms(self, name: str) -> float:
        """Returns the expected slot milliseconds of a request and its chain.

        This is the sum of `service_time_ms` over the kind and its whole chain
        of calls.
        """
        return self._chain_sum(name, lambda kind: kind.service_time_ms)

    def _chain_sum(self, name: str, weight: Callable[[Kind], float]) -> float:
        """Returns the sum of `weight` over a kind and its whole chain of calls.

        A kind that is called several times counts each time. The sum of each
        kind is computed only once, so that the time does not grow with the
        number of paths in the chain.
        """
        sums: dict[str, float] = {}
        pending = [name]
        while pending:
            current = self.kinds[pending[-1]]
            unsummed = [each for each in current.calls if each not in sums]
            if unsummed:
                pending.extend(unsummed)
                continue
            callee_sum = sum(sums[each] for each in current.calls)
            sums[current.name] = weight(current) + callee_sum
            pending.pop()
        return sums[name]
