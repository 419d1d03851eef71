"""Nodes with a known fault each: `python -m flamingolug_bench.soak.variants`.

A soak that does not find these faults proves little.
"""

import re
import signal
import sys
from collections.abc import Callable

from flamingolug import gateway
from flamingolug import http1
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _frames
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _pool
from flamingolug.gateway import _request
from flamingolug.gateway import _request_state
from flamingolug.gateway import _routes
from flamingolug.platform import __main__ as program

_ID = re.compile(rb"\r\nx-attempt-id: ([^\r]*)\r\n")


def _retry_unknown() -> None:
    """Sends work again though it may have run."""

    def why_impossible(
        self: _request.Handler,
        state: _request_state.RequestState,
        task: object,
        outcome: _model.Outcome,
    ) -> str:
        del self, task, outcome
        return "offers" if state.offers >= _request.MAX_OFFERS else ""

    setattr(_request.Handler, "_why_impossible", why_impossible)


def _ignore_drain() -> None:
    """Goes on to use an upstream that leaves."""
    usual = _gate.Gate.handle_report

    def handle_report(self: _gate.Gate, report: gateway.Report) -> bool:
        return usual(self, report._replace(state=gateway.UpstreamState.READY))

    def handle_leave(self: _gate.Gate, upstream_id: str) -> bool:
        del self, upstream_id
        return False

    setattr(_gate.Gate, "handle_report", handle_report)
    setattr(_gate.Gate, "handle_leave", handle_leave)


def _accept_older() -> None:
    """Takes any other configuration into force that a peer has."""
    usual = _link.handle_shared_frame

    def handle_shared_frame(
        connection: _link.FrameConnection,
        frame: _frames.Frame,
        deps: _link.Dependencies,
    ) -> None:
        version = 0
        if isinstance(frame, _frames.Ping | _frames.Status):
            version = frame.version
        if 0 < version < deps.version():
            connection.send(_frames.ConfigurationRequest())
        usual(connection, frame, deps)

    def apply_if_newer(
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
        "apply_if_newer",
        apply_if_newer,
    )


def _pool_unread() -> None:
    """Takes the next answer on a connection for its own, whatever it says."""
    usual = _pool.exchange

    def exchange(
        conn: http1.Connection, data: bytes, head: bool, max_bytes: int
    ) -> http1.Response:
        response = usual(conn, data, head, max_bytes)
        found = _ID.search(data)
        own = (b"x-attempt-id", found.group(1) if found else b"")
        others = [pair for pair in response.headers if pair[0] != own[0]]
        return response._replace(headers=[*others, own], reusable=True)

    setattr(_pool, "exchange", exchange)


def _refuse_falsely() -> None:
    """Says of work with an unknown outcome that it has not run."""
    usual = _request.Handler._fail

    def fail(
        self: _request.Handler,
        state: _request_state.RequestState,
        task: _request._Task,
        reason: str,
    ) -> _request_state.Answer:
        return usual(self, state, task, reason)._replace(status=503)

    setattr(_request.Handler, "_fail", fail)


VARIANTS: dict[str, Callable[[], None]] = {
    "retry-unknown": _retry_unknown,
    "ignore-drain": _ignore_drain,
    "accept-older": _accept_older,
    "pool-unread": _pool_unread,
    "refuse-falsely": _refuse_falsely,
}


def main() -> int:
    """Entry point: runs a node with the fault that is named."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    VARIANTS[sys.argv[1]]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
