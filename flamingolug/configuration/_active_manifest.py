"""Holds the manifest in force and keeps it up to date.

A node takes a manifest from whoever has a later revision: from any peer, or
from the store. Only two nodes of each availability zone watch the store; the
rest learn of a change by heartbeats. A revision lower than the one in force
is never taken, so that no stale read or old peer can revert it.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import manifest
from flamingolug import membership
from flamingolug import peers
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.configuration import _document

_LOGGER = logging.getLogger(__name__)
#: Nodes of one availability zone that watch the store.
WATCHERS_PER_ZONE = 2
#: Seconds that one watch waits.
WATCH_WAIT_S = 30.0
#: Seconds between tries while the store does not answer.
STORE_RETRY_S = 1.0
#: Seconds between two looks at whether this node watches the store.
ROLE_INTERVAL_S = 1.0
FETCH_TIMEOUT_S = 3.0
REVISIONS = "flamingolug.configuration.revisions"


class ActiveManifest(NamedTuple):
    """The manifest that this node acts on."""

    revision: int
    digest: str
    manifest: manifest.Manifest
    shedding_order: manifest.SheddingOrder
    #: Stored form, passed on to peers.
    stored: bytes
    #: Seconds since the Unix epoch when it came into force here.
    activated_at: float


class Dependencies(NamedTuple):
    """What the configuration works with."""

    links: peers.Links
    members: membership.Membership
    #: None when the settings name no store.
    store: store.Store | None
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]


class ManifestWatcher:
    """The manifest in force at this node."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a manifest."""
        deps.counters.declare(
            REVISIONS, "Revisions seen, by what was done", "result"
        )
        self.active: ActiveManifest | None = None
        self._deps = deps
        self._task: gevent.Greenlet[..., None] | None = None
        self._fetching = False
        self._store_version = 0
        self._listeners: list[Callable[[ActiveManifest], None]] = []
        deps.members.follow_revisions(self._current, self._seen)

    def start(self) -> None:
        """Begins to follow the store where this node has that role."""
        if self._deps.store is not None:
            self._task = gevent.spawn(self._follow_store, self._deps.store)

    def stop(self) -> None:
        """Ends following the store."""
        if self._task is not None:
            self._task.kill()

    def subscribe(self, listener: Callable[[ActiveManifest], None]) -> None:
        """Calls `listener` with each manifest that comes into force."""
        self._listeners.append(listener)

    def apply_if_newer(self, stored: bytes, source: str) -> bool:
        """Puts a manifest in force if its revision is a later one.

        Args:
            stored: the manifest as the store keeps it.
            source: where it came from, for logs.

        Returns:
            Whether it is in force now, as before or newly.

        Raises:
            ConfigurationError: damaged, or another manifest under the
                revision that is in force.
        """
        accepted = _document.decode(stored)
        if accepted is None:
            return False
        revision, digest = self._current()
        if accepted.revision < revision:
            self._deps.counters.add(REVISIONS, "older")
            return False
        if accepted.revision == revision:
            return self._check_same(accepted, digest, source)
        found = manifest.decode(accepted.body, source)
        self.active = ActiveManifest(
            accepted.revision,
            accepted.digest,
            found,
            manifest.build_shedding_order(found),
            stored,
            self._deps.timers.unix_time(),
        )
        self._deps.counters.add(REVISIONS, "in-force")
        telemetry.event(
            _LOGGER,
            "manifest.in-force",
            revision=accepted.revision,
            digest=accepted.digest,
            source=source,
        )
        for listener in self._listeners:
            listener(self.active)
        self._deps.members.push_neighbours()
        return True

    def _check_same(
        self, accepted: _document.Accepted, digest: str, source: str
    ) -> bool:
        if accepted.digest == digest:
            return True
        self._deps.counters.add(REVISIONS, "conflict")
        raise errors.ConfigurationError(
            f"revision {accepted.revision} has digest {accepted.digest} "
            f"there and {digest} here; apply a new revision",
            step="configuration.offer",
            peer=source,
        )

    def _current(self) -> tuple[int, str]:
        if self.active is None:
            return 0, ""
        return self.active.revision, self.active.digest

    def _seen(self, revision: int, digest: str, peer: str) -> None:
        """Notes the revision of a peer and fetches a later one."""
        del digest
        if revision <= self._current()[0] or self._fetching:
            return
        self._fetching = True
        gevent.spawn(self._fetch, peer)

    def _fetch(self, peer: str) -> None:
        """Takes the manifest from a peer."""
        try:
            answer = self._deps.links.to(peer).request(
                peers.MessageType.FETCH,
                {"id": self._deps.next_id()},
                b"",
                FETCH_TIMEOUT_S,
            )
            self.apply_if_newer(answer.body, peer)
        except errors.FlamingolugError as exc:
            telemetry.event(
                _LOGGER,
                "manifest.fetch-failed",
                level=logging.WARNING,
                error=exc,
            )
        finally:
            self._fetching = False

    def _follow_store(self, source: store.Store) -> None:
        """Watches the store while this node has the role."""
        while True:
            if not self._deps.members.is_among_first_of_zone(WATCHERS_PER_ZONE):
                gevent.sleep(ROLE_INTERVAL_S)
                continue
            try:
                entry = source.watch(
                    _document.MANIFEST_KEY, self._store_version, WATCH_WAIT_S
                )
                self._store_version = entry.version
                self.apply_if_newer(entry.value, "store")
            except errors.FlamingolugError as exc:
                telemetry.failure(_LOGGER, "store.failed", exc)
                gevent.sleep(STORE_RETRY_S)
