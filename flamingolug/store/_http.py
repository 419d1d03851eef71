"""HTTP client of the key-value service.

`GET /v1/kv/KEY` reads, `GET /v1/kv/KEY?known=V&wait=S` watches and
`PUT /v1/kv/KEY?expected=V` swaps. V is a version and S a number of seconds. The
response header `Store-Version` contains the version of the key.
"""

import urllib.parse
from collections.abc import Callable

from flamingolug import errors
from flamingolug import web
from flamingolug.store import _interface

#: Time-out of a read or a swap.
CALL_TIMEOUT_S = 2.0
#: Seconds by which the time-out of a watch exceeds its requested wait, for the
#: transfer of the response.
WATCH_SLACK_S = 2.0
#: Maximum size of a value that the service stores.
MAX_VALUE_BYTES = 1_048_576
#: Status of the response to a swap if the key has another version.
_CONFLICT = 409


class HttpStore:
    """Client of the key-value service at one base URL."""

    def __init__(
        self,
        url: str,
        on_call: Callable[[str, str], None] = lambda operation, purpose: None,
    ) -> None:
        """Creates a client.

        Args:
            url: base URL such as `http://127.0.0.1:7000`.
            on_call: called with operation and purpose of each call, for
                metrics. The purpose is the part of the key between its first
                and second slash.
        """
        parts = urllib.parse.urlsplit(url)
        # The pool keeps at most 4 unused connections.
        self._pool = web.Pool(parts.hostname or "", parts.port or 80, 4)
        self._on_call = on_call

    def read(self, key: str) -> _interface.Entry:
        """See `Store.read`."""
        return self._fetch_entry("read", key, "", CALL_TIMEOUT_S)

    def swap(self, key: str, value: bytes, expected_version: int) -> int:
        """See `Store.swap`."""
        response = self._call(
            "swap",
            key,
            f"?expected={expected_version}",
            value,
            CALL_TIMEOUT_S,
        )
        version = int(response.header("store-version") or 0)
        if response.status == _CONFLICT:
            raise errors.StoreConflictError(
                f"{key} is at version {version}, not {expected_version}",
                step="store.swap",
                peer=self._pool.peer,
            )
        return version

    def watch(
        self, key: str, known_version: int, wait_s: float
    ) -> _interface.Entry:
        """See `Store.watch`."""
        query = f"?known={known_version}&wait={wait_s}"
        return self._fetch_entry("watch", key, query, wait_s + WATCH_SLACK_S)

    def _fetch_entry(
        self, operation: str, key: str, query: str, timeout_s: float
    ) -> _interface.Entry:
        response = self._call(operation, key, query, b"", timeout_s)
        return _interface.Entry(
            response.body, int(response.header("store-version") or 0)
        )

    def _call(
        self,
        operation: str,
        key: str,
        query: str,
        body: bytes,
        timeout_s: float,
    ) -> web.Response:
        self._on_call(operation, key.split("/")[1])
        try:
            response = web.send_request(
                self._pool,
                "PUT" if operation == "swap" else "GET",
                _path(key) + query,
                (),
                body,
                timeout_s=timeout_s,
                max_body_bytes=MAX_VALUE_BYTES,
            )
        except errors.FlamingolugError as exc:
            raise errors.StoreUnavailableError(
                exc.message, step=f"store.{operation}", peer=self._pool.peer
            ) from exc
        if response.status in (200, _CONFLICT):
            return response
        raise errors.StoreUnavailableError(
            f"response status {response.status}",
            step=f"store.{operation}",
            peer=self._pool.peer,
        )


def _path(key: str) -> str:
    """Returns the URL path of `key`."""
    return f"/v1/kv/{urllib.parse.quote(key, safe='')}"
