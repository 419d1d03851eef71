"""Holds the active manifest of a node and keeps it up to date.

A node activates any manifest whose revision is later than that of its active
manifest, whether a peer, the store or an operator supplies it. Only two nodes
of each availability zone watch the store; the other nodes learn of a later
revision from heartbeats and fetch it from the peer that sent them. An
earlier revision than the active one is never activated, so that a stale read
or an outdated peer cannot revert the manifest.
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
from flamingolug.configuration import _stored_form

_LOGGER = logging.getLogger(__name__)
#: Number of nodes in each availability zone that watch the store.
WATCHERS_PER_ZONE = 2
#: Seconds after which a watch returns when the manifest has not changed. If the
#: response to a watch is lost, the node notices at the end of this time.
WATCH_WAIT_S = 2.0
#: Seconds before the next watch after one has failed.
WATCH_RETRY_INTERVAL_S = 1.0
#: Seconds between checks of whether this node has to watch the store, while
#: it does not.
WATCHER_CHECK_INTERVAL_S = 1.0
#: Seconds within which a peer has to answer a request for its manifest.
FETCH_TIMEOUT_S = 3.0
#: Name of the counter of received revisions.
REVISIONS = "flamingolug.configuration.revisions"


class ActiveManifest(NamedTuple):
    """The manifest by which this node handles requests."""

    revision: int
    #: Hexadecimal digest of the manifest.
    digest: str
    manifest: manifest.Manifest
    shedding_order: manifest.SheddingOrder
    #: Stored form with header and history, sent to peers that fetch it.
    stored_form: bytes
    #: Time at which this node activated it, seconds since the Unix epoch.
    activated_at: float


class Dependencies(NamedTuple):
    """Components that the manifest watcher uses."""

    links: peers.Links
    members: membership.Membership
    #: None when the settings contain no store URL.
    store: store.Store | None
    timers: timing.Timers
    counters: telemetry.Counters
    #: Returns the id of the next message to a peer.
    next_id: Callable[[], int]


class ManifestWatcher:
    """Keeps the active manifest of this node and activates later ones.

    Revisions arrive from the store, from peers and from operators.
    """

    def __init__(self, deps: Dependencies) -> None:
        """Creates a watcher without an active manifest."""
        deps.counters.declare(
            REVISIONS, "Revisions seen, by what was done", "result"
        )
        self.active: ActiveManifest | None = None
        self._deps = deps
        self._store_task: gevent.Greenlet[..., None] | None = None
        #: Whether a fetch from a peer is in progress.
        self._fetching = False
        #: Version of the entry that the last watch returned, 0 at the start.
        self._store_version = 0
        self._listeners: list[Callable[[ActiveManifest], None]] = []
        deps.members.set_revision_callbacks(
            self._active_revision, self._on_peer_revision
        )

    def start(self) -> None:
        """Starts the task that watches the store, if there is a store."""
        if self._deps.store is not None:
            self._store_task = gevent.spawn(self._watch_store, self._deps.store)

    def stop(self) -> None:
        """Stops the task that watches the store."""
        if self._store_task is not None:
            self._store_task.kill()

    def subscribe(self, listener: Callable[[ActiveManifest], None]) -> None:
        """Registers a function to call with each new active manifest."""
        self._listeners.append(listener)

    def activate_if_newer(self, stored: bytes, source: str) -> bool:
        """Makes a manifest the active one if its revision is later.

        Args:
            stored: the manifest in its stored form, empty for none.
            source: where it came from, for logs and errors. The error for an
                invalid stored form does not contain it.

        Returns:
            Whether it is now the active manifest, newly or already. False for
            an empty stored form and for an earlier revision.

        Raises:
            ConfigurationError: the stored form is invalid, or it has the active
                revision but a different digest.
        """
        accepted = _stored_form.decode(stored)
        if accepted is None:
            return False
        revision, digest = self._active_revision()
        if accepted.revision < revision:
            self._deps.counters.add(REVISIONS, "older")
            return False
        if accepted.revision == revision:
            return self._check_digest(accepted, digest, source)
        decoded = manifest.decode(accepted.body, source)
        self.active = ActiveManifest(
            accepted.revision,
            accepted.digest,
            decoded,
            manifest.build_shedding_order(decoded),
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
        # Heartbeats contain the active revision. Sends them now instead of at
        # the next interval, so that neighbours learn of it at once.
        self._deps.members.send_to_neighbours()
        return True

    def _check_digest(
        self, accepted: _stored_form.AcceptedManifest, digest: str, source: str
    ) -> bool:
        """Returns True, or raises ConfigurationError if the digests differ."""
        if accepted.digest == digest:
            return True
        self._deps.counters.add(REVISIONS, "conflict")
        raise errors.ConfigurationError(
            f"revision {accepted.revision} has digest {accepted.digest} "
            f"there and {digest} here; apply a new revision",
            step="configuration.offer",
            peer=source,
        )

    def _active_revision(self) -> tuple[int, str]:
        """Returns active revision and digest, 0 and "" without a manifest."""
        if self.active is None:
            return 0, ""
        return self.active.revision, self.active.digest

    def _on_peer_revision(self, revision: int, digest: str, peer: str) -> None:
        """Fetches the manifest of a peer if its revision is later."""
        del digest
        if revision <= self._active_revision()[0] or self._fetching:
            return
        self._fetching = True
        gevent.spawn(self._fetch_manifest, peer)

    def _fetch_manifest(self, peer: str) -> None:
        """Fetches and activates the manifest of a peer; logs a failure."""
        try:
            answer = self._deps.links.link_to(peer).request(
                peers.MessageType.FETCH,
                {"id": self._deps.next_id()},
                b"",
                FETCH_TIMEOUT_S,
            )
            self.activate_if_newer(answer.body, peer)
        except errors.FlamingolugError as exc:
            telemetry.event(
                _LOGGER,
                "manifest.fetch-failed",
                level=logging.WARNING,
                error=exc,
            )
        finally:
            self._fetching = False

    def _watch_store(self, watched_store: store.Store) -> None:
        """Watches the store while this node has to.

        It has to while it is among the first `WATCHERS_PER_ZONE` nodes of its
        zone.
        """
        while True:
            if not self._deps.members.has_zone_role(WATCHERS_PER_ZONE):
                gevent.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                entry = watched_store.watch(
                    _stored_form.MANIFEST_KEY, self._store_version, WATCH_WAIT_S
                )
                self._store_version = entry.version
                self.activate_if_newer(entry.value, "store")
            except errors.FlamingolugError as exc:
                telemetry.failure(_LOGGER, "store.failed", exc)
                gevent.sleep(WATCH_RETRY_INTERVAL_S)
