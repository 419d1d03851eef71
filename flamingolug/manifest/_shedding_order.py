"""Order in which requests are shed: one integer level per request.

Requests of the highest levels are shed first, because a lower level is more
important. Levels are ordered by urgency rank. Within a rank, nested calls have
lower levels than root requests, because a backend server has already spent slot
time on their root request. The next criteria are the worth density, which is
the worth per millisecond of slot time and more important if it is higher, and a
tie-break that is drawn once per root request. All nested calls of a root
request have the same level, so that overloaded services keep the same requests
instead of each shedding different ones.
"""

import bisect
from collections.abc import Mapping
from typing import NamedTuple

from flamingolug.manifest import _model

#: Number of levels that share rank, nesting and worth density; the tie-break
#: selects one of them.
TIE_BREAK_STEPS = 64


class SheddingOrder(NamedTuple):
    """Assigns levels to the requests of one manifest."""

    #: First level of root requests, which come from outside the fleet, by kind.
    root_starts: Mapping[str, int]
    #: First level of nested calls, by the kind of their root request.
    nested_starts: Mapping[str, int]
    #: Number of levels; the lowest is 0.
    level_count: int
    #: First level of each urgency rank, ascending.
    rank_starts: tuple[int, ...]

    def level(self, root_kind: str, nested: bool, tie_break: int) -> int:
        """Returns the level of one request; a lower one is more important.

        Args:
            root_kind: kind of the root request, which entered the fleet from
                outside.
            nested: whether it is a call that a backend server made for the
                root request, rather than the root request itself.
            tie_break: 0 to `TIE_BREAK_STEPS - 1`, drawn once per root request.
        """
        table = self.nested_starts if nested else self.root_starts
        return table[root_kind] + min(max(tie_break, 0), TIE_BREAK_STEPS - 1)

    def rank_index(self, level: int) -> int:
        """Returns the index in `rank_starts` of the rank of a level."""
        return bisect.bisect_right(self.rank_starts, level) - 1


def build_shedding_order(manifest: _model.Manifest) -> SheddingOrder:
    """Returns the shedding order of a manifest."""
    # A class is a rank, 0 for nested calls or 1 for root requests, and the
    # negated worth density, so that the most important class sorts first.
    classes: set[tuple[int, int, float]] = set()
    class_of_kind: dict[str, tuple[int, float]] = {}
    for kind in manifest.kinds.values():
        density = kind.worth / manifest.chain_time_ms(kind.name)
        class_of_kind[kind.name] = (kind.rank, -density)
        classes.add((kind.rank, 0, -density))
        classes.add((kind.rank, 1, -density))
    ordered_classes = sorted(classes)
    first_level = {
        each: index * TIE_BREAK_STEPS
        for index, each in enumerate(ordered_classes)
    }
    rank_starts: dict[int, int] = {}
    for each in ordered_classes:
        rank_starts.setdefault(each[0], first_level[each])
    return SheddingOrder(
        root_starts={
            name: first_level[rank, 1, negated_density]
            for name, (rank, negated_density) in class_of_kind.items()
        },
        nested_starts={
            name: first_level[rank, 0, negated_density]
            for name, (rank, negated_density) in class_of_kind.items()
        },
        level_count=len(ordered_classes) * TIE_BREAK_STEPS,
        rank_starts=tuple(rank_starts.values()),
    )
