"""Serves control requests to the node itself, under the path `/-/`."""

import time
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import msgspec

from flamingolug import calls
from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import membership
from flamingolug import peers
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import web
from flamingolug.node import _outcomes
from flamingolug.node import _upstream

_OK = "200 OK"
_BAD = "400 Bad Request"
_FORBIDDEN = "403 Forbidden"
_NOT_FOUND = "404 Not Found"
_MAX_ANNOUNCEMENT_BYTES = 16_384


class Dependencies(NamedTuple):
    """Dependencies of `Control`."""

    cfg: settings.Settings
    keys: peers.PeerKeys
    manifest_watcher: configuration.ManifestWatcher
    members: membership.Membership
    upstream: _upstream.LocalUpstream
    counters: telemetry.Counters
    traffic: peers.Traffic
    query_outcome: Callable[[str, str], calls.Outcome]
    request_stop: Callable[[], None]
    add_seed: Callable[[str], None]


class _AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the announcement of a backend server."""

    service: str
    #: HTTP address of the backend server, as `host:port`.
    address: str
    slots: int
    connections: int
    #: Seconds that the announcement stays valid.
    hold_s: float = _upstream.DEFAULT_ANNOUNCEMENT_LEASE_S
    #: Peer addresses of other nodes, for joining the fleet.
    seeds: list[str] = []


class Control:
    """Handles control requests."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates the routing table of the control paths."""
        self._deps = deps
        self._handlers: dict[
            tuple[str, str],
            Callable[[web.Environ, web.StartResponse], Iterable[bytes]],
        ] = {
            ("POST", "/-/announce"): self._announce,
            ("POST", "/-/leave"): self._leave,
            ("POST", "/-/drain"): self._stop_node,
            ("POST", "/-/manifest"): self._apply_manifest,
            ("GET", "/-/status"): self._status,
            ("GET", "/-/members"): self._members,
            ("GET", "/-/metrics"): self._metrics,
            ("GET", "/-/manifest"): self._get_manifest,
            ("GET", "/-/outcome"): self._outcome,
        }

    def handle(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Handles one request."""
        key = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = self._handlers.get(key)
        if handler is None:
            return web.json_response(
                start_response,
                _NOT_FOUND,
                {"error": "unknown path"},
            )
        try:
            return handler(environ, start_response)
        except errors.FlamingolugError as exc:
            return web.json_response(start_response, _BAD, {"error": str(exc)})

    def _announce(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        body = web.read_body(environ, _MAX_ANNOUNCEMENT_BYTES)
        try:
            request = msgspec.json.decode(body, type=_AnnouncementBody)
            host, _, port = request.address.rpartition(":")
            address = settings.Address(host, int(port))
        except (msgspec.MsgspecError, ValueError) as exc:
            raise errors.ConfigurationError(str(exc), step="announce") from exc
        if request.slots < 1 or request.connections < 1 or request.hold_s <= 0:
            raise errors.ConfigurationError(
                "slots, connections and hold_s must be above 0",
                step="announce",
            )
        for seed in request.seeds:
            self._deps.add_seed(seed)
        announced = _upstream.Announcement(
            request.service, address, request.slots, request.connections
        )
        self._deps.upstream.announce(announced, request.hold_s)
        return web.json_response(start_response, _OK, {"accepted": True})

    def _leave(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Stops accepting calls and waits until those in progress have ended.

        Waits at most about `drain_timeout_s`. The response has the number of
        calls that are still running.
        """
        del environ
        self._deps.upstream.stop_accepting()
        still_running = self._deps.upstream.drain(
            self._deps.cfg.drain_timeout_s
        )
        return web.json_response(
            start_response, _OK, {"running": still_running}
        )

    def _stop_node(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        if not self._is_authorized(environ):
            return _forbidden(start_response)
        self._deps.request_stop()
        return web.json_response(start_response, _OK, {"draining": True})

    def _apply_manifest(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Applies a manifest that the store has already accepted."""
        if not self._is_authorized(environ):
            return _forbidden(start_response)
        limit = 2 * manifest.MAX_MANIFEST_BYTES
        stored = web.read_body(environ, limit)
        applied = self._deps.manifest_watcher.activate_if_newer(
            stored, "operator"
        )
        return web.json_response(start_response, _OK, {"in_force": applied})

    def _status(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        del environ
        active = self._deps.manifest_watcher.active
        upstream = self._deps.upstream
        own = self._deps.members.table.own
        return web.json_response(
            start_response,
            _OK,
            {
                "name": own.name,
                "incarnation": own.incarnation,
                "availability_zone": own.zone,
                "region": own.region,
                "service": own.service,
                "leaving": upstream.leaving,
                "revision": active.revision if active else 0,
                "digest": active.digest if active else "",
                "limit": upstream.admission.limit.limit,
                "running": upstream.admission.running,
                "waiting": upstream.admission.waiting,
                "cutoff": upstream.admission.cutoff,
                "keys": len(upstream.outcomes),
                "owners_epoch": upstream.owners.voter.view.epoch,
                "owners": list(upstream.owners.voter.view.members),
                "in_force_at": active.activated_at if active else 0.0,
                "messages_sent": self._deps.traffic.messages_sent,
                "bytes_sent": self._deps.traffic.bytes_sent,
                "bytes_received": self._deps.traffic.bytes_received,
                "cpu_s": time.process_time(),
                "rss_kb": _rss_kb(),
            },
        )

    def _members(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        del environ
        members = [each.to_message() for each in self._deps.members.table.all()]
        return web.json_response(start_response, _OK, {"members": members})

    def _metrics(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        del environ
        return web.json_response(
            start_response, _OK, self._deps.counters.snapshot()
        )

    def _get_manifest(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        del environ
        active = self._deps.manifest_watcher.active
        body = active.stored_form if active else b""
        start_response(_OK, [("Content-Length", str(len(body)))])
        return [body]

    def _outcome(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        missing = {"kind", "key", "caller"} - query.keys()
        if missing:
            raise errors.ConfigurationError(
                f"query misses {', '.join(sorted(missing))}",
                step="outcome",
            )
        active = self._deps.manifest_watcher.active
        kind = active.manifest.kinds.get(query["kind"]) if active else None
        if kind is None:
            raise errors.ConfigurationError("unknown kind", step="outcome")
        key = _outcomes.scoped_key(query["caller"], kind.name, query["key"])
        outcome = self._deps.query_outcome(kind.service, key)
        return web.json_response(
            start_response,
            _OK,
            {
                "outcome": str(outcome.verdict),
                "reason": outcome.reason,
                "status": outcome.status,
                "body": outcome.body.decode("latin-1"),
            },
        )

    def _is_authorized(self, environ: web.Environ) -> bool:
        authorization: Any = environ.get("HTTP_AUTHORIZATION", "")
        return self._deps.keys.is_operator(str(authorization))


def _forbidden(start_response: web.StartResponse) -> Iterable[bytes]:
    return web.json_response(
        start_response,
        _FORBIDDEN,
        {"error": "send Authorization: Bearer with the operators' token"},
    )


def _rss_kb() -> int:
    """Returns the resident set size of this process, in KiB.

    Pages of 4 KiB are assumed.
    """
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * 4
