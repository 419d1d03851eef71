"""Stand-in of the platform's metadata store, with faults on request."""

import base64
import time
from collections import deque
from typing import Any
from urllib import parse

import gevent
import msgspec
from gevent import event
from gevent import server as gevent_server

from flamingolug import http1

_JSON = [(b"content-type", b"application/json")]
_Answer = tuple[int, http1.Headers, bytes]


class LeasedStore:
    """Keeps keys in memory and serves them over HTTP.

    Attributes:
        down: calls get 503.
        silent: calls get no answer until it is unset.
        lose_answers: writes take effect and get no answer.
        delay_s: seconds added to each answer.
        calls: number of calls by path.
    """

    def __init__(self, host: str, port: int, history: int = 1000) -> None:
        """Starts to listen."""
        self.down = False
        self.silent = False
        self.lose_answers = False
        self.delay_s = 0.0
        self.calls: dict[str, int] = {}
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._revision = 1
        self._granted = 1000
        self._leases: dict[int, tuple[float, float]] = {}
        self._events: deque[tuple[int, str, bytes | None]] = deque(
            maxlen=history
        )
        self._first_event = 0
        self._changed = event.Event()
        self._server = gevent_server.StreamServer(
            http1.listen(host, port),
            lambda sock, peer: http1.serve_connection(sock, peer, self._handle),
        )
        self._server.start()
        self._address = (host, port)
        self._sweeper = gevent.spawn(self._expire)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self._address

    def stop(self) -> None:
        """Ends listening and all connections."""
        self._sweeper.kill()
        self._server.stop(timeout=0)

    def put(self, key: str, value: bytes) -> None:
        """Writes a key as the operator does."""
        self._set(key, value, 0)

    def get(self, key: str) -> bytes | None:
        """Returns the value of a key."""
        found = self._items.get(key)
        return found[0] if found else None

    def keys(self) -> list[str]:
        """Returns all keys."""
        return sorted(self._items)

    def drop_leases(self) -> None:
        """Ends every lease; its keys go."""
        for lease in list(self._leases):
            self._end(lease)

    def forget_history(self) -> None:
        """Forgets all changes up to now."""
        self._events.clear()
        self._first_event = self._revision + 1
        self._notify()

    def _handle(self, req: http1.Request) -> _Answer:
        path, _, query = req.target.decode().partition("?")
        self.calls[path] = self.calls.get(path, 0) + 1
        while self.silent:
            gevent.sleep(0.05)
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self.down:
            return 503, [], b""
        args = dict(parse.parse_qsl(query))
        body = msgspec.json.decode(req.body) if req.body else {}
        answer = self._route(req.method.decode(), path, args, body)
        while self.lose_answers and req.method == b"POST":
            gevent.sleep(0.05)
        return answer

    def _route(
        self, method: str, path: str, args: dict[str, str], body: Any
    ) -> _Answer:
        if path == "/v1/kv-range":
            return self._range(args)
        if path == "/v1/kv-watch":
            return self._watch(args)
        if path == "/v1/kv-txn":
            return self._txn(body)
        return self._route_lease(method, path, body)

    def _route_lease(self, method: str, path: str, body: Any) -> _Answer:
        stem, _, name = path.rpartition("/")
        if path == "/v1/kv-lease":
            self._granted += 1
            ttl_s = body["TtlMs"] / 1000.0
            self._leases[self._granted] = (time.monotonic() + ttl_s, ttl_s)
            return _json(200, {"Lease": self._granted, "TtlMs": body["TtlMs"]})
        if stem == "/v1/kv-keep":
            lease = int(name)
            if lease not in self._leases:
                return _json(404, {})
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return _json(200, {"TtlMs": int(ttl_s * 1000)})
        if stem == "/v1/kv-lease-end" and method == "DELETE":
            self._end(int(name))
            return _json(200, {})
        return _json(404, {})

    def _range(self, args: dict[str, str]) -> _Answer:
        found = [
            _item(key, value, revision, lease)
            for key, (value, revision, lease) in sorted(self._items.items())
            if key.startswith(args["Prefix"]) and key > args.get("after", "")
        ]
        return _json(
            200, {"items": found, "HasMore": False, "AsOf": self._revision}
        )

    def _watch(self, args: dict[str, str]) -> _Answer:
        after = int(args["after"])
        until = time.monotonic() + int(args["WaitMs"]) / 1000.0
        while True:
            if after + 1 < self._first_event:
                return _json(410, {})
            found: list[dict[str, Any]] = []
            for revision, key, value in self._events:
                if revision <= after or not key.startswith(args["Prefix"]):
                    continue
                if value is None:
                    found.append(
                        {"Key": key, "Revision": revision, "Deleted": True}
                    )
                    continue
                found.append(_item(key, value, revision, 0))
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return _json(200, {"events": found, "AsOf": self._revision})
            if self.down:
                return 503, [], b""
            self._changed.wait(min(left_s, 0.5))

    def _txn(self, body: Any) -> _Answer:
        for row in body["ExpectedRev"]:
            found = self._items.get(row["Key"])
            if (found[1] if found else 0) != row["Revision"]:
                return _json(412, {"items": []})
        for row in body["Writes"]:
            lease = row.get("Lease", 0)
            if lease and lease not in self._leases:
                return _json(404, {})
            self._set(row["Key"], base64.b64decode(row["Value"]), lease)
        for key in body.get("Deletes", ()):
            self._delete(key)
        return _json(200, {"Revision": self._revision})

    def _set(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        self._items[key] = (value, self._revision, lease)
        self._events.append((self._revision, key, value))
        self._notify()

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append((self._revision, key, None))
            self._notify()

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, (_, _, held) in list(self._items.items()):
            if held == lease:
                self._delete(key)

    def _expire(self) -> None:
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for lease, (ends, _) in list(self._leases.items()):
                if ends < now:
                    self._end(lease)

    def _notify(self) -> None:
        changed, self._changed = self._changed, event.Event()
        changed.set()


def _item(key: str, value: bytes, revision: int, lease: int) -> dict[str, Any]:
    return {
        "Key": key,
        "Value": base64.b64encode(value).decode(),
        "Revision": revision,
        "CreatedAt": revision,
        "Lease": lease,
    }


def _json(status: int, body: dict[str, Any]) -> _Answer:
    return status, _JSON, msgspec.json.encode(body)
