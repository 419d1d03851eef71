"""Emulated backend server with slots, service times, calls and a ledger.

The server runs at most `slots` requests at once and queues the others without
bound, like a real server without admission control. Its ledger records what it
actually ran; tests detect duplicated and lost requests by it.
"""

import random
from collections.abc import Iterable
from typing import Any

import gevent
import msgspec
from gevent import lock

from flamingolug import calls
from flamingolug import errors
from flamingolug import web

_OK = "200 OK"
_MAX_BODY_BYTES = 8_388_608
#: Seconds between two announcements of a server to its node.
ANNOUNCE_INTERVAL_S = 2.0
#: Time-out of a call to another service, seconds.
CALL_TIMEOUT_S = 10.0
#: Seconds that a leaving server waits for the response of its node.
LEAVE_TIMEOUT_S = 12.0


class KindConfig(msgspec.Struct, forbid_unknown_fields=True):
    """How the server runs the requests of one kind."""

    service_time_ms: float
    #: Calls made to other services for each request, in order: service, kind,
    #: method and path.
    calls: list[tuple[str, str, str, str]] = []
    #: Length to which the response body is padded.
    response_bytes: int = 200


class BackendConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Parameters of one backend server."""

    name: str
    service: str
    address: str
    #: HTTP address of the node beside the server.
    node: str
    #: Maximum number of requests that run at once.
    slots: int
    #: Connection limit that the server announces to the node; also the
    #: maximum number of unused connections that it keeps to the node.
    connections: int
    kinds: dict[str, KindConfig]
    #: Factor on service times during the first `cold_s` seconds.
    cold_factor: float = 1.0
    cold_s: float = 0.0
    #: Width of the random variation of service times, relative to the mean,
    #: 0 to 1.
    jitter: float = 0.2
    #: Number of slots that the server announces; 0 means `slots`.
    claimed_slots: int = 0
    seed: int = 1


class LedgerEntry(msgspec.Struct):
    """One request that the server started to run."""

    #: Identity of the caller's request; the nested calls made for it carry the
    #: same one.
    request: str
    #: Idempotency key, empty if there is none.
    key: str
    kind: str
    #: Whether the request and all its calls succeeded.
    completed: bool
    #: Whether the server answered that the request had not run.
    disowned: bool = False


class Backend:
    """Serves requests on its address and announces itself to its node."""

    def __init__(self, config: BackendConfig) -> None:
        """Binds the address."""
        host, _, port = config.address.rpartition(":")
        node_host, _, node_port = config.node.rpartition(":")
        self.config = config
        self.ledger: list[LedgerEntry] = []
        #: Factor on service times; `POST /-/slow` sets it.
        self.slow_factor = 1.0
        #: Number of requests that are running.
        self.running = 0
        self._slots = lock.Semaphore(config.slots)
        self._node = web.Pool(node_host, int(node_port), config.connections)
        self._rng = random.Random(config.seed)
        self._cold_until = 0.0
        self._stopping = False
        self.server = web.Server(host, int(port), self._application)

    def start(self) -> None:
        """Starts accepting connections and announcing the server."""
        self._cold_until = gevent.get_hub().loop.now() + self.config.cold_s
        self.server.start()
        gevent.spawn(self._announce)

    def leave(self) -> None:
        """Makes the node stop sending requests to the server.

        The node responds once the requests in progress have ended or its own
        time-out has passed. Waits at most `LEAVE_TIMEOUT_S` for the response.
        """
        self._stopping = True
        self._send_to_node("/-/leave", {}, LEAVE_TIMEOUT_S)

    def stop(self) -> None:
        """Stops accepting connections without notifying the node.

        Waits at most one second, the lowest time-out that `web.Server.stop`
        applies, for requests in progress.
        """
        self._stopping = True
        self.server.stop(0.0)

    def _announce(self) -> None:
        config = self.config
        while not self._stopping:
            self._send_to_node(
                "/-/announce",
                {
                    "service": config.service,
                    "address": config.address,
                    "slots": config.claimed_slots or config.slots,
                    "connections": config.connections,
                },
            )
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def _send_to_node(
        self, path: str, message: object, timeout_s: float = 1.0
    ) -> None:
        """Posts a message to the node; ignores failures."""
        try:
            web.send_request(
                self._node,
                "POST",
                path,
                (),
                msgspec.json.encode(message),
                timeout_s=timeout_s,
                max_body_bytes=_MAX_BODY_BYTES,
            )
        except errors.FlamingolugError:
            pass

    def _application(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/-/ledger":
            return web.json_response(start_response, _OK, self.ledger)
        if path == "/-/slow":
            body = web.read_body(environ, _MAX_BODY_BYTES)
            self.slow_factor = float(body)
            return web.json_response(start_response, _OK, {})
        if path == "/-/leave":
            self.leave()
            return web.json_response(start_response, _OK, {})
        return self._run_request(environ, start_response)

    def _run_request(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Runs one request as soon as a slot is free."""
        web.read_body(environ, _MAX_BODY_BYTES)
        kind = environ.get("HTTP_FLAMINGOLUG_KIND", "")
        kind_config = self.config.kinds.get(kind)
        if kind_config is None:
            return web.json_response(
                start_response, "404 Not Found", {"error": kind}
            )
        entry = LedgerEntry(
            request=environ.get("HTTP_FLAMINGOLUG_REQUEST", ""),
            key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            kind=kind,
            completed=False,
        )
        with self._slots:
            self.ledger.append(entry)
            self.running += 1
            try:
                gevent.sleep(self._service_time_s(kind_config))
                failed_response = self._make_calls(environ, kind_config)
            finally:
                self.running -= 1
        if failed_response is not None:
            entry.disowned = (
                failed_response.header(calls.HEADER_OUTCOME) == "not-run"
            )
            return _respond_call_failed(start_response, failed_response)
        entry.completed = True
        prefix = f"{kind} {environ.get('QUERY_STRING', '')} "
        body = prefix.encode().ljust(kind_config.response_bytes, b".")
        start_response(
            _OK,
            [
                ("Content-Type", "text/plain"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _service_time_s(self, kind_config: KindConfig) -> float:
        factor = self.slow_factor
        if gevent.get_hub().loop.now() < self._cold_until:
            factor *= self.config.cold_factor
        variation = 1.0 + self.config.jitter * (self._rng.random() - 0.5)
        return kind_config.service_time_ms / 1000.0 * factor * variation

    def _make_calls(
        self, environ: web.Environ, kind_config: KindConfig
    ) -> web.Response | None:
        """Makes the calls of the kind; returns the first failed response."""
        context = environ.get("HTTP_FLAMINGOLUG_CONTEXT", "")
        for completed_calls, (service, kind, method, path) in enumerate(
            kind_config.calls
        ):
            response = self._call(service, kind, method, path, context)
            if response.status != 200:
                # The outcome `not-run` must not be passed on once an earlier
                # call has taken effect.
                return (
                    response
                    if not completed_calls
                    else response._replace(headers=())
                )
        return None

    def _call(
        self, service: str, kind: str, method: str, path: str, context: str
    ) -> web.Response:
        try:
            return web.send_request(
                self._node,
                method,
                f"/{service}{path}",
                [
                    (calls.HEADER_CONTEXT, context),
                    (calls.HEADER_KIND, kind),
                ],
                timeout_s=CALL_TIMEOUT_S,
                max_body_bytes=_MAX_BODY_BYTES,
            )
        except errors.FlamingolugError as exc:
            return web.Response(502, (), str(exc).encode())


def _respond_call_failed(
    start_response: web.StartResponse, failed_response: web.Response
) -> Iterable[bytes]:
    """Answers 503, with the outcome `not-run` if the call reports it."""
    status = "503 Service Unavailable"
    headers: list[tuple[str, str]] = [
        ("Content-Length", str(len(failed_response.body)))
    ]
    if failed_response.header(calls.HEADER_OUTCOME) == "not-run":
        headers.append((calls.HEADER_OUTCOME, "not-run"))
    start_response(status, headers)
    return [failed_response.body]


def load_configs(document: bytes) -> list[BackendConfig]:
    """Returns the configurations in a YAML document, which holds a list."""
    configs: Any = msgspec.yaml.decode(document, type=list[BackendConfig])
    return list(configs)
