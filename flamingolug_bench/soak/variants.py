"""Nodes with a known defect.

`python -m flamingolug_bench.soak.variants VARIANT` runs one.

Each variant replaces private functions of the node to inject one defect. The
soak is meaningful only if it detects these defects.
"""

import re
import signal
import sys
from collections.abc import Callable

from flamingolug import gateway
from flamingolug import http1
from flamingolug.gateway import _announcer
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _entry
from flamingolug.gateway import _frames
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _pool
from flamingolug.gateway import _program
from flamingolug.gateway import _record_keeper
from flamingolug.gateway import _request
from flamingolug.gateway import _request_state
from flamingolug.gateway import _routes
from flamingolug.platform import __main__ as node_program
from flamingolug.platform import _store

_ATTEMPT_ID_HEADER = re.compile(rb"\r\nx-attempt-id: ([^\r]*)\r\n")


def _retry_unknown_outcomes() -> None:
    """Retries every request, even one that may already have run."""

    def find_retry_obstacle(
        self: _request.Handler,
        state: _request_state.RequestState,
        routed: object,
        outcome: _model.Outcome,
    ) -> str:
        del self, routed, outcome
        return "offers" if state.offers >= _request.MAX_OFFERS else ""

    setattr(_request.Handler, "_find_retry_obstacle", find_retry_obstacle)


def _ignore_leaving_upstreams() -> None:
    """Keeps sending requests to an upstream that drains or leaves."""
    original = _gate.Gate.handle_report

    def handle_report(self: _gate.Gate, report: gateway.Report) -> bool:
        return original(
            self, report._replace(state=gateway.UpstreamState.READY)
        )

    def handle_leave(
        self: _gate.Gate, upstream_id: str, start_time_ms: int | None = None
    ) -> bool:
        del self, upstream_id, start_time_ms
        return False

    setattr(_gate.Gate, "handle_report", handle_report)
    setattr(_gate.Gate, "handle_leave", handle_leave)


def _activate_older_configurations() -> None:
    """Activates every configuration received, even an older one.

    Also requests the configurations of peers that have an older version.
    """
    original = _link.handle_shared_frame

    def handle_shared_frame(
        connection: _link.FrameConnection,
        frame: _frames.Frame,
        deps: _link.Dependencies,
        address: tuple[str, int] | None = None,
    ) -> None:
        version = 0
        if isinstance(frame, _frames.Ping | _frames.Status):
            version = frame.version
        if 0 < version < deps.version():
            connection.send(_frames.ConfigurationRequest())
        original(connection, frame, deps, address)

    def activate_if_newer(
        self: _configuration_watcher.ConfigurationWatcher,
        document: bytes,
        source: str,
    ) -> None:
        del source
        cfg = self._deps.decode(document)
        self.active = _configuration_watcher.ActiveConfiguration(
            cfg, _routes.RouteTable(cfg)
        )

    setattr(_link, "handle_shared_frame", handle_shared_frame)
    setattr(
        _configuration_watcher.ConfigurationWatcher,
        "activate_if_newer",
        activate_if_newer,
    )


def _accept_foreign_responses() -> None:
    """Accepts any response on a pooled connection as that of the request.

    The identity in the response is overwritten, and the connection is always
    reused.
    """
    original = _pool.exchange

    def exchange(
        conn: http1.Connection,
        request: bytes,
        is_head_request: bool,
        max_bytes: int,
    ) -> http1.Response:
        response = original(conn, request, is_head_request, max_bytes)
        match = _ATTEMPT_ID_HEADER.search(request)
        own_id = (b"x-attempt-id", match.group(1) if match else b"")
        other_headers = [
            pair for pair in response.headers if pair[0] != own_id[0]
        ]
        return response._replace(
            headers=[*other_headers, own_id], reusable=True
        )

    setattr(_pool, "exchange", exchange)


def _report_unknown_as_not_run() -> None:
    """Answers 503, not run, for requests whose outcome is unknown."""
    original = _request.Handler._answer_unknown_outcome

    def answer_unknown_outcome(
        self: _request.Handler,
        state: _request_state.RequestState,
        routed: _request._RoutedRequest,
        reason: str,
    ) -> _request_state.Answer:
        return original(self, state, routed, reason)._replace(status=503)

    setattr(_request.Handler, "_answer_unknown_outcome", answer_unknown_outcome)


def _stop_at_once() -> None:
    """Cuts all requests in progress on SIGTERM."""

    def stop(self: _program.Node) -> None:
        self.close()

    setattr(_program.Node, "stop", stop)


def _exit_with_unsent_answers() -> None:
    """Ends a stop without waiting for the requests of callers."""
    setattr(_entry.Entry, "busy", property(lambda self: False))


def _fail_running_requests() -> None:
    """Answers 502 after SIGTERM for requests that an upstream works on."""
    original = _request.Handler.handle

    def handle(
        self: _request.Handler, state: _request_state.RequestState
    ) -> _request_state.Answer:
        answer = original(self, state)
        if not self.stopping or answer.status >= 400:
            return answer
        return _request_state.Answer(
            502,
            [(b"x-attempt-id", state.request.header(b"x-attempt-id"))],
            b"",
        )

    setattr(_request.Handler, "handle", handle)


def _ignore_eras() -> None:
    """Takes revisions and leases of the store as ever rising."""

    def note_era(
        self: _store.PlatformStore,
        response: http1.Response,
        step: str,
        peer: str,
    ) -> None:
        del self, response, step, peer

    setattr(_store.PlatformStore, "_note_era", note_era)


def _forget_departures() -> None:
    """Does not write departures again that the store has lost."""

    def forget(self: _announcer.Announcer) -> None:
        del self

    def restore(
        self: _record_keeper.RecordKeeper, departed: _model.Upstream
    ) -> None:
        del self, departed

    setattr(_announcer.Announcer, "handle_new_era", forget)
    setattr(_record_keeper.RecordKeeper, "restore", restore)


VARIANTS: dict[str, Callable[[], None]] = {
    "retry-unknown": _retry_unknown_outcomes,
    "ignore-drain": _ignore_leaving_upstreams,
    "accept-older": _activate_older_configurations,
    "pool-unread": _accept_foreign_responses,
    "refuse-falsely": _report_unknown_as_not_run,
    "stop-at-once": _stop_at_once,
    "exit-unsent": _exit_with_unsent_answers,
    "stop-fails": _fail_running_requests,
    "ignore-eras": _ignore_eras,
    "forget-departures": _forget_departures,
}


def main() -> int:
    """Entry point: runs a node with the defect named by the argument."""
    # Until the node has set its own handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    VARIANTS[sys.argv[1]]()
    return node_program.main()


if __name__ == "__main__":
    sys.exit(main())
