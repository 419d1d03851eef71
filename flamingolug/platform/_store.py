"""Client of the platform's metadata store."""

import base64
import logging
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import TypeVar
from urllib import parse

import gevent
import msgspec

from flamingolug import errors
from flamingolug import http1
from flamingolug import store
from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)
#: Time-out of opening a connection. The store normally answers within
#: milliseconds.
CONNECT_TIMEOUT_S = 0.8
#: Time-out of a call. If the store is slower than normal by a factor of 60, a
#: call takes 0.3 s, a quarter of the time-out.
CALL_TIMEOUT_S = 1.2
#: Seconds by which the time-out of a watch exceeds its requested wait.
WATCH_MARGIN_S = CALL_TIMEOUT_S
#: Maximum number of idle connections kept for reuse.
MAX_IDLE = 2
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_JSON_HEADERS = [(b"content-type", b"application/json")]
#: Header of all responses, with the number of the store's era.
_ERA_HEADER = b"store-era"
#: Digits of the highest accepted era, which fits every encoding.
_MAX_ERA_DIGITS = 18


class _Item(msgspec.Struct):
    """An item as it was written, or the removal of a key."""

    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="Revision")
    value: bytes = msgspec.field(name="Value", default=b"")
    deleted: bool = msgspec.field(name="Deleted", default=False)

    def to_item(self, era: int) -> store.Item:
        """Returns the item in the form of the interface."""
        value = None if self.deleted else self.value
        return store.Item(self.key, value, store.Position(era, self.revision))


class _RangeResult(msgspec.Struct):
    items: list[_Item]
    as_of: int = msgspec.field(name="AsOf")
    has_more: bool = msgspec.field(name="HasMore", default=False)


class _WatchResult(msgspec.Struct):
    events: list[_Item]
    as_of: int = msgspec.field(name="AsOf")


class _WriteResult(msgspec.Struct):
    revision: int = msgspec.field(name="Revision")


class _LeaseResult(msgspec.Struct):
    lease: int = msgspec.field(name="Lease")


class _EmptyResult(msgspec.Struct):
    """Result of which no field matters."""


_Result = TypeVar("_Result", bound=msgspec.Struct)


