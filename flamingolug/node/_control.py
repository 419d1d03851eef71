"""Requests about the node itself, under the path `/-/`."""

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
    """What the control requests work with."""

    cfg: settings.Settings
    keys: peers.PeerKeys
    config: configuration.ManifestWatcher
    members: membership.Membership
    upstream: _upstream.Upstream
    counters: telemetry.Counters
    traffic: peers.Traffic
    ask_outcome: Callable[[str, str], calls.Outcome]
    request_stop: Callable[[], None]
    contact: Callable[[str], None]


class _AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an announcement."""

    service: str
    address: str
    slots: int
    connections: int
    hold_s: float = _upstream.ANNOUNCEMENT_S
    #: Peer addresses of other nodes, for first contact.
    seeds: list[str] = []


class Control:
    """Answers control requests."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates the table of paths."""
        self._deps = deps
        self._handlers: dict[
            tuple[str, str],
            Callable[[web.Environ, web.StartResponse], Iterable[bytes]],
        ] = {
            ("POST", "/-/announce"): self._announce,
            ("POST", "/-/leave"): self._leave,
            ("POST", "/-/drain"): self._drain,
            ("POST", "/-/manifest"): self._manifest,
            ("GET", "/-/status"): self._status,
            ("GET", "/-/members"): self._members,
            ("GET", "/-/metrics"): self._metrics,
            ("GET", "/-/manifest"): self._show_manifest,
            ("GET", "/-/outcome"): self._outcome,
        }

    def handle(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        key = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = self._handlers.get(key)
        if handler is None:
            return web.json_response(
                start_response, _NOT_FOUND, {"error": "unknown path"}
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
            said = msgspec.json.decode(body, type=_AnnouncementBody)
            host, _, port = said.address.rpartition(":")
            address = settings.Address(host, int(port))
        except (msgspec.MsgspecError, ValueError) as exc:
            raise errors.ConfigurationError(str(exc), step="announce") from exc
        if said.slots < 1 or said.connections < 1 or said.hold_s <= 0:
            raise errors.ConfigurationError(
                "slots, connections and hold_s must be above 0",
                step="announce",
            )
        for seed in said.seeds:
            self._deps.contact(seed)
        announced = _upstream.Announcement(
            said.service, address, said.slots, said.connections
        )
        self._deps.upstream.announce(announced, said.hold_s)
        return web.json_response(start_response, _OK, {"accepted": True})

    def _leave(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Withdraws the backend server; answers once it has no work."""
        del environ
        self._deps.upstream.withdraw()
        cut_off = self._deps.upstream.drain(self._deps.cfg.drain_timeout_s)
        return web.json_response(start_response, _OK, {"running": cut_off})

    def _drain(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        if not self._allowed(environ):
            return _forbidden(start_response)
        self._deps.request_stop()
        return web.json_response(start_response, _OK, {"draining": True})

    def _manifest(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        """Takes in a manifest that the store has accepted already."""
        if not self._allowed(environ):
            return _forbidden(start_response)
        limit = 2 * manifest.MAX_MANIFEST_BYTES
        stored = web.read_body(environ, limit)
        in_force = self._deps.config.apply_if_newer(stored, "operator")
        return web.json_response(start_response, _OK, {"in_force": in_force})

    def _status(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        del environ
        found = self._deps.config.active
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
                "revision": found.revision if found else 0,
                "digest": found.digest if found else "",
                "limit": upstream.admission.limit.limit,
                "running": upstream.admission.running,
                "waiting": upstream.admission.waiting,
                "cutoff": upstream.admission.cutoff,
                "keys": len(upstream.outcomes),
                "owners_epoch": upstream.owners.voter.view.epoch,
                "owners": list(upstream.owners.voter.view.members),
                "in_force_at": found.activated_at if found else 0.0,
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

    def _show_manifest(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        del environ
        found = self._deps.config.active
        body = found.stored if found else b""
        start_response(_OK, [("Content-Length", str(len(body)))])
        return [body]

    def _outcome(
        self, environ: web.Environ, start_response: web.StartResponse
    ) -> Iterable[bytes]:
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        missing = {"kind", "key", "caller"} - query.keys()
        if missing:
            raise errors.ConfigurationError(
                f"query misses {', '.join(sorted(missing))}", step="outcome"
            )
        found = self._deps.config.active
        kind = found.manifest.kinds.get(query["kind"]) if found else None
        if kind is None:
            raise errors.ConfigurationError("unknown kind", step="outcome")
        key = _outcomes.scoped_key(query["caller"], kind.name, query["key"])
        outcome = self._deps.ask_outcome(kind.service, key)
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

    def _allowed(self, environ: web.Environ) -> bool:
        authorization: Any = environ.get("HTTP_AUTHORIZATION", "")
        return self._deps.keys.allows(str(authorization))


def _forbidden(start_response: web.StartResponse) -> Iterable[bytes]:
    return web.json_response(
        start_response,
        _FORBIDDEN,
        {"error": "send Authorization: Bearer with the operators' token"},
    )


def _rss_kb() -> int:
    """Returns the resident memory of this process, in KiB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * 4
