"""Emulated key-value store with one version per key, for `store.HttpStore`.

Serves `GET /v1/kv/KEY?known=V&wait=S` and `PUT /v1/kv/KEY?expected=V`. `POST
/fault` with a JSON object sets the fault, `GET /stats` returns the number of
requests by operation.
"""

import signal
import sys
import urllib.parse
from collections.abc import Iterable

import gevent
import msgspec
from gevent import event

from flamingolug import web

_OK = "200 OK"
MAX_VALUE_BYTES = 1_048_576


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """How the store deviates from correct behaviour."""

    #: Answers all key requests with 503.
    down: bool = False
    #: Seconds added to the response time of each key request.
    delay_s: float = 0.0
    #: Writes take effect, but the connection is closed before the response is
    #: complete.
    lose_write_answers: bool = False


class MemoryStore:
    """Stores versioned values by key and answers requests for them."""

    def __init__(self) -> None:
        """Creates an empty store without a fault."""
        self.fault = Fault()
        #: Number of requests by operation: `get`, `put` or `watch`.
        self.counts: dict[str, int] = {}
        #: Value and version by key; a missing key has version 0.
        self._values: dict[str, tuple[bytes, int]] = {}
        self._changed = event.Event()

    def application(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        path: str = environ["PATH_INFO"]
        if path == "/fault":
            body = web.read_body(environ, MAX_VALUE_BYTES)
            self.fault = msgspec.json.decode(body, type=Fault)
            return web.json_response(start_response, _OK, {})
        if path == "/stats":
            return web.json_response(start_response, _OK, self.counts)
        return self._handle_key_request(environ, start_response)

    def _handle_key_request(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        key = environ["PATH_INFO"].removeprefix("/v1/kv/")
        method = environ["REQUEST_METHOD"]
        operation = "watch" if "wait" in query else method.lower()
        self.counts[operation] = self.counts.get(operation, 0) + 1
        gevent.sleep(self.fault.delay_s)
        if self.fault.down:
            start_response("503 Unavailable", [("Content-Length", "0")])
            return [b""]
        if method == "PUT":
            body = web.read_body(environ, MAX_VALUE_BYTES)
            return self._compare_and_swap(
                key, body, int(query["expected"]), start_response
            )
        if "wait" in query:
            self._wait_for_change(
                key, int(query["known"]), float(query["wait"])
            )
        value, version = self._values.get(key, (b"", 0))
        return _respond(start_response, _OK, value, version)

    def _compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        start_response: web.StartResponse,
    ) -> Iterable[bytes]:
        _, version = self._values.get(key, (b"", 0))
        if version != expected_version:
            return _respond(start_response, "409 Conflict", b"", version)
        self._values[key] = (value, version + 1)
        self._changed.set()
        self._changed.clear()
        if self.fault.lose_write_answers:
            # The body is shorter than the stated length, so that the client
            # must treat the response as lost.
            start_response(_OK, [("Content-Length", "10")])
            return [b""]
        return _respond(start_response, _OK, b"", version + 1)

    def _wait_for_change(
        self, key: str, known_version: int, wait_s: float
    ) -> None:
        """Waits until the version of a key is above `known_version`.

        Returns also after `wait_s` seconds, or after a change while the store
        is down.
        """
        with gevent.Timeout(wait_s, False):  # type: ignore[arg-type]
            while self._values.get(key, (b"", 0))[1] <= known_version:
                self._changed.wait()
                if self.fault.down:
                    return


def _respond(
    start_response: web.StartResponse, status: str, body: bytes, version: int
) -> Iterable[bytes]:
    start_response(
        status,
        [
            ("Content-Length", str(len(body))),
            ("Store-Version", str(version)),
        ],
    )
    return [body]


def main() -> None:
    """Entry point: `flamingolug-store HOST PORT`."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    server = web.Server(
        sys.argv[1], int(sys.argv[2]), MemoryStore().application
    )
    server.start()
    stop.wait()
    server.stop(0.0)


if __name__ == "__main__":
    main()