class PlatformStore:
    """HTTP client of the store; `LeasedStore` documents the methods.

    If a call is not answered, responses on other connections may have been lost
    too, and a connection on which a response was lost returns nothing further.
    Watches that wait are therefore ended; they fail as unanswered.

    Every answer shows the era of the store, errors too. An answer of an era
    that has ended is discarded.
    """

    def __init__(
        self,
        address: tuple[str, int],
        count: Callable[[str], None],
        count_era: Callable[[str], None] = lambda event: None,
    ) -> None:
        """Creates a client.

        Args:
            address: host and port of the store.
            count: called with the name of the operation for each call.
            count_era: called with `begun` for each era after the first, and
                with `former` or `unreadable` for an answer that shows an era
                that has ended, or none.
        """
        self._address = address
        self._host = f"{address[0]}:{address[1]}".encode()
        self._count = count
        self._count_era = count_era
        self._era = 0
        self._era_listeners: list[Callable[[int], object]] = []
        self._idle: list[http1.Connection] = []
        #: Connections of the watches in progress.
        self._watching: set[http1.Connection] = set()

    @property
    def era(self) -> int:
        """See `LeasedStore.era`."""
        return self._era

    def on_new_era(self, listener: Callable[[int], object]) -> None:
        """See `LeasedStore.on_new_era`."""
        self._era_listeners.append(listener)

    def recheck_era(self) -> None:
        """See `LeasedStore.recheck_era`."""
        self._end_watches()

    def read(self, key: str) -> store.Page:
        """See `LeasedStore.read`."""
        # The response to a range request contains the revision of the store
        # even if the key is missing.
        page = self.list_prefix(key)
        items = [item for item in page.items if item.key == key]
        return store.Page(items, page.as_of)

    def list_prefix(self, prefix: str) -> store.Page:
        """See `LeasedStore.list_prefix`."""
        items: list[store.Item] = []
        after = ""
        as_of: store.Position | None = None
        while True:
            query = {"Prefix": prefix}
            if after:
                query["after"] = after
            result = self._get("range", "/v1/kv-range", query, _RangeResult)
            if as_of is not None and as_of.era != self._era:
                # The earlier pages are of a former era.
                items, after, as_of = [], "", None
                continue
            # The pages are not a snapshot: keys of earlier pages may change
            # before a later page is read. A watch has to start at the revision
            # of the first page.
            if as_of is None:
                as_of = store.Position(self._era, result.as_of)
            page = [each.to_item(self._era) for each in result.items]
            items += page
            if not result.has_more or not page:
                return store.Page(items, as_of)
            after = page[-1].key

    def watch(
        self, prefix: str, after: store.Position, wait_s: float
    ) -> store.Page:
        """See `LeasedStore.watch`."""
        self._require_era_of_history(after.era)
        query = {
            "Prefix": prefix,
            "after": str(after.revision),
            "WaitMs": str(int(wait_s * 1000)),
        }
        try:
            result = self._get(
                "watch",
                "/v1/kv-watch",
                query,
                _WatchResult,
                wait_s + WATCH_MARGIN_S,
            )
        except errors.StoreUnavailableError:
            # The watch was ended because another call met a new era.
            self._require_era_of_history(after.era)
            raise
        # A store that has given out the revision again accepts it.
        self._require_era_of_history(after.era)
        items = [each.to_item(self._era) for each in result.events]
        return store.Page(items, store.Position(self._era, result.as_of))

    def write(
        self,
        key: str,
        value: bytes,
        expected: store.Position,
        lease: store.Lease,
        deletes: Sequence[str] = (),
    ) -> store.Position:
        """See `LeasedStore.write`."""
        self._require_lease_era(lease)
        self._require_expected_era(expected)
        body = {
            "ExpectedRev": [{"Key": key, "Revision": expected.revision}],
            "Writes": [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Lease": lease.number,
                }
            ],
            "Deletes": list(deletes),
        }
        result = self._post("txn", "/v1/kv-txn", body, _WriteResult)
        if lease.era != self._era:
            # The number of the lease may belong to another holder now.
            raise errors.StoreUnavailableError(
                f"era {lease.era} ended during the write",
                step="store.txn",
                peer=self._host.decode(),
            )
        return store.Position(self._era, result.revision)

    def delete(self, key: str, expected: store.Position) -> None:
        """See `LeasedStore.delete`."""
        self._require_expected_era(expected)
        body = {
            "ExpectedRev": [{"Key": key, "Revision": expected.revision}],
            "Writes": [],
            "Deletes": [key],
        }
        self._post("txn", "/v1/kv-txn", body, _EmptyResult)

    def grant_lease(self, ttl_s: float) -> store.Lease:
        """See `LeasedStore.grant_lease`."""
        result = self._post(
            "lease", "/v1/kv-lease", {"TtlMs": int(ttl_s * 1000)}, _LeaseResult
        )
        return store.Lease(self._era, result.lease)

    def renew_lease(self, lease: store.Lease) -> None:
        """See `LeasedStore.renew_lease`."""
        self._require_lease_era(lease)
        self._post("keep", f"/v1/kv-keep/{lease.number}", {}, _EmptyResult)
        self._require_lease_era(lease)

    def _require_era_of_history(self, era: int) -> None:
        if era != self._era:
            raise errors.HistoryLostError(
                f"era {era} of the store has ended",
                step="store.watch",
                peer=self._host.decode(),
            )

    def _require_expected_era(self, expected: store.Position) -> None:
        if expected != store.NO_POSITION and expected.era != self._era:
            raise errors.StoreConflictError(
                f"the expected revision is of era {expected.era}, which has "
                "ended",
                step="store.txn",
                peer=self._host.decode(),
            )

    def _require_lease_era(self, lease: store.Lease) -> None:
        if lease.era != self._era:
            raise errors.LeaseLostError(
                f"the lease is of era {lease.era}, which has ended",
                step="store.lease",
                peer=self._host.decode(),
            )

    def _get(
        self,
        operation: str,
        path: str,
        query: dict[str, str],
        result_type: type[_Result],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Result:
        target = f"{path}?{parse.urlencode(query, safe='/')}"
        return self._call(
            operation, b"GET", target, b"", result_type, timeout_s=timeout_s
        )

    def _post(
        self,
        operation: str,
        path: str,
        body: dict[str, Any],
        result_type: type[_Result],
    ) -> _Result:
        return self._call(
            operation, b"POST", path, msgspec.json.encode(body), result_type
        )

    def _call(
        self,
        operation: str,
        method: bytes,
        target: str,
        body: bytes,
        result_type: type[_Result],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Result:
        """Returns the decoded body of the response."""
        self._count(operation)
        step = f"store.{operation}"
        peer = self._host.decode()
        headers = [(b"host", self._host), *(_JSON_HEADERS if body else [])]
        data = http1.format_request(method, target.encode(), headers, body)
        conn: http1.Connection | None = None
        try:
            with gevent.Timeout(timeout_s):
                conn = self._acquire()
                if operation == "watch":
                    self._watching.add(conn)
                conn.send(data)
                response = conn.receive(False, _MAX_RESPONSE_BYTES)
        except (errors.BackendError, gevent.Timeout) as exc:
            if conn is not None:
                conn.close()
            if isinstance(exc, gevent.Timeout):
                self._end_watches()
            raise errors.StoreUnavailableError(
                f"no valid response: {exc}", step=step, peer=peer
            ) from exc
        except BaseException:
            if conn is not None:
                conn.close()
            raise
        finally:
            if conn is not None:
                self._watching.discard(conn)
        if response.reusable and len(self._idle) < MAX_IDLE:
            self._idle.append(conn)
        else:
            conn.close()
        self._note_era(response, step, peer)
        return _decode(response, operation, step, peer, result_type)

    def _note_era(self, response: http1.Response, step: str, peer: str) -> None:
        """Records the era that a response shows.

        Raises:
            StoreUnavailableError: the era has ended.
        """
        text = response.header(_ERA_HEADER)
        if not (text.isdigit() and len(text) <= _MAX_ERA_DIGITS):
            if text or self._era:
                self._count_era("unreadable")
            return
        era = int(text)
        if era < self._era:
            self._count_era("former")
            raise errors.StoreUnavailableError(
                f"late response of era {era}", step=step, peer=peer
            )
        former, self._era = self._era, era
        # Nothing is known of an era before the first one that is seen.
        if era == former or not former:
            return
        self._count_era("begun")
        telemetry.event(
            _LOGGER,
            "store.era_began",
            level=logging.WARNING,
            era=era,
            former=former,
            step=step,
            peer=peer,
        )
        self._end_watches()
        for listener in self._era_listeners:
            listener(era)

    def _end_watches(self) -> None:
        """Closes the connections of the watches in progress."""
        watching, self._watching = self._watching, set()
        for conn in watching:
            conn.close()

    def _acquire(self) -> http1.Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_clean():
                return conn
            conn.close()
        return http1.open_connection(
            self._address[0], self._address[1], CONNECT_TIMEOUT_S
        )


def _decode(
    response: http1.Response,
    operation: str,
    step: str,
    peer: str,
    result_type: type[_Result],
) -> _Result:
    status = response.status
    if status == 410:
        raise errors.HistoryLostError(
            "the store no longer has the requested changes",
            step=step,
            peer=peer,
        )
    if status == 412:
        raise errors.StoreConflictError(
            "the key does not have the expected revision", step=step, peer=peer
        )
    if status == 404 and operation in ("txn", "keep", "lease_end"):
        raise errors.LeaseLostError(
            "the lease has ended or does not exist", step=step, peer=peer
        )
    if status != 200:
        raise errors.StoreUnavailableError(
            f"response status {status}", step=step, peer=peer
        )
    try:
        return msgspec.json.decode(response.body or b"{}", type=result_type)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.StoreUnavailableError(
            f"malformed response: {exc}", step=step, peer=peer
        ) from exc
