"""HTTP interfaces for readiness, reports of the backend server and metrics."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import http1
from flamingolug import telemetry
from flamingolug.gateway import _announcer
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _departure_records
from flamingolug.gateway import _directory
from flamingolug.gateway import _gate
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model

_LOGGER = logging.getLogger(__name__)
#: Seconds for which the response to a leave notice, or to a report of a
#: draining backend server, waits until this node has written the record.
OWN_RECORD_WAIT_S = 0.25
#: Further seconds in which other nodes may write it. The sum is below the one
#: second after which the notice or report is treated as failed.
PEER_RECORD_WAIT_S = 0.55
#: Seconds for which the first report `ready` of an upstream waits until the
#: node knows the entries; they show whether the report is outdated.
ENTRIES_WAIT_S = 0.5


class ReportDecoder(NamedTuple):
    """Decodes the messages of a backend server."""

    #: Returns the report in a request for the given service, None if the
    #: request is not a report.
    report: Callable[[http1.Request, str], _model.Report | None]
    #: Returns the upstream id in a leave notice, None if the request is not a
    #: leave notice.
    leave: Callable[[http1.Request], str | None]


class Dependencies(NamedTuple):
    """Dependencies of the interfaces."""

    cfg: _model.GatewaySettings
    gate: _gate.Gate
    watcher: _configuration_watcher.ConfigurationWatcher
    directory: _directory.Directory
    announcer: _announcer.Announcer
    records: _departure_records.DepartureRecords
    metrics: _metrics.Metrics
    decoder: ReportDecoder
    #: Path of the readiness check.
    ready_path: bytes
    #: Returns whether the node is stopping.
    stopping: Callable[[], bool]


class ControlServer:
    """Handles requests for readiness, reports and metrics."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates a server."""
        self._deps = deps
        #: Number of reports and leave notices in progress.
        self._pending = 0
        #: Latest report that came before the node knew the entries.
        self._unverified: _model.Report | None = None

    @property
    def busy(self) -> bool:
        """Whether a report or leave notice is in progress."""
        return self._pending > 0

    @property
    def ready(self) -> bool:
        """Whether callers may send requests to this node."""
        deps = self._deps
        return deps.watcher.active is not None and not deps.stopping()

    def answer_ready(
        self, req: http1.Request
    ) -> tuple[int, http1.Headers, bytes]:
        """Returns the response to a readiness check."""
        if req.target.partition(b"?")[0] != self._deps.ready_path:
            return 404, [], b""
        return (200 if self.ready else 503), [], b""

    def answer_metrics(
        self, req: http1.Request
    ) -> tuple[int, http1.Headers, bytes]:
        """Returns the response with all metrics."""
        del req
        return (
            200,
            [(b"content-type", b"text/plain; version=0.0.4")],
            self._deps.metrics.render(),
        )

    def answer_report(
        self, req: http1.Request
    ) -> tuple[int, http1.Headers, bytes]:
        """Handles a report or leave notice of the backend server."""
        self._pending += 1
        try:
            status = self._handle(req)
        finally:
            self._pending -= 1
        return status, [(b"content-type", b"application/json")], b"{}"

    def _handle(self, req: http1.Request) -> int:
        """Handles a report or leave notice; returns the response status."""
        deps = self._deps
        leaving_id = deps.decoder.leave(req)
        if leaving_id is not None:
            deps.gate.handle_leave(
                leaving_id, self._known_start_time_ms(leaving_id)
            )
            return self._acknowledge_departure(leaving_id)
        report = deps.decoder.report(req, deps.cfg.identity.service)
        if report is None:
            telemetry.event(
                _LOGGER,
                "report.unreadable",
                level=logging.WARNING,
                target=req.target.decode("latin-1"),
            )
            return 400
        if not self._wait_until_verifiable(report):
            self._unverified = report
            gevent.spawn(self._accept_when_informed, report)
            telemetry.event(
                _LOGGER,
                "report.unverified",
                level=logging.WARNING,
                upstream=report.id,
                sequence=report.sequence,
            )
            return 503
        return self._accept(report)

    def _known_start_time_ms(self, upstream_id: str) -> int | None:
        """Returns the start of an upstream without an accepted report.

        The clock of the instance may have been set back since, so the time of
        its leave notice may be before its start.
        """
        report = self._unverified
        if report is not None and report.id == upstream_id:
            return report.start_time_ms
        announced = self._deps.directory.find(upstream_id)
        return None if announced is None else announced.start_time_ms

    def _is_first(self, report: _model.Report) -> bool:
        """Returns whether a report is of another upstream than the one in use.

        Any report is if none is in use.
        """
        known = self._deps.gate.report
        return known is None or known.id != report.id

    def _wait_until_verifiable(self, report: _model.Report) -> bool:
        """Returns whether it can be known that a report is not outdated.

        The first report `ready` of an upstream may be late, from one that has
        left since.
        """
        is_ready = report.state is _model.UpstreamState.READY
        if not (is_ready and self._is_first(report)):
            return True
        return bool(self._deps.directory.informed.wait(ENTRIES_WAIT_S))

    def _accept_when_informed(self, report: _model.Report) -> None:
        """Handles a report later, unless the next one is due before."""
        deps = self._deps
        if deps.directory.informed.wait(deps.cfg.report_interval_s):
            self._accept(report)

    def _accept(self, report: _model.Report) -> int:
        """Handles a report unless it is outdated; returns the status."""
        deps = self._deps
        if self._is_first(report) and self._is_outdated(report):
            telemetry.event(
                _LOGGER,
                "report.outdated",
                upstream=report.id,
                sequence=report.sequence,
            )
            return 200
        changed = deps.gate.handle_report(report)
        if report.state is not _model.UpstreamState.READY:
            return self._acknowledge_departure(report.id)
        if changed:
            deps.announcer.publish()
        return 200

    def _acknowledge_departure(self, upstream_id: str) -> int:
        """Waits for the record of a departure; returns a response status.

        Without a record, a process that starts later would not know of the
        departure, so it is not acknowledged. The backend server repeats its
        notice then.
        """
        deps = self._deps
        announcer = deps.announcer
        departed = announcer.make_entry()
        if departed is None or departed.id != upstream_id:
            # Another upstream has its address and refuses its calls.
            return 200
        if announcer.has_departure(departed):
            return 200
        written = announcer.publish()
        deps.records.tell_peers(departed)
        if written.wait(OWN_RECORD_WAIT_S):
            return 200
        confirmed = deps.records.ask_peers(departed, PEER_RECORD_WAIT_S)
        if gevent.wait([written, confirmed], PEER_RECORD_WAIT_S, 1):
            return 200
        telemetry.event(
            _LOGGER,
            "departure.not_acknowledged",
            level=logging.WARNING,
            upstream=upstream_id,
            wait_s=OWN_RECORD_WAIT_S + PEER_RECORD_WAIT_S,
        )
        return 503

    def _is_outdated(self, report: _model.Report) -> bool:
        """Returns whether the directory has a later state than a report.

        An earlier run of this node may have announced it.
        """
        announced = self._deps.directory.find(report.id)
        if announced is None:
            return False
        if announced.start_time_ms != report.start_time_ms:
            return report.start_time_ms < announced.start_time_ms
        if report.sequence < announced.sequence:
            return True
        if announced.state is _model.UpstreamState.GONE:
            return True
        leaving = announced.state is not _model.UpstreamState.READY
        return leaving and report.state is _model.UpstreamState.READY
