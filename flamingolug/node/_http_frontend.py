"""HTTP side of the node, towards callers and backend servers."""

import http
import logging
import random
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import gevent
import msgspec
from gevent import hub

from flamingolug import calls
from flamingolug import configuration
from flamingolug import errors
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import timing
from flamingolug import web
from flamingolug.node import _control
from flamingolug.node import _entry
from flamingolug.node import _inflight
from flamingolug.node import _router
from flamingolug.node import _upstream
from flamingolug.web import _server

_LOGGER = logging.getLogger(__name__)
#: Seconds that a refused caller is asked to wait, drawn in this range.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 5
FAIRNESS_INTERVAL_S = 1.0
_READ = 1
_PROBLEM = "application/problem+json"
_STATUS_OF_REFUSAL = {
    telemetry.Refusal.BAD_REQUEST: 400,
    telemetry.Refusal.UNKNOWN_KIND: 404,
    telemetry.Refusal.BODY_TOO_LARGE: 413,
    telemetry.Refusal.KEY_REUSED: 422,
    telemetry.Refusal.PARENT_GONE: 409,
}
_STATUS_UNKNOWN = 504
_STATUS_NOT_RUN = 503
_REASONS = {each.value: each.phrase for each in http.HTTPStatus}


class Dependencies(NamedTuple):
    """What the HTTP side works with."""

    cfg: settings.Settings
    config: configuration.ManifestWatcher
    entry: _entry.Entry
    router: _router.Router
    control: _control.Control
    timers: timing.Timers
    counters: telemetry.Counters
    rng: random.Random


