"""Load reports and cutoffs received from peers.

The cutoff of a node or service is the highest shedding level that it admits.
"""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug import peers

#: Seconds after which a report or an observed cutoff is no longer used.
MAX_AGE_S = 1.0
#: Cutoff with which every call is admitted.
ADMIT_ALL = 1 << 30


class TimedReport(NamedTuple):
    """A load report with the time at which it was received."""

    report: peers.LoadReport
    #: Monotonic seconds.
    received_at: float


def new_report(
    name: str,
    incarnation: int,
    *,
    limit: int = 1,
    running: int = 0,
    waiting: int = 0,
    cutoff: int = ADMIT_ALL,
    revision: int = 0,
    leaving: bool = False,
) -> peers.LoadReport:
    """Returns a load report without cutoffs of called services.

    Args:
        name: name of the reporting node.
        incarnation: incarnation of the reporting node.
        limit: concurrency limit of the backend server.
        running: number of calls in flight.
        waiting: number of queued calls.
        cutoff: highest shedding level that is admitted.
        revision: revision of the manifest that defines the shedding levels.
        leaving: whether the node accepts no new calls.
    """
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
    """Latest load report of each peer and cutoffs of called services.

    The cutoffs come from the reports of peers that call these services and from
    the calls of this node.
    """

    def __init__(
        self, own: Callable[[], peers.LoadReport], now: Callable[[], float]
    ) -> None:
        """Starts without reports.

        Args:
            own: returns this node's report; `set_own_report` replaces it.
            now: returns monotonic seconds.
        """
        self._make_own_report = own
        self._now = now
        self._reports: dict[str, TimedReport] = {}
        #: Cutoff, revision of the manifest that defines the shedding levels,
        #: and monotonic seconds at which the cutoff was observed, by called
        #: service.
        self._callee_cutoffs: dict[str, tuple[int, int, float]] = {}

    def set_own_report(self, own: Callable[[], peers.LoadReport]) -> None:
        """Replaces the function that returns this node's report."""
        self._make_own_report = own

    def own_report(self) -> peers.LoadReport:
        """Returns this node's current report."""
        return self._make_own_report()

    def record(self, report: peers.LoadReport) -> None:
        """Stores a peer's report and the newer cutoffs that it contains."""
        received_at = self._now()
        self._reports[report["name"]] = TimedReport(report, received_at)
        for service, (cutoff, age_ms) in report["deep"].items():
            observed_at = received_at - age_ms / 1000.0
            previous = self._callee_cutoffs.get(service)
            if previous is None or previous[2] < observed_at:
                self._callee_cutoffs[service] = (
                    cutoff,
                    report["rev"],
                    observed_at,
                )

    def recent_report(
        self, name: str, incarnation: int
    ) -> peers.LoadReport | None:
        """Returns the report of a peer's incarnation, None if absent or old."""
        timed = self._reports.get(name)
        if timed is None or timed.report["inc"] != incarnation:
            return None
        if self._now() - timed.received_at > MAX_AGE_S:
            return None
        return timed.report

    def report_age_s(self, name: str) -> float:
        """Returns seconds since a peer's last report, infinity without one."""
        timed = self._reports.get(name)
        return self._now() - timed.received_at if timed else float("inf")

    def callee_cutoff(self, service: str, revision: int) -> int:
        """Returns the cutoff of a called service.

        Without a recent cutoff for this manifest revision it is `ADMIT_ALL`.
        """
        cutoff, cutoff_revision, observed_at = self._callee_cutoffs.get(
            service, (ADMIT_ALL, 0, 0.0)
        )
        if cutoff_revision != revision or self._now() - observed_at > MAX_AGE_S:
            return ADMIT_ALL
        return cutoff

    def callee_cutoffs(self, revision: int) -> dict[str, tuple[int, int]]:
        """Returns recent cutoffs of called services with their age in ms.

        The age is sent along with the cutoff, so that two nodes that report a
        service to each other cannot renew an old cutoff.
        """
        cutoffs: dict[str, tuple[int, int]] = {}
        for service, (_, _, observed_at) in self._callee_cutoffs.items():
            cutoff = self.callee_cutoff(service, revision)
            if cutoff < ADMIT_ALL:
                # Rounded up, so that the age never decreases on its way.
                age_ms = int((self._now() - observed_at) * 1000.0) + 1
                cutoffs[service] = (cutoff, age_ms)
        return cutoffs

    def record_callee_cutoff(
        self, service: str, cutoff: int, revision: int
    ) -> None:
        """Stores the cutoff of a service that this node has called."""
        self._callee_cutoffs[service] = (cutoff, revision, self._now())

    def remove(self, name: str) -> None:
        """Removes the report of a member that is dead."""
        self._reports.pop(name, None)
