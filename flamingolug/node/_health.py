"""Ejects upstreams that keep failing and lets them return slowly."""

from collections.abc import Callable
from typing import NamedTuple

#: Losses in a row after which an upstream is ejected.
LOSSES_TO_EJECT = 3
#: Seconds of the first ejection; each further one doubles it.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 16.0


class _Record(NamedTuple):
    losses: int
    ejection_s: float
    until: float


_HEALTHY = _Record(0, FIRST_EJECTION_S, 0.0)


class Health:
    """What this node's own calls show of each upstream."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts with every upstream healthy."""
        self._now = now
        self._records: dict[str, _Record] = {}

    def record(self, name: str, success: bool) -> None:
        """Takes in one call."""
        if success:
            self._records.pop(name, None)
            return
        record = self._records.get(name, _HEALTHY)
        losses = record.losses + 1
        if losses < LOSSES_TO_EJECT:
            self._records[name] = record._replace(losses=losses)
            return
        self._records[name] = _Record(
            losses=LOSSES_TO_EJECT - 1,
            ejection_s=min(record.ejection_s * 2.0, MAX_EJECTION_S),
            until=self._now() + record.ejection_s,
        )

    def is_ejected(self, name: str) -> bool:
        """Returns whether an upstream should be left out for now."""
        record = self._records.get(name)
        return record is not None and self._now() < record.until
