"""Tie-breaks between equally important requests, fair to all callers.

Requests are equally important if their levels in the shedding order differ only
in the tie-break step. The step of a request is derived from its identifier.
Requests of a caller that exceeds its fair share of all requests get a step of
the upper half and are shed before other equally important ones; repeated
requests get the last step.
"""

import zlib

from flamingolug.manifest import _shedding_order

#: First tie-break step of the upper half.
_UPPER_HALF_START = _shedding_order.TIE_BREAK_STEPS // 2
#: Steps in each half. The last step of the lower half stays free; the last step
#: of the upper half is for repeated requests.
STEPS_PER_HALF = _UPPER_HALF_START
#: Maximum number of callers counted separately.
MAX_CALLERS = 10_000
#: Ratio of one caller's requests to the mean of all callers up to which its
#: share is fair. Must be below 2, the highest ratio that one of two callers can
#: reach.
TOLERATED_RATIO_TO_MEAN = 1.5
#: Factor on all counts at each call of `FairShares.decay`, once a second.
DECAY = 0.5


class FairShares:
    """Counts requests by caller and detects callers over their fair share."""

    def __init__(self) -> None:
        """Starts without callers."""
        self._counts: dict[str, float] = {}
        self._total = 0.0

    def record(self, caller: str) -> bool:
        """Counts one request; returns whether `caller` is over its fair share.

        The threshold is 1.5 times the mean of all recent callers plus one
        request, so that ordinary differences between callers are tolerated.
        """
        if len(self._counts) >= MAX_CALLERS and caller not in self._counts:
            caller = ""
        count = self._counts.get(caller, 0.0) + 1.0
        self._counts[caller] = count
        self._total += 1.0
        if len(self._counts) < 2:
            return False
        mean = self._total / len(self._counts)
        return count > TOLERATED_RATIO_TO_MEAN * mean + 1.0

    def decay(self) -> None:
        """Reduces the weight of past requests; call it once a second."""
        decayed: dict[str, float] = {}
        for caller, count in self._counts.items():
            weight = count * DECAY
            # A caller with less than a tenth of a request is forgotten.
            if weight < 0.1:
                continue
            decayed[caller] = weight
        self._counts = decayed
        self._total = sum(decayed.values())


def tie_break_of(root_id: str, over_share: bool, repeated: bool) -> int:
    """Returns the tie-break step of one request.

    Args:
        root_id: identifier of the root request, the same at every hop.
        over_share: whether its caller is over its fair share.
        repeated: whether its idempotency key was seen before.
    """
    if repeated:
        return _shedding_order.TIE_BREAK_STEPS - 1
    step = zlib.crc32(root_id.encode()) % (STEPS_PER_HALF - 1)
    return step + _UPPER_HALF_START if over_share else step
