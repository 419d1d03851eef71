"""Tie-break of requests within one class of work, fair among callers.

Each request draws a step from its identity. Requests of a caller beyond its
fair share of the class draw from the upper half and are shed before others of
the same class; repeated requests draw the last step of all.
"""

import zlib

from flamingolug.manifest import _shedding_order

_HALF = _shedding_order.TIE_BREAK_STEPS // 2
#: Steps that fresh requests within their caller's share can draw.
WITHIN_SHARE_STEPS = _HALF
#: Callers remembered at most.
MAX_CALLERS = 10_000
#: Requests of one caller over the mean of all that still count as fair. It
#: must be below 2, which is all that one of two callers can reach.
TOLERATED_SHARE = 1.5
#: Part of the counts that survives one window.
DECAY = 0.5


class FairShares:
    """Counts requests of each caller and tells who is over its share."""

    def __init__(self) -> None:
        """Starts without callers."""
        self._counts: dict[str, float] = {}
        self._total = 0.0

    def record(self, caller: str) -> bool:
        """Counts one request; returns whether `caller` is over its share.

        The share is half as much again as the mean of all callers seen
        lately, so that the ordinary unevenness among callers does not count.
        """
        if len(self._counts) >= MAX_CALLERS and caller not in self._counts:
            caller = ""
        count = self._counts.get(caller, 0.0) + 1.0
        self._counts[caller] = count
        self._total += 1.0
        if len(self._counts) < 2:
            return False
        mean = self._total / len(self._counts)
        return count > TOLERATED_SHARE * mean + 1.0

    def decay(self) -> None:
        """Forgets part of the past; call it once per window."""
        kept: dict[str, float] = {}
        for caller, count in self._counts.items():
            left = count * DECAY
            if left < 0.1:
                continue
            kept[caller] = left
        self._counts = kept
        self._total = sum(kept.values())


def tie_break_of(root_id: str, over_share: bool, repeated: bool) -> int:
    """Returns the tie-break step of one request.

    Args:
        root_id: identity of the request, the same at every hop.
        over_share: whether its caller is over its fair share.
        repeated: whether the same key was seen before.
    """
    if repeated:
        return _shedding_order.TIE_BREAK_STEPS - 1
    step = zlib.crc32(root_id.encode()) % (WITHIN_SHARE_STEPS - 1)
    return step + _HALF if over_share else step
