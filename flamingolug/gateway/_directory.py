"""All upstreams, as their nodes announce them in the store."""

import logging
import random
from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

import gevent
import msgspec
from gevent import event

from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _backoff
from flamingolug.gateway import _model

_LOGGER = logging.getLogger(__name__)
#: Keys of upstreams begin with this.
PREFIX = "fl/upstreams/"
#: Seconds that a watch waits for a change; just under the store's longest.
WATCH_S = 28.0
#: Seconds for which an upstream whose entry vanished is still used, so that
#: entries which lapsed while the store was away can come back.
LAPSE_GRACE_S = 2.0
#: Pause behind a change, so that changes which come together are read with
#: one call; links tell sooner what callers would notice.
PAUSE_S = 0.3
#: Further pause for each known entry: the more there are, the more come
#: together when many start.
PAUSE_PER_ENTRY_S = 0.005
MAX_PAUSE_S = 1.0
#: Seconds for which a node may know less than a peer before it takes its watch
#: for dead; a watch is late by a pause and, at a slow store, a second more.
BEHIND_S = 2.5
#: Seconds between two new beginnings for that reason.
RESTART_INTERVAL_S = 5.0


def encode_entry(upstream: _model.Upstream) -> bytes:
    """Returns an upstream as it is stored: its fields in order, as JSON."""
    return msgspec.json.encode(upstream)


def decode_entry(key: str, value: bytes) -> _model.Upstream | None:
    """Returns a stored upstream, None when the entry is not one of ours."""
    try:
        found = msgspec.json.decode(value, type=_model.Upstream)
    except msgspec.DecodeError as exc:
        telemetry.event(
            _LOGGER,
            "directory.unreadable",
            level=logging.WARNING,
            key=key,
            error=exc,
        )
        return None
    if key != PREFIX + found.id:
        telemetry.event(
            _LOGGER, "directory.foreign", level=logging.WARNING, key=key
        )
        return None
    return found


class Dependencies(NamedTuple):
    """What the directory works with."""

    #: Availability zone of this node.
    zone: str
    rng: random.Random
    store: store.LeasedStore
    timers: timing.Timers
    #: Whether an open link to an address has confirmed an upstream lately.
    confirmed: Callable[[_model.Upstream], bool]
    #: Called with the key when an entry vanishes.
    on_removed: Callable[[str], None]
    #: Asks a linked node for its entries; `merge_from_peer` gets the answer.
    ask_peer: Callable[[], None]


class DirectoryEntry:
    """One entry and when it vanished."""

    def __init__(self, upstream: _model.Upstream, revision: int) -> None:
        """Creates an entry that is present."""
        self.upstream = upstream
        self.revision = revision
        self.lapsed_at: float | None = None


class Placement(NamedTuple):
    """Entries of one service that say `ready`, each list in random order."""

    #: In the availability zone of this node.
    near: list[DirectoryEntry]
    far: list[DirectoryEntry]


_NOWHERE = Placement([], [])


def _address(upstream: _model.Upstream) -> tuple[str, int]:
    return (upstream.host, upstream.port)


