"""Load and admission levels that peers report of themselves."""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug import peers

#: Seconds after which a report no longer counts.
MAX_AGE_S = 1.0
#: Level that admits everything.
OPEN = 1 << 30


class TimedReport(NamedTuple):
    """A report and when it came."""

    report: peers.LoadReport
    at: float


def new_report(
    name: str,
    incarnation: int,
    *,
    limit: int = 1,
    running: int = 0,
    waiting: int = 0,
    cutoff: int = OPEN,
    revision: int = 0,
    leaving: bool = False,
) -> peers.LoadReport:
    """Returns a report without levels of services below."""
    return {
        "name": name,
        "inc": incarnation,
        "limit": limit,
        "run": running,
        "wait": waiting,
        "cut": cutoff,
        "rev": revision,
        "leaving": leaving,
        "deep": {},
    }


class PeerLoads:
    """Latest report of each peer, and the levels of services below them."""

    def __init__(
        self, own: Callable[[], peers.LoadReport], now: Callable[[], float]
    ) -> None:
        """Creates an empty board.

        Args:
            own: makes this node's own report; replaced by `set_source`.
            now: monotonic clock.
        """
        self._own = own
        self._now = now
        self._seen: dict[str, TimedReport] = {}
        self._deep: dict[str, tuple[int, int, float]] = {}

    def set_source(self, own: Callable[[], peers.LoadReport]) -> None:
        """Sets what makes this node's own report."""
        self._own = own

    def own_report(self) -> peers.LoadReport:
        """Returns this node's report as it is now."""
        return self._own()

    def record(self, report: peers.LoadReport) -> None:
        """Takes in a report."""
        at = self._now()
        self._seen[report["name"]] = TimedReport(report, at)
        for service, (level, age_ms) in report["deep"].items():
            observed_at = at - age_ms / 1000.0
            known = self._deep.get(service)
            if known is None or known[2] < observed_at:
                self._deep[service] = (level, report["rev"], observed_at)

    def fresh(self, name: str, incarnation: int) -> peers.LoadReport | None:
        """Returns a peer's report unless it is too old."""
        seen = self._seen.get(name)
        if seen is None or seen.report["inc"] != incarnation:
            return None
        if self._now() - seen.at > MAX_AGE_S:
            return None
        return seen.report

    def age_s(self, name: str) -> float:
        """Returns the seconds since a peer's last report."""
        seen = self._seen.get(name)
        return self._now() - seen.at if seen else float("inf")

    def callee_level(self, service: str, revision: int) -> int:
        """Returns the level that a service below is said to admit."""
        level, known_revision, at = self._deep.get(service, (OPEN, 0, 0.0))
        if known_revision != revision or self._now() - at > MAX_AGE_S:
            return OPEN
        return level

    def callee_levels(self, revision: int) -> dict[str, tuple[int, int]]:
        """Returns the fresh levels of services below, with ages in ms.

        The age travels along, so that two nodes that tell each other of a
        service cannot keep an old level alive.
        """
        found: dict[str, tuple[int, int]] = {}
        for service, (_, _, observed_at) in self._deep.items():
            level = self.callee_level(service, revision)
            if level < OPEN:
                age_ms = int((self._now() - observed_at) * 1000.0) + 1
                found[service] = (level, age_ms)
        return found

    def observe(self, service: str, level: int, revision: int) -> None:
        """Notes the level that a service called from here admits now."""
        self._deep[service] = (level, revision, self._now())

    def forget(self, name: str) -> None:
        """Drops the report of a member that is gone."""
        self._seen.pop(name, None)
