"""Total order in which work is shed, as one integer level per request.

A lower level is more important. The order is urgency rank, then work whose
upstream part is already paid for, then worth per millisecond of backend slot,
then a tie-break that is drawn once per request. The level of a request is the
same at every hop below the entry, so that overloaded services keep the same
requests instead of each dropping different ones.
"""

import bisect
from collections.abc import Mapping
from typing import NamedTuple

from flamingolug.manifest import _model

#: Levels within one class of work, for the per-request tie-break.
TIE_BREAK_STEPS = 64


class SheddingOrder(NamedTuple):
    """Levels of one manifest."""

    #: First level of a kind's work at the entry, by kind.
    entry: Mapping[str, int]
    #: First level of a kind's work below the entry, by kind.
    nested: Mapping[str, int]
    #: One more than the highest level.
    top: int
    #: First level of each urgency rank, ascending.
    rank_starts: tuple[int, ...]

    def level(self, root_kind: str, nested: bool, tie_break: int) -> int:
        """Returns the level of one request, lower is more important.

        Args:
            root_kind: kind of the request that entered the fleet.
            nested: whether a backend server has already worked for it.
            tie_break: 0 to `TIE_BREAK_STEPS - 1`, drawn once per request.
        """
        table = self.nested if nested else self.entry
        return table[root_kind] + min(max(tie_break, 0), TIE_BREAK_STEPS - 1)

    def rank_index(self, level: int) -> int:
        """Returns which of the manifest's ranks a level belongs to."""
        return bisect.bisect_right(self.rank_starts, level) - 1


def build_shedding_order(found: _model.Manifest) -> SheddingOrder:
    """Returns the levels of a manifest."""
    classes: set[tuple[int, int, float]] = set()
    of_kind: dict[str, tuple[int, float]] = {}
    for kind in found.kinds.values():
        density = kind.worth / found.chain_time_ms(kind.name)
        of_kind[kind.name] = (kind.rank, -density)
        classes.add((kind.rank, 0, -density))
        classes.add((kind.rank, 1, -density))
    ordered = sorted(classes)
    start = {
        each: index * TIE_BREAK_STEPS for index, each in enumerate(ordered)
    }
    rank_starts: dict[int, int] = {}
    for each in ordered:
        rank_starts.setdefault(each[0], start[each])
    return SheddingOrder(
        entry={
            name: start[rank, 1, density]
            for name, (rank, density) in of_kind.items()
        },
        nested={
            name: start[rank, 0, density]
            for name, (rank, density) in of_kind.items()
        },
        top=len(ordered) * TIE_BREAK_STEPS,
        rank_starts=tuple(rank_starts.values()),
    )
