"""Asks and tells the nodes of a fleet over HTTP."""

import time
from collections.abc import Iterable
from typing import NamedTuple

import gevent
import msgspec
from gevent import pool as gevent_pool

from flamingolug import errors
from flamingolug import peers
from flamingolug import web

_TIMEOUT_S = 2.0
_CONCURRENCY = 32
_MAX_BODY_BYTES = 4_194_304
#: Nodes that are told of an accepted manifest, at most.
TOLD_NODES = 6
_POLL_S = 0.1


class NodeStatus(msgspec.Struct):
    """What a node says of itself."""

    name: str
    availability_zone: str
    region: str
    service: str
    leaving: bool
    revision: int
    digest: str
    limit: float
    running: int
    waiting: int
    cutoff: int
    keys: int
    cpu_s: float
    rss_kb: int


class ZoneProgress(NamedTuple):
    """How far a revision has come in one availability zone."""

    zone: str
    #: Nodes where it is in force, and all nodes.
    in_force: int
    nodes: int
    #: Nodes that did not answer.
    silent: tuple[str, ...]


class _Members(msgspec.Struct):
    members: list[peers.MemberMessage]


class Fleet:
    """The nodes that can be reached from a few addresses."""

    def __init__(self, addresses: Iterable[str], token: str) -> None:
        """Creates a client.

        Args:
            addresses: HTTP addresses of some nodes.
            token: the operators' token.
        """
        self._addresses = list(addresses)
        self._headers = [("Authorization", f"Bearer {token}")]

    def members(self) -> list[peers.MemberMessage]:
        """Returns the members that are not known to be gone.

        Raises:
            PeerUnreachableError: none of the addresses answers.
        """
        for address in self._addresses:
            try:
                reply = self._get(address, "/-/members")
                found = msgspec.json.decode(reply.body, type=_Members)
            except (errors.FlamingolugError, msgspec.MsgspecError):
                continue
            return [
                each
                for each in found.members
                if each["state"] in ("alive", "suspect")
            ]
        raise errors.PeerUnreachableError(
            "no node answers; check --nodes",
            step="fleet.members",
            peer=", ".join(self._addresses),
        )

    def statuses(
        self, members: list[peers.MemberMessage]
    ) -> dict[str, NodeStatus | None]:
        """Returns the status by name, None for nodes that do not answer."""
        workers = gevent_pool.Pool(_CONCURRENCY)
        answers = workers.map(self._status, [each["http"] for each in members])
        names = [each["name"] for each in members]
        return dict(zip(names, answers, strict=True))

    def announce(self, stored: bytes) -> int:
        """Tells nodes of each zone of an accepted manifest.

        Returns:
            How many took it in.
        """
        by_zone: dict[str, list[str]] = {}
        for member in self.members():
            by_zone.setdefault(member["zone"], []).append(member["http"])
        chosen: list[str] = []
        per_zone = max(TOLD_NODES // max(len(by_zone), 1), 1)
        for addresses in by_zone.values():
            chosen.extend(addresses[:per_zone])
        told = 0
        for address in chosen:
            try:
                reply = self._post(address, "/-/manifest", stored)
            except errors.FlamingolugError:
                continue
            told += reply.status == 200
        return told

    def progress(self, revision: int) -> list[ZoneProgress]:
        """Returns per zone where a revision, or a later one, is in force."""
        members = self.members()
        statuses = self.statuses(members)
        zones: dict[str, list[tuple[str, NodeStatus | None]]] = {}
        for member in members:
            entry = (member["name"], statuses[member["name"]])
            zones.setdefault(member["zone"], []).append(entry)
        result: list[ZoneProgress] = []
        for zone in sorted(zones):
            entries = zones[zone]
            result.append(
                ZoneProgress(
                    zone=zone,
                    in_force=sum(
                        1
                        for _, status in entries
                        if status is not None and status.revision >= revision
                    ),
                    nodes=len(entries),
                    silent=tuple(
                        name for name, status in entries if status is None
                    ),
                )
            )
        return result

    def wait_in_force(
        self, revision: int, timeout_s: float
    ) -> tuple[bool, list[ZoneProgress]]:
        """Waits until a revision is in force at every node.

        Returns:
            Whether it is, and the last progress seen.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            progress = self.progress(revision)
            if all(each.in_force == each.nodes for each in progress):
                return True, progress
            if time.monotonic() > deadline:
                return False, progress
            gevent.sleep(_POLL_S)

    def drain(self, name: str) -> bool:
        """Asks a node to stop gracefully; False when it is unknown."""
        for member in self.members():
            if member["name"] != name:
                continue
            reply = self._post(member["http"], "/-/drain", b"")
            return reply.status == 200
        return False

    def _status(self, address: str) -> NodeStatus | None:
        try:
            reply = self._get(address, "/-/status")
            return msgspec.json.decode(reply.body, type=NodeStatus)
        except (errors.FlamingolugError, msgspec.MsgspecError):
            return None

    def _get(self, address: str, path: str) -> web.Response:
        return self._exchange(address, "GET", path, b"")

    def _post(self, address: str, path: str, body: bytes) -> web.Response:
        return self._exchange(address, "POST", path, body)

    def _exchange(
        self, address: str, method: str, path: str, body: bytes
    ) -> web.Response:
        host, _, port = address.rpartition(":")
        pool = web.Pool(host, int(port))
        try:
            return web.exchange(
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
