"""Total order in which work is shed, as one integer level per request.

A lower level is more important. The order is urgency rank, then work whose
upstream part is already paid for, then worth per millisecond of backend slot,
then a spread that is drawn once per request. The level of a request is the
same at every hop below the entry, so that overloaded services keep the same
requests instead of each dropping different ones.
"""

import bisect
from collections.abc import Mapping
from typing import NamedTuple

from flamingolug.manifest import _model

#: Levels within one class of work, for the per-request spread.
SPREAD_STEPS = 64


class Ladder(NamedTuple):
    """Levels of one manifest."""

    #: First level of a kind's work at the entry, by kind.
    fresh: Mapping[str, int]
    #: First level of a kind's work below the entry, by kind.
    paid: Mapping[str, int]
    #: One more than the highest level.
    top: int
    #: First level of each urgency rank, ascending.
    rank_starts: tuple[int, ...]

    def level(self, root_kind: str, paid: bool, spread: int) -> int:
        """Returns the level of one request, lower is more important.

        Args:
            root_kind: kind of the request that entered the fleet.
            paid: whether a backend server has already worked for it.
            spread: 0 to `SPREAD_STEPS - 1`, drawn once per request.
        """
        table = self.paid if paid else self.fresh
        return table[root_kind] + min(max(spread, 0), SPREAD_STEPS - 1)

    def rank_index(self, level: int) -> int:
        """Returns which of the manifest's ranks a level belongs to."""
        return bisect.bisect_right(self.rank_starts, level) - 1


def build_ladder(found: _model.Manifest) -> Ladder:
    """Returns the levels of a manifest."""
    classes: set[tuple[int, int, float]] = set()
    of_kind: dict[str, tuple[int, float]] = {}
    for kind in found.kinds.values():
        density = kind.worth / found.chain_time_ms(kind.name)
        of_kind[kind.name] = (kind.rank, -density)
        classes.add((kind.rank, 0, -density))
        classes.add((kind.rank, 1, -density))
    ordered = sorted(classes)
    start = {each: index * SPREAD_STEPS for index, each in enumerate(ordered)}
    rank_starts: dict[int, int] = {}
    for each in ordered:
        rank_starts.setdefault(each[0], start[each])
    return Ladder(
        fresh={
            name: start[rank, 1, density]
            for name, (rank, density) in of_kind.items()
        },
        paid={
            name: start[rank, 0, density]
            for name, (rank, density) in of_kind.items()
        },
        top=len(ordered) * SPREAD_STEPS,
        rank_starts=tuple(rank_starts.values()),
    )