class HttpFrontend:
    """WSGI application and its server."""

    def __init__(self, deps: Dependencies) -> None:
        """Binds the HTTP address."""
        self._deps = deps
        self.active = 0
        address = deps.cfg.http_address
        self.server = web.Server(address.host, address.port, self._application)

    def start(self) -> None:
        """Begins to accept."""
        self._deps.timers.every(
            FAIRNESS_INTERVAL_S, self._deps.entry.end_window
        )
        self.server.start()

    def _application(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/-/"):
            return self._deps.control.handle(environ, start_response)
        self.active += 1
        try:
            outcome = self._serve(environ)
        except Exception as exc:
            telemetry.event(
                _LOGGER, "front.failed", level=logging.ERROR, error=repr(exc)
            )
            outcome = calls.unknown(
                "internal-error", "front", self._deps.cfg.name, 0
            )
        finally:
            self.active -= 1
        return self._respond(start_response, outcome)

    def _serve(self, environ: web.Environ) -> calls.Outcome:
        """Returns the outcome of one request."""
        found = self._deps.config.active
        if found is None:
            return self._refused(telemetry.Refusal.NO_MANIFEST, "entry", "")
        parent: _inflight.Parent | None = None
        call: calls.Call | None = None
        outcome: calls.Outcome | None = None
        try:
            req = self._read(environ)
            parent = self._deps.entry.parent_of(req)
            if parent is None:
                call = self._deps.entry.fresh_call(req, found)
                outcome = self._deps.router.refuse_at_entry(call)
                if outcome is not None:
                    return self._counted(outcome)
            else:
                call = self._deps.entry.child_call(req, parent, found)
            outcome = self._route(environ, call)
            return self._counted(outcome)
        except errors.RefusedError as exc:
            return self._refused(
                telemetry.Refusal(exc.reason), exc.step, exc.peer
            )
        finally:
            if parent is not None and call is not None:
                used = outcome.attempts if outcome else call.allowance
                parent.end_child(max(call.allowance - used, 0))

    def _read(self, environ: web.Environ) -> _entry.HttpRequest:
        """Reads the request.

        Raises:
            RefusedError: the body is too large or cut short.
        """
        limit = self._deps.cfg.max_request_body_bytes
        try:
            body = web.read_body(environ, limit)
        except errors.BodyTooLargeError as exc:
            raise errors.RefusedError(
                telemetry.Refusal.BODY_TOO_LARGE, step="entry"
            ) from exc
        except (errors.BackendError, OSError, ValueError) as exc:
            raise errors.RefusedError(
                telemetry.Refusal.BAD_REQUEST, step="entry.body"
            ) from exc
        query = environ.get("QUERY_STRING", "")
        path = environ["PATH_INFO"]
        return _entry.HttpRequest(
            method=environ["REQUEST_METHOD"],
            target=_quote(path) + (f"?{query}" if query else ""),
            headers=tuple(web.header_pairs(environ)),
            body=body,
            peer=str(environ.get("REMOTE_ADDR", "")),
        )

    def _route(self, environ: web.Environ, call: calls.Call) -> calls.Outcome:
        """Routes the call; stops when the caller goes away."""
        this = gevent.getcurrent()
        watcher = _watch_hangup(environ[_server.SOCKET_KEY], this)
        try:
            return self._deps.router.route(call)
        except _CallerGoneError:
            return calls.unknown(
                telemetry.Refusal.CANCELLED, "entry", "", call.allowance
            )
        finally:
            watcher.stop()
            watcher.close()

    def _counted(self, outcome: calls.Outcome) -> calls.Outcome:
        """Counts a refusal that did not come from an upstream."""
        if outcome.verdict is calls.Verdict.NOT_RUN:
            self._deps.counters.add(
                _upstream.REFUSALS, outcome.reason, outcome.step
            )
        return outcome

    def _refused(
        self, reason: telemetry.Refusal, step: str, peer: str
    ) -> calls.Outcome:
        return self._counted(calls.not_run(reason, step, peer))

    def _respond(
        self, start_response: web.StartResponse, outcome: calls.Outcome
    ) -> list[bytes]:
        """Answers the caller."""
        headers = [
            (calls.HEADER_OUTCOME, str(outcome.verdict)),
            (calls.HEADER_ATTEMPTS, str(outcome.attempts)),
        ]
        if outcome.verdict is calls.Verdict.ANSWERED:
            headers.extend(outcome.headers)
            headers.append(("Content-Length", str(len(outcome.body))))
            start_response(_status_line(outcome.status), headers)
            return [outcome.body]
        status = _status_of(outcome)
        body = msgspec.json.encode(_problem(outcome, status))
        headers += [
            (calls.HEADER_REASON, outcome.reason),
            (calls.HEADER_STEP, outcome.step),
            (calls.HEADER_PEER, outcome.peer),
            ("Content-Type", _PROBLEM),
            ("Content-Length", str(len(body))),
        ]
        if status in (_STATUS_NOT_RUN, _STATUS_UNKNOWN):
            wait_s = self._deps.rng.randint(
                RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S
            )
            headers.append(("Retry-After", str(wait_s)))
        if outcome.reason in (
            telemetry.Refusal.BODY_TOO_LARGE,
            telemetry.Refusal.BAD_REQUEST,
        ):
            # What is left of the request cannot be told from the next one.
            headers.append(("Connection", "close"))
        start_response(_status_line(status), headers)
        return [body]


class _CallerGoneError(BaseException):
    """The caller closed its connection while the call was in progress."""


def _watch_hangup(sock: Any, task: Any) -> Any:
    """Interrupts `task` when the other side closes `sock`.

    Returns:
        The watcher, which the caller must stop and close.
    """
    watcher = hub.get_hub().loop.io(sock.fileno(), _READ)

    def look() -> None:
        watcher.stop()
        try:
            data = sock._sock.recv(1, 2)  # MSG_PEEK
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            gevent.spawn(task.throw, _CallerGoneError)

    watcher.start(look)
    return watcher


def _quote(path: str) -> str:
    """Returns a decoded path in the form that travels."""
    import urllib.parse

    return urllib.parse.quote(path.encode("latin-1"), safe="/:@!$&'()*+,;=~")


def _status_of(outcome: calls.Outcome) -> int:
    """Returns the HTTP status of a call that was not answered."""
    if outcome.verdict is calls.Verdict.UNKNOWN:
        return _STATUS_UNKNOWN
    refusal = telemetry.Refusal(outcome.reason)
    return _STATUS_OF_REFUSAL.get(refusal, _STATUS_NOT_RUN)


def _status_line(status: int) -> str:
    return f"{status} {_REASONS.get(status, 'Status')}"


def _problem(outcome: calls.Outcome, status: int) -> dict[str, object]:
    """Returns the problem details (RFC 9457) of an outcome."""
    return {
        "type": f"urn:flamingolug:{outcome.verdict}:{outcome.reason}",
        "title": f"call {outcome.verdict}",
        "status": status,
        "outcome": str(outcome.verdict),
        "reason": outcome.reason,
        "step": outcome.step,
        "peer": outcome.peer,
        "attempts": outcome.attempts,
    }
