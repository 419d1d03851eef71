"""Outlier ejection of upstreams, each time for longer."""

from collections.abc import Callable
from typing import NamedTuple

#: Consecutive failures after which an upstream is ejected.
FAILURES_TO_EJECT = 3
#: Length of the first ejection in seconds; each further one is twice as long.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 16.0


class _Record(NamedTuple):
    #: Consecutive failures.
    failures: int
    #: Length of the next ejection in seconds.
    next_ejection_s: float
    #: End of the latest ejection in monotonic seconds, 0 if there was none.
    ejected_until: float


_HEALTHY = _Record(0, FIRST_EJECTION_S, 0.0)


class OutlierDetector:
    """Tracks the failures of upstreams in the calls of this node."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts with every upstream healthy."""
        self._now = now
        self._records: dict[str, _Record] = {}

    def record(self, name: str, success: bool) -> None:
        """Records the result of one call of an upstream.

        A success clears the record of the upstream.
        """
        if success:
            self._records.pop(name, None)
            return
        record = self._records.get(name, _HEALTHY)
        failures = record.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._records[name] = record._replace(failures=failures)
            return
        self._records[name] = _Record(
            # One further failure ejects the upstream again.
            failures=FAILURES_TO_EJECT - 1,
            next_ejection_s=min(record.next_ejection_s * 2.0, MAX_EJECTION_S),
            ejected_until=self._now() + record.next_ejection_s,
        )

    def is_ejected(self, name: str) -> bool:
        """Returns whether an upstream is ejected at present."""
        record = self._records.get(name)
        return record is not None and self._now() < record.ejected_until
