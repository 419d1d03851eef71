"""HTTP front end of the node for callers and the local backend server."""

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
from flamingolug.node import _call_factory
from flamingolug.node import _control
from flamingolug.node import _inflight
from flamingolug.node import _router
from flamingolug.node import _upstream
from flamingolug.web import _server

_LOGGER = logging.getLogger(__name__)
#: Range in seconds from which the value of Retry-After is drawn.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 5
FAIR_SHARE_INTERVAL_S = 1.0
#: Flag of libev for a readable file descriptor (EV_READ).
_READ_EVENT = 1
_PROBLEM_CONTENT_TYPE = "application/problem+json"
_STATUS_OF_REFUSAL = {
    telemetry.Refusal.BAD_REQUEST: 400,
    telemetry.Refusal.UNKNOWN_KIND: 404,
    telemetry.Refusal.BODY_TOO_LARGE: 413,
    telemetry.Refusal.KEY_REUSED: 422,
    telemetry.Refusal.PARENT_GONE: 409,
}
_STATUS_OF_UNKNOWN_OUTCOME = 504
_STATUS_OF_NOT_RUN = 503
_REASON_PHRASES = {each.value: each.phrase for each in http.HTTPStatus}


class Dependencies(NamedTuple):
    """Dependencies of `HttpFrontend`."""

    cfg: settings.Settings
    manifest_watcher: configuration.ManifestWatcher
    call_factory: _call_factory.CallFactory
    router: _router.Router
    control: _control.Control
    timers: timing.Timers
    counters: telemetry.Counters
    rng: random.Random


class HttpFrontend:
    """Serves HTTP requests with a WSGI application."""

    def __init__(self, deps: Dependencies) -> None:
        """Binds the HTTP address without accepting connections."""
        self._deps = deps
        self.active_requests = 0
        address = deps.cfg.http_address
        self.server = web.Server(address.host, address.port, self._application)

    def start(self) -> None:
        """Starts accepting connections."""
        self._deps.timers.every(
            FAIR_SHARE_INTERVAL_S, self._deps.call_factory.decay_fair_shares
        )
        self.server.start()

    def _application(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/-/"):
            return self._deps.control.handle(environ, start_response)
        self.active_requests += 1
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
            self.active_requests -= 1
        return self._respond(start_response, outcome)

    def _serve(self, environ: web.Environ) -> calls.Outcome:
        """Returns the outcome of one request."""
        active = self._deps.manifest_watcher.active
        if active is None:
            return self._refuse(telemetry.Refusal.NO_MANIFEST, "entry", "")
        parent: _inflight.ParentRequest | None = None
        call: calls.Call | None = None
        outcome: calls.Outcome | None = None
        try:
            req = self._read_request(environ)
            parent = self._deps.call_factory.parent_of(req)
            if parent is None:
                call = self._deps.call_factory.make_root_call(req, active)
                outcome = self._deps.router.refuse_at_entry(call)
                if outcome is not None:
                    return self._count_refusal(outcome)
            else:
                call = self._deps.call_factory.make_child_call(
                    req, parent, active
                )
            outcome = self._route_until_disconnect(environ, call)
            return self._count_refusal(outcome)
        except errors.RefusedError as exc:
            return self._refuse(
                telemetry.Refusal(exc.reason), exc.step, exc.peer
            )
        finally:
            if parent is not None and call is not None:
                attempts_used = outcome.attempts if outcome else call.allowance
                parent.end_child_call(max(call.allowance - attempts_used, 0))

    def _read_request(self, environ: web.Environ) -> _call_factory.HttpRequest:
        """Returns the request, with its body read completely.

        Raises:
            RefusedError: the body is too large, truncated or malformed.
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
        return _call_factory.HttpRequest(
            method=environ["REQUEST_METHOD"],
            target=_quote_path(path) + (f"?{query}" if query else ""),
            headers=tuple(web.header_pairs(environ)),
            body=body,
            caller_address=str(environ.get("REMOTE_ADDR", "")),
        )

    def _route_until_disconnect(
        self, environ: web.Environ, call: calls.Call
    ) -> calls.Outcome:
        """Routes the call; stops when the caller closes its connection."""
        task = gevent.getcurrent()
        watcher = _watch_disconnect(environ[_server.SOCKET_KEY], task)
        try:
            return self._deps.router.route(call)
        except _CallerDisconnectedError:
            return calls.unknown(
                telemetry.Refusal.CANCELLED, "entry", "", call.allowance
            )
        finally:
            watcher.stop()
            watcher.close()

    def _count_refusal(self, outcome: calls.Outcome) -> calls.Outcome:
        """Counts the outcome in the refusals if the call was not run."""
        if outcome.verdict is calls.Verdict.NOT_RUN:
            self._deps.counters.add(
                _upstream.REFUSALS, outcome.reason, outcome.step
            )
        return outcome

    def _refuse(
        self, reason: telemetry.Refusal, step: str, peer: str
    ) -> calls.Outcome:
        return self._count_refusal(calls.not_run(reason, step, peer))

    def _respond(
        self, start_response: web.StartResponse, outcome: calls.Outcome
    ) -> list[bytes]:
        """Returns the response body after sending status and headers."""
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
        body = msgspec.json.encode(_problem_details(outcome, status))
        headers += [
            (calls.HEADER_REASON, outcome.reason),
            (calls.HEADER_STEP, outcome.step),
            (calls.HEADER_PEER, outcome.peer),
            ("Content-Type", _PROBLEM_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
        ]
        if status in (_STATUS_OF_NOT_RUN, _STATUS_OF_UNKNOWN_OUTCOME):
            wait_s = self._deps.rng.randint(
                RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S
            )
            headers.append(("Retry-After", str(wait_s)))
        if outcome.reason in (
            telemetry.Refusal.BODY_TOO_LARGE,
            telemetry.Refusal.BAD_REQUEST,
        ):
            # The rest of this request may be unread, so the start of the next
            # request on the connection is unknown.
            headers.append(("Connection", "close"))
        start_response(_status_line(status), headers)
        return [body]


class _CallerDisconnectedError(BaseException):
    """The caller closed its connection while the call was in progress."""


def _watch_disconnect(sock: Any, task: Any) -> Any:
    """Raises `_CallerDisconnectedError` in `task` when the caller disconnects.

    The watch ends when further data arrives on `sock`.

    Returns:
        The watcher. Stop and close it after use.
    """
    watcher = hub.get_hub().loop.io(sock.fileno(), _READ_EVENT)

    def on_readable() -> None:
        watcher.stop()
        try:
            data = sock._sock.recv(1, 2)  # MSG_PEEK
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            gevent.spawn(task.throw, _CallerDisconnectedError)

    watcher.start(on_readable)
    return watcher


def _quote_path(path: str) -> str:
    """Returns a decoded path in percent-encoded form."""
    import urllib.parse

    return urllib.parse.quote(path.encode("latin-1"), safe="/:@!$&'()*+,;=~")


def _status_of(outcome: calls.Outcome) -> int:
    """Returns the HTTP status of a call that was not answered."""
    if outcome.verdict is calls.Verdict.UNKNOWN:
        return _STATUS_OF_UNKNOWN_OUTCOME
    refusal = telemetry.Refusal(outcome.reason)
    return _STATUS_OF_REFUSAL.get(refusal, _STATUS_OF_NOT_RUN)


def _status_line(status: int) -> str:
    return f"{status} {_REASON_PHRASES.get(status, 'Status')}"


def _problem_details(outcome: calls.Outcome, status: int) -> dict[str, object]:
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