class Directory:
    """Follows the entries of all upstreams."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts empty."""
        #: Set once all entries have been read.
        self.synced = event.Event()
        #: Whether the store gave no entries yet and nobody else did.
        self.lacks_entries = False
        #: Revision of the last change of an entry that was seen.
        self.revision = 0
        #: Revision up to which the store has told every change.
        self._covered = 0
        #: Highest revision that a peer has told.
        self._peer_revision = 0
        #: Since when a peer knows of a later change, None if none does.
        self._behind_since: float | None = None
        self._restarted_at = 0.0
        #: Whether the store has failed since it last answered.
        self._failing = False
        self._deps = deps
        self._task: gevent.Greenlet[[], None] | None = None
        self._known: dict[str, DirectoryEntry] = {}
        #: Keys of the entries of each node, by its address for links.
        self._keys_at: dict[tuple[str, int], set[str]] = {}
        self._services: dict[str, Placement] = {}
        self._index_due = False

    def start(self) -> None:
        """Begins to follow the store."""
        self._task = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Ends following the store."""
        if self._task is not None:
            self._task.kill(block=False)

    def find(self, upstream_id: str) -> _model.Upstream | None:
        """Returns the entry of an upstream."""
        known = self._known.get(PREFIX + upstream_id)
        if known is None or known.lapsed_at is not None:
            return None
        return known.upstream

    def placement_of(self, service: str) -> Placement:
        """Returns where the upstreams of a service are."""
        return self._placements().get(service, _NOWHERE)

    def is_usable(self, known: DirectoryEntry) -> bool:
        """Returns whether an upstream with this entry may get work."""
        if known.lapsed_at is None:
            return True
        if self._deps.timers.now() - known.lapsed_at < LAPSE_GRACE_S:
            return True
        return self._deps.confirmed(known.upstream)

    def services(self) -> Collection[str]:
        """Returns all services that have an upstream."""
        return self._placements()

    def node_count(self) -> int:
        """Returns how many nodes have an entry."""
        return len(self._keys_at)

    def entries(self, after: int) -> list[store.Item]:
        """Returns entries of upstreams that take work, behind a revision."""
        return [
            store.Item(key, encode_entry(known.upstream), known.revision)
            for key, known in self._known.items()
            if known.revision > after
            and known.upstream.state is _model.UpstreamState.READY
        ]

    @property
    def complete_revision(self) -> int:
        """Revision up to which every change is known."""
        return max(self.revision, self._covered)

    def record_peer_revision(self, revision: int) -> bool:
        """Takes in the last change that a peer knows.

        A node that stays behind its peers has a watch that went silent, or no
        way to the store.

        Returns:
            Whether the entries behind `complete_revision` are wanted from it.
        """
        if self._peer_revision <= self.complete_revision:
            # Whatever was told before is known by now.
            self._behind_since = None
        self._peer_revision = max(self._peer_revision, revision)
        if revision <= self.complete_revision:
            return False
        now = self._deps.timers.now()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < BEHIND_S:
            return False
        if now - self._restarted_at < RESTART_INTERVAL_S:
            return False
        self._restarted_at = now
        telemetry.event(
            _LOGGER,
            "directory.behind",
            level=logging.WARNING,
            revision=self.complete_revision,
            told=revision,
            age_s=round(now - self._behind_since, 2),
        )
        if self._task is not None and not self._failing:
            self._task.kill(block=False)
            self.start()
        return True

    def merge_from_peer(self, items: list[store.Item]) -> None:
        """Takes in entries that a peer knows and this node does not.

        What the store says later replaces them.
        """
        after = self.complete_revision
        later = [item for item in items if item.revision > after]
        if not later:
            return
        self.lacks_entries = False
        telemetry.event(_LOGGER, "directory.from_peer", entries=len(later))
        for item in later:
            self.apply(item)
            self.revision = max(self.revision, item.revision)

    def apply(self, item: store.Item) -> None:
        """Takes in one entry or its removal."""
        known = self._known.get(item.key)
        if known is not None and item.revision < known.revision:
            return
        if item.value is None:
            self._remove(item.key)
            return
        upstream = decode_entry(item.key, item.value)
        if upstream is None:
            return
        if known is not None:
            # It may have moved to another address.
            self._forget(item.key)
        self._drop_predecessors(upstream, item.revision)
        self._known[item.key] = DirectoryEntry(upstream, item.revision)
        self._keys_at.setdefault(_address(upstream), set()).add(item.key)
        self._index_due = True
        telemetry.event(
            _LOGGER,
            "directory.entry",
            upstream=upstream.id,
            service=upstream.service,
            peer=f"{upstream.host}:{upstream.port}",
            state=upstream.state,
            revision=item.revision,
        )

    def _drop_predecessors(
        self, upstream: _model.Upstream, revision: int
    ) -> None:
        """Drops older entries of the same node; it has one upstream."""
        for key in list(self._keys_at.get(_address(upstream), ())):
            known = self._known[key]
            if known.revision < revision and known.upstream.id != upstream.id:
                self._forget(key)

    def _forget(self, key: str) -> None:
        """Drops an entry."""
        known = self._known.pop(key)
        keys = self._keys_at[_address(known.upstream)]
        keys.discard(key)
        if not keys:
            del self._keys_at[_address(known.upstream)]
        self._index_due = True

    def _remove(self, key: str) -> None:
        known = self._known.get(key)
        self._deps.on_removed(key)
        if known is None or known.lapsed_at is not None:
            return
        telemetry.event(
            _LOGGER,
            "directory.removed",
            upstream=known.upstream.id,
            state=known.upstream.state,
            revision=known.revision,
        )
        if known.upstream.state is not _model.UpstreamState.READY:
            self._forget(key)
            return
        known.lapsed_at = self._deps.timers.now()

    def _placements(self) -> dict[str, Placement]:
        """Returns all services, indexed anew after a change."""
        if not self._index_due:
            return self._services
        services: dict[str, Placement] = {}
        for known in self._known.values():
            upstream = known.upstream
            placement = services.setdefault(upstream.service, Placement([], []))
            if upstream.state is not _model.UpstreamState.READY:
                continue
            near = upstream.zone == self._deps.zone
            (placement.near if near else placement.far).append(known)
        for placement in services.values():
            self._deps.rng.shuffle(placement.near)
            self._deps.rng.shuffle(placement.far)
        self._services = services
        self._index_due = False
        return services

    def remove_lapsed(self) -> None:
        """Drops entries that vanished and that no link confirms."""
        now = self._deps.timers.now()
        for key, known in list(self._known.items()):
            if known.lapsed_at is None:
                continue
            if now - known.lapsed_at < LAPSE_GRACE_S:
                continue
            if self._deps.confirmed(known.upstream):
                continue
            self._forget(key)

    def _follow(self) -> None:
        after = -1
        backoff = _backoff.Backoff("directory")
        while True:
            try:
                if after < 0:
                    after = self._list()
                page = self._deps.store.watch(PREFIX, after, WATCH_S)
            except errors.HistoryLostError:
                after = -1
                continue
            except errors.StoreError as exc:
                self._failing = True
                if not self.synced.is_set() and not self._known:
                    self.lacks_entries = True
                    self._deps.ask_peer()
                backoff.wait(exc)
                continue
            backoff.succeeded()
            self._failing = False
            after = max(after, page.as_of)
            for item in page.items:
                self.apply(item)
                self.revision = max(self.revision, item.revision)
            self._covered = after
            self.remove_lapsed()
            if page.items:
                gevent.sleep(
                    min(
                        PAUSE_S + PAUSE_PER_ENTRY_S * len(self._known),
                        MAX_PAUSE_S,
                    )
                )

    def _list(self) -> int:
        """Reads all entries; returns the revision to watch from."""
        page = self._deps.store.list_prefix(PREFIX)
        present = {item.key for item in page.items}
        for item in page.items:
            self.apply(item)
            self.revision = max(self.revision, item.revision)
        for key in list(self._known):
            if key not in present:
                self._remove(key)
        self._covered = page.as_of
        self.lacks_entries = False
        self._failing = False
        self.synced.set()
        return page.as_of
