"""Typed, immutable form of a manifest."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple


class Route(NamedTuple):
    """Which HTTP requests belong to a kind when no header names it."""

    #: HTTP method in capitals.
    method: str
    #: Prefix of the path behind the service's name, such as `/scents`.
    path: str


class Kind(NamedTuple):
    """One kind of work at one service."""

    name: str
    service: str
    route: Route | None
    #: Urgency, 0 is the most urgent.
    rank: int
    #: What one whole answer is worth, in the operators' own unit.
    worth: float
    non_idempotent: bool
    #: Milliseconds that a caller waits for the whole answer.
    deadline_ms: int
    #: Most attempts behind one request, over the whole chain.
    attempts: int
    #: Expected milliseconds of one backend slot, without calls to others.
    service_time_ms: float
    #: Kinds that the backend server calls for each request of this kind.
    calls: tuple[str, ...]


class Manifest(NamedTuple):
    """A whole manifest."""

    deployment: str
    services: tuple[str, ...]
    kinds: Mapping[str, Kind]

    def find_kind(self, service: str, method: str, path: str) -> Kind | None:
        """Returns the kind with the longest route that fits, if any."""
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

    def called_kinds(self, name: str) -> tuple[Kind, ...]:
        """Returns the kinds called below `name`, each once, itself left out."""
        found: dict[str, Kind] = {}
        pending = list(self.kinds[name].calls)
        while pending:
            child = pending.pop()
            if child in found:
                continue
            found[child] = self.kinds[child]
            pending.extend(self.kinds[child].calls)
        return tuple(found.values())

    def attempts_needed(self, name: str) -> int:
        """Returns the attempts of one request when nothing fails."""
        return int(self._chain_sum(name, lambda kind: 1))

    def chain_time_ms(self, name: str) -> float:
        """Returns the slot milliseconds that one request takes in all."""
        return self._chain_sum(name, lambda kind: kind.service_time_ms)

    def _chain_sum(self, name: str, weigh: Callable[[Kind], float]) -> float:
        """Returns the sum of `weigh` over a kind and every call below it."""
        sums: dict[str, float] = {}
        pending = [name]
        while pending:
            current = self.kinds[pending[-1]]
            missing = [each for each in current.calls if each not in sums]
            if missing:
                pending.extend(missing)
                continue
            below = sum(sums[each] for each in current.calls)
            sums[current.name] = weigh(current) + below
            pending.pop()
        return sums[name]
