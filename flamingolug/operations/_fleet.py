"""HTTP client of operators for the endpoints `/-/...` of the nodes."""

import time
from collections.abc import Iterable
from typing import NamedTuple

import gevent
import msgspec
from gevent import pool as gevent_pool

from flamingolug import errors
from flamingolug import peers
from flamingolug import web

#: Time-out of one request to a node, in seconds.
_TIMEOUT_S = 2.0
#: Maximum number of concurrent status requests.
_CONCURRENCY = 32
#: Largest response body that is accepted, in bytes.
_MAX_BODY_BYTES = 4_194_304
#: Number of nodes to which an accepted manifest is sent, divided evenly among
#: the availability zones, but at least one node in each zone.
MAX_NOTIFIED_NODES = 6
#: Seconds between two requests for the progress of a revision.
_POLL_INTERVAL_S = 0.1


class NodeStatus(msgspec.Struct):
    """Status of one node, from its response to `GET /-/status`."""

    name: str
    availability_zone: str
    region: str
    #: Service of the backend server beside the node, empty for none.
    service: str
    #: Whether the backend server accepts no new calls because it stops.
    leaving: bool
    #: Revision of the active manifest, 0 for none.
    revision: int
    #: Hexadecimal digest of the active manifest, empty for none.
    digest: str
    #: Concurrency limit of the backend server.
    limit: float
    #: Calls in progress at the backend server.
    running: int
    #: Calls that wait in the node's queue.
    waiting: int
    #: Highest level in the shedding order that is admitted.
    cutoff: int
    #: Idempotency keys whose outcomes the node keeps.
    keys: int
    #: CPU time of the node process, in seconds.
    cpu_s: float
    #: Resident memory of the node process, in kilobytes.
    rss_kb: int


class ZoneProgress(NamedTuple):
    """At how many nodes of one zone a revision, or a later one, is active."""

    #: Name of the availability zone.
    zone: str
    #: Number of nodes whose active manifest has this revision or a later one.
    in_force: int
    #: Number of nodes in the zone.
    nodes: int
    #: Names of the nodes that did not respond.
    silent: tuple[str, ...]


class _Members(msgspec.Struct):
    """Response of a node to `GET /-/members`."""

    members: list[peers.MemberMessage]


class Fleet:
    """Client for all nodes of a fleet.

    Requests the list of nodes from the given addresses until one responds.
    """

    def __init__(self, addresses: Iterable[str], token: str) -> None:
        """Creates a client.

        Args:
            addresses: HTTP addresses of some nodes.
            token: bearer token that authorizes operators.
        """
        self._addresses = list(addresses)
        self._headers = [("Authorization", f"Bearer {token}")]

    def members(self) -> list[peers.MemberMessage]:
        """Returns the members whose state is alive or suspect.

        Raises:
            PeerUnreachableError: no address returned a valid response.
        """
        for address in self._addresses:
            try:
                response = self._get(address, "/-/members")
                decoded = msgspec.json.decode(response.body, type=_Members)
            except (errors.FlamingolugError, msgspec.MsgspecError):
                continue
            return [
                each
                for each in decoded.members
                if each["state"] in ("alive", "suspect")
            ]
        raise errors.PeerUnreachableError(
            "no node responds; check --nodes",
            step="fleet.members",
            peer=", ".join(self._addresses),
        )

    def statuses(
        self, members: list[peers.MemberMessage]
    ) -> dict[str, NodeStatus | None]:
        """Returns the status by name, None for nodes without a response."""
        workers = gevent_pool.Pool(_CONCURRENCY)
        statuses = workers.map(
            self._fetch_status, [each["http"] for each in members]
        )
        names = [each["name"] for each in members]
        return dict(zip(names, statuses, strict=True))

    def send_manifest(self, stored: bytes) -> int:
        """Sends an accepted manifest to some nodes of each zone.

        Args:
            stored: the stored form of the manifest.

        Returns:
            Number of nodes that responded with status 200.
        """
        by_zone: dict[str, list[str]] = {}
        for member in self.members():
            by_zone.setdefault(member["zone"], []).append(member["http"])
        chosen_addresses: list[str] = []
        per_zone = max(MAX_NOTIFIED_NODES // max(len(by_zone), 1), 1)
        for addresses in by_zone.values():
            chosen_addresses.extend(addresses[:per_zone])
        notified_count = 0
        for address in chosen_addresses:
            try:
                response = self._post(address, "/-/manifest", stored)
            except errors.FlamingolugError:
                continue
            notified_count += response.status == 200
        return notified_count

    def progress(self, revision: int) -> list[ZoneProgress]:
        """Returns for each zone at how many nodes a revision is active.

        Nodes with a later revision count as well.
        """
        members = self.members()
        statuses = self.statuses(members)
        zones: dict[str, list[tuple[str, NodeStatus | None]]] = {}
        for member in members:
            named_status = (member["name"], statuses[member["name"]])
            zones.setdefault(member["zone"], []).append(named_status)
        zone_progress: list[ZoneProgress] = []
        for zone in sorted(zones):
            named_statuses = zones[zone]
            zone_progress.append(
                ZoneProgress(
                    zone=zone,
                    in_force=sum(
                        1
                        for _, status in named_statuses
                        if status is not None and status.revision >= revision
                    ),
                    nodes=len(named_statuses),
                    silent=tuple(
                        name
                        for name, status in named_statuses
                        if status is None
                    ),
                )
            )
        return zone_progress

    def wait_until_active(
        self, revision: int, timeout_s: float
    ) -> tuple[bool, list[ZoneProgress]]:
        """Waits until a revision or a later one is active at every node.

        Returns:
            Whether this happened within `timeout_s`, and the last progress.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            progress = self.progress(revision)
            if all(each.in_force == each.nodes for each in progress):
                return True, progress
            if time.monotonic() > deadline:
                return False, progress
            gevent.sleep(_POLL_INTERVAL_S)

    def drain(self, name: str) -> bool:
        """Asks a node to stop gracefully.

        Returns:
            False when no member has this name or the node refuses.
        """
        for member in self.members():
            if member["name"] != name:
                continue
            response = self._post(member["http"], "/-/drain", b"")
            return response.status == 200
        return False

    def _fetch_status(self, address: str) -> NodeStatus | None:
        try:
            response = self._get(address, "/-/status")
            return msgspec.json.decode(response.body, type=NodeStatus)
        except (errors.FlamingolugError, msgspec.MsgspecError):
            return None

    def _get(self, address: str, path: str) -> web.Response:
        return self._send_request(address, "GET", path, b"")

    def _post(self, address: str, path: str, body: bytes) -> web.Response:
        return self._send_request(address, "POST", path, body)

    def _send_request(
        self, address: str, method: str, path: str, body: bytes
    ) -> web.Response:
        host, _, port = address.rpartition(":")
        pool = web.Pool(host, int(port))
        try:
            return web.send_request(
                pool,
                method,
                path,
                self._headers,
                body,
                timeout_s=_TIMEOUT_S,
                max_body_bytes=_MAX_BODY_BYTES,
            )
        finally:
            pool.close()
