"""Stand-in backend server: slots, service time, calls of its own, a ledger.

It runs at most `slots` requests at once and queues the rest without bound, as
a real server does that has no admission control of its own. The ledger says
what it really ran and is what doubled and lost work are judged by.
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
ANNOUNCE_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 10.0
LEAVE_TIMEOUT_S = 12.0


class KindPlan(msgspec.Struct, forbid_unknown_fields=True):
    """How the server treats one kind of work."""

    service_time_ms: float
    #: (service, kind, method, path) of each call that it makes, in turn.
    calls: list[tuple[str, str, str, str]] = []
    response_bytes: int = 200


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """One backend server."""

    name: str
    service: str
    address: str
    #: HTTP address of the node beside it.
    node: str
    slots: int
    connections: int
    kinds: dict[str, KindPlan]
    #: Factor on service times for the first seconds.
    cold_factor: float = 1.0
    cold_s: float = 0.0
    #: Random part of the service time, 0 to 1.
    jitter: float = 0.2
    #: Slots that it claims to have, 0 for the truth.
    claimed_slots: int = 0
    seed: int = 1


class LedgerEntry(msgspec.Struct):
    """One request that the server began to run."""

    request: str
    key: str
    kind: str
    completed: bool
    #: Whether the server then told that it had not run the request.
    disowned: bool = False


class Backend:
    """One backend server on its own address."""

    def __init__(self, plan: Plan) -> None:
        """Binds the address."""
        host, _, port = plan.address.rpartition(":")
        node_host, _, node_port = plan.node.rpartition(":")
        self.plan = plan
        self.ledger: list[LedgerEntry] = []
        self.slow_factor = 1.0
        self.running = 0
        self._slots = lock.Semaphore(plan.slots)
        self._node = web.Pool(node_host, int(node_port), plan.connections)
        self._rng = random.Random(plan.seed)
        self._cold_until = 0.0
        self._leaving = False
        self.server = web.Server(host, int(port), self._application)

    def start(self) -> None:
        """Begins to accept and to announce itself to its node."""
        self._cold_until = gevent.get_hub().loop.now() + self.plan.cold_s
        self.server.start()
        gevent.spawn(self._announce)

    def leave(self) -> None:
        """Tells its node that it takes no new work."""
        self._leaving = True
        self._send_to_node("/-/leave", {}, LEAVE_TIMEOUT_S)

    def close(self) -> None:
        """Stops at once, without a word to its node."""
        self._leaving = True
        self.server.stop(0.0)

    def _announce(self) -> None:
        plan = self.plan
        while not self._leaving:
            self._send_to_node(
                "/-/announce",
                {
                    "service": plan.service,
                    "address": plan.address,
                    "slots": plan.claimed_slots or plan.slots,
                    "connections": plan.connections,
                },
            )
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def _send_to_node(
        self, path: str, message: object, timeout_s: float = 1.0
    ) -> None:
        try:
            web.exchange(
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
        return self._run(environ, start_response)

    def _run(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Runs one request in a slot."""
        web.read_body(environ, _MAX_BODY_BYTES)
        kind = environ.get("HTTP_FLAMINGOLUG_KIND", "")
        plan = self.plan.kinds.get(kind)
        if plan is None:
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
                gevent.sleep(self._service_time_s(plan))
                failed = self._make_calls(environ, plan)
            finally:
                self.running -= 1
        if failed is not None:
            entry.disowned = failed.header(calls.HEADER_OUTCOME) == "not-run"
            return _pass_on(start_response, failed)
        entry.completed = True
        text = f"{kind} {environ.get('QUERY_STRING', '')} "
        body = text.encode().ljust(plan.response_bytes, b".")
        start_response(
            _OK,
            [
                ("Content-Type", "text/plain"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _service_time_s(self, plan: KindPlan) -> float:
        factor = self.slow_factor
        if gevent.get_hub().loop.now() < self._cold_until:
            factor *= self.plan.cold_factor
        spread = 1.0 + self.plan.jitter * (self._rng.random() - 0.5)
        return plan.service_time_ms / 1000.0 * factor * spread

    def _make_calls(
        self, environ: web.Environ, plan: KindPlan
    ) -> web.Response | None:
        """Makes the calls of its own; returns the first that failed."""
        context = environ.get("HTTP_FLAMINGOLUG_CONTEXT", "")
        for done, (service, kind, method, path) in enumerate(plan.calls):
            reply = self._call(service, kind, method, path, context)
            if reply.status != 200:
                # After a call that took effect it cannot say `not-run`.
                return reply if not done else reply._replace(headers=())
        return None

    def _call(
        self, service: str, kind: str, method: str, path: str, context: str
    ) -> web.Response:
        try:
            return web.exchange(
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


def _pass_on(
    start_response: web.StartResponse, failed: web.Response
) -> Iterable[bytes]:
    """Answers that a call of its own failed."""
    status = "503 Service Unavailable"
    headers: list[tuple[str, str]] = [("Content-Length", str(len(failed.body)))]
    if failed.header(calls.HEADER_OUTCOME) == "not-run":
        headers.append((calls.HEADER_OUTCOME, "not-run"))
    start_response(status, headers)
    return [failed.body]


def load_plans(text: bytes) -> list[Plan]:
    """Returns the plans in a YAML document."""
    tree: Any = msgspec.yaml.decode(text, type=list[Plan])
    return list(tree)
