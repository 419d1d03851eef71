"""Emulated metadata store of the platform, with configurable faults.

It has revisions, leases and watches and serves `/v1/kv-...`. `store_program`
emulates the other store, with one version per key.
"""

import base64
import time
from collections import deque
from typing import Any
from typing import NamedTuple
from typing import NoReturn
from urllib import parse

import gevent
import msgspec
from gevent import event
from gevent import server as gevent_server

from flamingolug import http1

_JSON_HEADERS = [(b"content-type", b"application/json")]
_WATCH_PATH = "/v1/kv-watch"
_ERA_HEADER = b"store-era"
_Response = tuple[int, http1.Headers, bytes]


class Copy(NamedTuple):
    """Copy of the contents of a store."""

    #: Clock reading at which the copy was made.
    made_at: float
    revision: int
    last_lease: int
    items: dict[str, tuple[bytes, int, int]]
    leases: dict[int, tuple[float, float]]
    events: list[tuple[int, str, bytes | None]]


class LeasedStore:
    """Stores keys and leases in memory and serves them over HTTP.

    It can return from a copy of its contents. Revisions and leases are then
    given out again, and the era, which is in a header of all answers, rises.

    Attributes:
        era: number of the era.
        down: requests are answered with 503.
        turned_away: addresses of this store, as HOST:PORT, at which requests
            are answered with 503, so that nodes that use another address are
            served.
        silent: responses are lost while it is set; requests have no effect.
        silent_at: addresses, as HOST:PORT, at which the store is silent.
        lose_watches: responses to watches are lost while it is set.
        lose_answers: POST requests take effect and are not answered while it
            is set.
        lose_transactions: transactions take effect and are not answered while
            it is set.
        lost_responses: number of responses that were lost. Nothing further is
            returned on their connections.
        delay_s: seconds added to the response time of each request.
        calls: number of requests by path.
    """

    def __init__(self, host: str, port: int, history: int = 1000) -> None:
        """Starts listening.

        Args:
            host: address to listen on.
            port: port to listen on.
            history: maximum number of changes that are kept for watches.
        """
        self.era = 1
        self.down = False
        self.turned_away: set[str] = set()
        self.silent = False
        self.silent_at: set[str] = set()
        self.lose_watches = False
        self.lost_responses = 0
        self.lose_answers = False
        self.lose_transactions = False
        self.delay_s = 0.0
        self.calls: dict[str, int] = {}
        #: Value, revision and lease (0 for none) by key.
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._revision = 1
        self._last_lease = 1000
        #: Time of expiry and time to live in seconds by lease.
        self._leases: dict[int, tuple[float, float]] = {}
        #: Revision, key and value of each change; None for a deletion.
        self._events: deque[tuple[int, str, bytes | None]] = deque(
            maxlen=history
        )
        #: First revision since the history was dropped; watches from before it
        #: get 410.
        self._first_revision = 0
        self._changed = event.Event()
        self._servers: list[gevent_server.StreamServer] = []
        self._address = (host, port)
        self.listen_at(host)
        self._expiry_task = gevent.spawn(self._expire_leases)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the store listens on."""
        return self._address

    def stop(self) -> None:
        """Stops listening; leases no longer expire.

        Open connections are still served.
        """
        self._expiry_task.kill()
        for server in self._servers:
            server.stop(timeout=0)

    def listen_at(self, host: str) -> None:
        """Listens on a further host, at the same port."""
        server = gevent_server.StreamServer(
            http1.listen(host, self._address[1]),
            lambda sock, peer: http1.serve_connection(
                sock, peer, self._handle_in_era
            ),
        )
        server.start()
        self._servers.append(server)

    def put(self, key: str, value: bytes) -> None:
        """Writes a key without a lease, as an operator does."""
        self._set(key, value, 0)

    def grant_lease(self, ttl_s: float) -> int:
        """Returns the number of a new lease."""
        self._last_lease += 1
        self._leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
        return self._last_lease

    def get(self, key: str) -> bytes | None:
        """Returns the value of a key, None if it does not exist."""
        item = self._items.get(key)
        return item[0] if item else None

    def keys(self) -> list[str]:
        """Returns all keys in sorted order."""
        return sorted(self._items)

    def end_all_leases(self) -> None:
        """Ends all leases and deletes their keys."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def drop_history(self) -> None:
        """Drops the history; watches from an earlier revision get 410."""
        self._events.clear()
        self._first_revision = self._revision + 1
        self._notify()

    def copy(self) -> Copy:
        """Returns a copy of the contents."""
        return Copy(
            time.monotonic(),
            self._revision,
            self._last_lease,
            dict(self._items),
            dict(self._leases),
            list(self._events),
        )

    def restore(self, copy: Copy) -> None:
        """Replaces the contents by a copy; begins another era.

        A lease lasts for as long as it had left when the copy was made. Watches
        that wait are not cut; they wait for a revision of the former era.
        """
        age_s = time.monotonic() - copy.made_at
        self.era += 1
        self._revision = copy.revision
        self._last_lease = copy.last_lease
        self._items = dict(copy.items)
        self._leases = {
            lease: (expires_at + age_s, ttl_s)
            for lease, (expires_at, ttl_s) in copy.leases.items()
        }
        self._events = deque(copy.events, maxlen=self._events.maxlen)
        self._notify()

    def _handle_in_era(self, req: http1.Request) -> _Response:
        """Handles a request; adds the era to the response."""
        status, headers, body = self._handle(req)
        era = (_ERA_HEADER, str(self.era).encode())
        return status, [*headers, era], body

    def _handle(self, req: http1.Request) -> _Response:
        path, _, query = req.target.decode().partition("?")
        self.calls[path] = self.calls.get(path, 0) + 1
        if self._is_silent(req):
            self._lose_response()
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self._is_rejected(req):
            return 503, [], b""
        args = dict(parse.parse_qsl(query))
        body = msgspec.json.decode(req.body) if req.body else {}
        response = self._route(req.method.decode(), path, args, body)
        while (self.lose_answers and req.method == b"POST") or (
            self.lose_transactions and path == "/v1/kv-txn"
        ):
            gevent.sleep(0.05)
        if self._is_silent(req) or (self.lose_watches and path == _WATCH_PATH):
            self._lose_response()
        if self._is_rejected(req) and path == _WATCH_PATH:
            return 503, [], b""
        return response

    def _is_rejected(self, req: http1.Request) -> bool:
        return self.down or req.header(b"host").decode() in self.turned_away

    def _is_silent(self, req: http1.Request) -> bool:
        return self.silent or req.header(b"host").decode() in self.silent_at

    def _lose_response(self) -> NoReturn:
        """Never returns, so that the connection returns nothing further."""
        self.lost_responses += 1
        while True:
            gevent.sleep(3600.0)

    def _route(
        self, method: str, path: str, args: dict[str, str], body: Any
    ) -> _Response:
        if path == "/v1/kv-range":
            return self._range(args)
        if path == _WATCH_PATH:
            return self._watch(args)
        if path == "/v1/kv-txn":
            return self._txn(body)
        return self._route_lease(method, path, body)

    def _route_lease(self, method: str, path: str, body: Any) -> _Response:
        prefix, _, lease_id = path.rpartition("/")
        if path == "/v1/kv-lease":
            lease = self.grant_lease(body["TtlMs"] / 1000.0)
            return _json_response(200, {"Lease": lease, "TtlMs": body["TtlMs"]})
        if prefix == "/v1/kv-keep":
            lease = int(lease_id)
            if lease not in self._leases:
                return _json_response(404, {})
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return _json_response(200, {"TtlMs": int(ttl_s * 1000)})
        if prefix == "/v1/kv-lease-end" and method == "DELETE":
            self._end_lease(int(lease_id))
            return _json_response(200, {})
        return _json_response(404, {})

    def _range(self, args: dict[str, str]) -> _Response:
        items = [
            _item(key, value, revision, lease)
            for key, (value, revision, lease) in sorted(self._items.items())
            if key.startswith(args["Prefix"]) and key > args.get("after", "")
        ]
        return _json_response(
            200, {"items": items, "HasMore": False, "AsOf": self._revision}
        )

    def _watch(self, args: dict[str, str]) -> _Response:
        after = int(args["after"])
        deadline = time.monotonic() + int(args["WaitMs"]) / 1000.0
        while True:
            if after > self._revision or after + 1 < self._first_revision:
                return _json_response(410, {})
            events: list[dict[str, Any]] = []
            for revision, key, value in self._events:
                if revision <= after or not key.startswith(args["Prefix"]):
                    continue
                if value is None:
                    events.append(
                        {"Key": key, "Revision": revision, "Deleted": True}
                    )
                    continue
                events.append(_item(key, value, revision, 0))
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return _json_response(
                    200, {"events": events, "AsOf": self._revision}
                )
            if self.down:
                return 503, [], b""
            # A change of `down` does not set the event.
            self._changed.wait(min(remaining_s, 0.5))

    def _txn(self, body: Any) -> _Response:
        for row in body["ExpectedRev"]:
            item = self._items.get(row["Key"])
            if (item[1] if item else 0) != row["Revision"]:
                return _json_response(412, {"items": []})
        for row in body["Writes"]:
            lease = row.get("Lease", 0)
            if lease and lease not in self._leases:
                return _json_response(404, {})
            self._set(row["Key"], base64.b64decode(row["Value"]), lease)
        for key in body.get("Deletes", ()):
            self._delete(key)
        return _json_response(200, {"Revision": self._revision})

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

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, (_, _, key_lease) in list(self._items.items()):
            if key_lease == lease:
                self._delete(key)

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for lease, (expires_at, _) in list(self._leases.items()):
                if expires_at < now:
                    self._end_lease(lease)

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


def _json_response(status: int, body: dict[str, Any]) -> _Response:
    return status, _JSON_HEADERS, msgspec.json.encode(body)
