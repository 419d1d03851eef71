"""Directory of all upstreams, from the store and, if it fails, from peers.

Each node keeps the entry of its own upstream in the store.
"""

import ipaddress
import logging
import math
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

import gevent
import msgspec
from gevent import event

from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _backoff
from flamingolug.gateway import _departures
from flamingolug.gateway import _model
from flamingolug.gateway import _tasks
from flamingolug.gateway import _watch_checks

_LOGGER = logging.getLogger(__name__)
#: Prefix of the keys of upstreams.
PREFIX = "fl/upstreams/"
#: Seconds for which an upstream is still used after its entry has disappeared,
#: so that an entry whose lease ended during an outage of the store can be
#: written again.
LAPSE_GRACE_S = 2.0
#: Delay after a change, seconds, so that one watch returns several changes that
#: occur together. Changes that affect callers arrive earlier over links.
BATCH_DELAY_S = 0.3
#: Additional delay for each entry, seconds: each change answers the watch of
#: every node, and the more nodes there are, the more changes occur together.
BATCH_DELAY_PER_ENTRY_S = 0.01
#: At most the grace of a lapsed entry, which may be written again meanwhile.
MAX_BATCH_DELAY_S = LAPSE_GRACE_S
#: Seconds for which a node may lag behind a peer before it considers its watch
#: broken. A watch lags by the batch delay and, if the store is slow, by another
#: second.
MAX_LAG_S = MAX_BATCH_DELAY_S + 1.5
#: Shortest time between two restarts of the watch for that reason, seconds.
MIN_RESTART_INTERVAL_S = 5.0
#: Seconds between two looks whether a check of the watch is due.
CHECK_LOOK_INTERVAL_S = 0.5


def batch_delay_s(entry_count: int, era_age_s: float = math.inf) -> float:
    """Returns the seconds from an answered watch to the next one.

    Args:
        entry_count: number of entries that are known.
        era_age_s: seconds since this node has met the era of the store. While
            entries are written again, they must be read before they count as
            gone.
    """
    if era_age_s < LAPSE_GRACE_S:
        return BATCH_DELAY_S
    delay_s = BATCH_DELAY_S + BATCH_DELAY_PER_ENTRY_S * entry_count
    return min(delay_s, MAX_BATCH_DELAY_S)


def encode_entry(upstream: _model.Upstream) -> bytes:
    """Returns an upstream as it is stored: its fields in order, as JSON."""
    return msgspec.json.encode(upstream)


def decode_entry(key: str, value: bytes) -> _model.Upstream | None:
    """Returns a stored upstream, None if the entry is not valid.

    Whatever another writer has stored, an upstream that is returned can be
    called, and passed on to peers.
    """
    try:
        upstream = msgspec.json.decode(value, type=_model.Upstream)
        ipaddress.IPv4Address(upstream.host)
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        telemetry.event(
            _LOGGER,
            "directory.unreadable",
            level=logging.WARNING,
            key=key,
            error=exc,
        )
        return None
    if key != PREFIX + upstream.id:
        telemetry.event(
            _LOGGER, "directory.foreign", level=logging.WARNING, key=key
        )
        return None
    return upstream


class Dependencies(NamedTuple):
    """Dependencies of the directory."""

    #: Availability zone of this node.
    zone: str
    rng: random.Random
    store: store.LeasedStore
    timers: timing.Timers
    #: Returns whether the node of an upstream reports over an open link that
    #: the upstream accepts calls.
    is_confirmed: Callable[[_model.Upstream], bool]
    #: Called with the key when an entry disappears from the store.
    on_removed: Callable[[str], None]
    #: Called with an upstream that leaves or has left.
    on_departure: Callable[[_model.Upstream], None]
    #: Requests the entries of a linked node; `merge_from_peer` is called with
    #: the answer.
    request_from_peer: Callable[[], None]
    #: Returns the clock reading of the last request, 0 before the first.
    used_at: Callable[[], float]
    #: Returns the seconds between checks of the watch while the node is in use.
    check_interval_s: Callable[[], float]
    #: Called with a departure that the store does not have, or no longer.
    on_unrecorded: Callable[[_model.Upstream], None]
    #: Called when this process has read the entries for the first time.
    on_first_list: Callable[[], None]


class KnownEntries(NamedTuple):
    """Entries that a node passes on to another one."""

    #: In state `ready`.
    ready: list[store.Item]
    #: Of upstreams that leave or have left.
    departed: list[store.Item]
    #: Whether they include all that was in the store at the request.
    is_current: bool = False


class DirectoryEntry:
    """Entry of one upstream, with its position and when it lapsed."""

    def __init__(
        self,
        upstream: _model.Upstream,
        position: store.Position,
        is_recorded: bool,
    ) -> None:
        """Creates an entry that is present in the store."""
        #: As stored, or in its state of departure if that is known.
        self.upstream = upstream
        #: Whether the stored entry is the record of a departure.
        self.is_recorded = is_recorded
        self.position = position
        #: When the entry disappeared from the store, None while it is present.
        self.lapsed_at: float | None = None


class EntriesByZone(NamedTuple):
    """Entries of one service in state `ready`, each list in random order."""

    #: In the availability zone of this node.
    own_zone: list[DirectoryEntry]
    #: In all other zones.
    other_zones: list[DirectoryEntry]


_NO_ENTRIES = EntriesByZone([], [])


def _address(upstream: _model.Upstream) -> tuple[str, int]:
    return (upstream.host, upstream.port)


def _is_outdated(item: store.Item, entry: DirectoryEntry) -> bool:
    """Returns whether an entry is of a later revision of an item's era."""
    if entry.position.era != item.position.era:
        return False
    return item.position < entry.position


def _is_superseded(
    item: store.Item, stored: _model.Upstream, entry: DirectoryEntry
) -> bool:
    """Returns whether an entry is of a later incarnation than an item.

    Within one era the item is the later one, also if the clock of the backend
    server was set back.
    """
    if entry.position.era == item.position.era:
        return False
    return stored.start_time_ms < entry.upstream.start_time_ms


class Directory:
    """Maintains the entries of all upstreams from the store and from peers."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an empty directory."""
        #: Set once all entries have been read from the store.
        self.synced = event.Event()
        #: Set then, or once peers have sent enough to know of departures.
        self.informed = event.Event()
        #: Whether the store was unavailable at the start and no peer has sent
        #: entries either.
        self.lacks_entries = False
        #: Highest position of an entry or removal received from the store.
        self._received = store.NO_POSITION
        #: Highest position of an entry merged from a peer since the entries
        #: were listed.
        self._merged = store.NO_POSITION
        #: Position up to which all changes have been received from the store.
        self._covered = store.NO_POSITION
        #: Highest position that a peer has reported since the entries were
        #: listed.
        self._peer_position = store.NO_POSITION
        #: Since when a peer has reported a later position than this node has,
        #: None if none has.
        self._behind_since: float | None = None
        self._restarted_at = 0.0
        #: Clock reading at which a later era that a peer told was last checked.
        self._rechecked_at = -math.inf
        #: Clock reading at which an era after the first was met.
        self._era_met_at = -math.inf
        #: Whether the store has failed since it last answered.
        self._store_failing = False
        #: Clock reading of the last answer of the store to a watch or check.
        self._answered_at = 0.0
        self._checking = False
        self._deps = deps
        self._task: gevent.Greenlet[[], None] | None = None
        self._look_timer: timing.Subscription | None = None
        self._entries: dict[str, DirectoryEntry] = {}
        #: Keys of the entries of each node by the node's address for links.
        self._keys_by_address: dict[tuple[str, int], set[str]] = {}
        self._entries_by_service: dict[str, EntriesByZone] = {}
        self._upstream_counts: dict[str, int] = {}
        self._index_outdated = False
        #: Entries of earlier incarnations than the known ones of a former era,
        #: by key. They apply if the known ones are not written again.
        self._superseded: dict[str, store.Item] = {}
        self._departures = _departures.Departures(deps.timers)

    def start(self) -> None:
        """Starts to list and watch the store."""
        self._task = _tasks.spawn("directory", self._watch)
        self._look_timer = self._deps.timers.every(
            CHECK_LOOK_INTERVAL_S, self._look
        )

    def stop(self) -> None:
        """Stops watching the store."""
        if self._look_timer is not None:
            self._look_timer.cancel()
        if self._task is not None:
            self._task.kill(block=False)

    def _restart(self) -> None:
        """Lists the store again and watches it on another connection."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = _tasks.spawn("directory", self._watch)

    def _look(self) -> None:
        self._apply_superseded()
        self._check_if_due()

    def _check_if_due(self) -> None:
        """Starts a check if requests rely on a watch without recent answers."""
        if not self.synced.is_set() or self._store_failing or self._checking:
            return
        if self._deps.used_at() <= self._answered_at:
            return
        inactive_s = self._deps.timers.now() - self._answered_at
        if inactive_s >= self._deps.check_interval_s():
            self._checking = True
            gevent.spawn(self._check)

    def _check(self) -> None:
        """Looks for changes that the waiting watch should have returned.

        If the check is not answered either, the store's client ends the watch.
        """
        after = self._covered
        try:
            page = self._deps.store.watch(PREFIX, after, 0.0)
            changes = len(page.items)
        except errors.HistoryLostError:
            changes = -1
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "directory.not_checked", exc)
            return
        finally:
            self._checking = False
        self._answered_at = self._deps.timers.now()
        if not changes or after != self._covered:
            return
        telemetry.event(
            _LOGGER,
            "directory.lost_changes",
            level=logging.WARNING,
            revision=after.revision,
            changes=changes,
        )
        self._restart()

    def catch_up(self) -> bool:
        """Applies all changes in the store; returns whether it has answered.

        The task that watches the store may lag behind, or wait for a response
        that was lost.
        """
        if not self.synced.is_set():
            return False
        try:
            try:
                page = self._deps.store.watch(PREFIX, self._covered, 0.0)
            except errors.HistoryLostError:
                self._list()
                return True
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "directory.not_caught_up", exc)
            return False
        for item in page.items:
            self.apply(item)
            self._received = max(self._received, item.position)
        return True

    def find(self, upstream_id: str) -> _model.Upstream | None:
        """Returns an upstream that is present or departed, None otherwise."""
        entry = self.find_entry(PREFIX + upstream_id)
        if entry is None:
            return self._departures.find(upstream_id)
        return entry.upstream

    def find_entry(self, key: str) -> DirectoryEntry | None:
        """Returns a present entry by its key, None without one."""
        entry = self._entries.get(key)
        if entry is None or entry.lapsed_at is not None:
            return None
        return entry

    def entries_by_zone(self, service: str) -> EntriesByZone:
        """Returns the ready entries of a service by zone."""
        return self._all_by_zone().get(service, _NO_ENTRIES)

    def is_usable(self, entry: DirectoryEntry) -> bool:
        """Returns whether calls may be sent to the upstream of an entry."""
        if entry.lapsed_at is None:
            return True
        if self._deps.timers.now() - entry.lapsed_at < LAPSE_GRACE_S:
            return True
        return self._deps.is_confirmed(entry.upstream)

    def services(self) -> Collection[str]:
        """Returns the names of all services that have an entry."""
        return self._all_by_zone()

    def upstream_counts(self) -> Mapping[str, int]:
        """Returns the number of ready upstreams of each service."""
        self._all_by_zone()
        return self._upstream_counts

    def node_addresses(self) -> list[tuple[str, int]]:
        """Returns the addresses for links of the nodes that have an entry."""
        return list(self._keys_by_address)

    def nodes_by_distance(self) -> list[tuple[str, int]]:
        """Returns `node_addresses` in random order, the own zone first."""
        addresses = self.node_addresses()
        self._deps.rng.shuffle(addresses)
        addresses.sort(key=self._is_in_other_zone)
        return addresses

    def _is_in_other_zone(self, address: tuple[str, int]) -> bool:
        keys = self._keys_by_address[address]
        zones = {self._entries[key].upstream.zone for key in keys}
        return self._deps.zone not in zones

    def node_count(self) -> int:
        """Returns the number of nodes that have an entry."""
        return len(self._keys_by_address)

    def entries(self, after: store.Position) -> KnownEntries | None:
        """Returns all departures, and the ready entries after a position.

        Returns None if neither the store nor a peer has informed this node: it
        does not know of departures then.
        """
        if not self.informed.is_set():
            return None
        known = KnownEntries([], [])
        for key, entry in self._entries.items():
            if entry.upstream.state is not _model.UpstreamState.READY:
                continue
            if entry.position > after:
                value = encode_entry(entry.upstream)
                known.ready.append(store.Item(key, value, entry.position))
        departures = {each.id: each for each in self._departures.list_all()}
        for entry in self._entries.values():
            if entry.upstream.state is not _model.UpstreamState.READY:
                departures[entry.upstream.id] = entry.upstream
        for departed in departures.values():
            value = encode_entry(departed)
            known.departed.append(
                store.Item(PREFIX + departed.id, value, store.NO_POSITION)
            )
        return known

    @property
    def position(self) -> store.Position:
        """Highest position of an entry or removal that this node has received.

        An era that only peers know of is not passed on.
        """
        if self._received.era and self._merged.era != self._received.era:
            return self._received
        return max(self._received, self._merged)

    @property
    def complete_position(self) -> store.Position:
        """Position up to which this node has all ready entries.

        A peer is asked for later ones only.

        Everything up to it came from the store, or the ready entries of a peer
        were merged up to it.
        """
        return max(self._received, self._covered, self._merged)

    def record_peer_position(self, position: store.Position) -> bool:
        """Records the last position that a peer has received.

        A node that keeps lagging behind its peers has a broken watch, which is
        restarted here, or can't reach the store.

        Returns:
            Whether the peer should send its entries after `complete_position`.
        """
        complete = self.complete_position
        now = self._deps.timers.now()
        if 0 < self._covered.era < position.era:
            self._recheck_era(position.era, now)
        if self._peer_position <= complete:
            # This node has caught up with all positions reported before.
            self._behind_since = None
        self._peer_position = max(self._peer_position, position)
        if position <= complete:
            return False
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < MAX_LAG_S:
            return False
        if now - self._restarted_at < MIN_RESTART_INTERVAL_S:
            return False
        self._restarted_at = now
        telemetry.event(
            _LOGGER,
            "directory.behind",
            level=logging.WARNING,
            era=complete.era,
            revision=complete.revision,
            told_era=position.era,
            told=position.revision,
            age_s=round(now - self._behind_since, 2),
        )
        if not self._store_failing:
            self._restart()
        return True

    def _recheck_era(self, era: int, now: float) -> None:
        """Asks the store for its era, since a peer has told of a later one."""
        if now - self._rechecked_at < MIN_RESTART_INTERVAL_S:
            return
        self._rechecked_at = now
        telemetry.event(
            _LOGGER, "directory.era_told", era=self._covered.era, told=era
        )
        self._deps.store.recheck_era()

    def needs_record(self, departed: _model.Upstream) -> bool:
        """Returns whether the store lacked a departure when last read.

        It does not need that of an incarnation before the one that is known.
        """
        if self._has_later_incarnation(departed):
            return False
        entry = self.find_entry(PREFIX + departed.id)
        return entry is None or not entry.is_recorded

    def _has_later_incarnation(self, departed: _model.Upstream) -> bool:
        """Returns whether the incarnation behind a departure is known."""
        entry = self._entries.get(PREFIX + departed.id)
        if entry is None:
            return False
        return not _departures.is_departed(departed, entry.upstream)

    def record_departure(self, departed: _model.Upstream) -> None:
        """Handles a departure that a peer has reported.

        The entry of that incarnation, present or read later, counts as the
        departure.
        """
        if not self._departures.add(departed):
            return
        entry = self._entries.get(PREFIX + departed.id)
        if entry is not None:
            entry.upstream = self._apply_departure(entry.upstream)
            self._index_outdated = True
        self._deps.on_departure(departed)

    def _apply_departure(self, upstream: _model.Upstream) -> _model.Upstream:
        """Returns an upstream in its state of departure, if one is known."""
        departed = self._departures.find(upstream.id)
        if departed is None or not _departures.is_departed(departed, upstream):
            return upstream
        if upstream.state is not _model.UpstreamState.READY:
            return upstream
        return upstream._replace(state=departed.state)

    def merge_from_peer(self, known: KnownEntries) -> None:
        """Applies what a peer knows and this node does not.

        Later entries from the store replace them. Only a peer that has caught
        up with the store informs this node; what another one knows of
        departures may be incomplete.
        """
        for item in known.departed:
            departed = decode_entry(item.key, item.value or b"")
            if departed and departed.state is not _model.UpstreamState.READY:
                self.record_departure(departed)
        if known.is_current:
            self.informed.set()
        after = self.complete_position
        newer = [item for item in known.ready if item.position > after]
        if not newer:
            return
        self.lacks_entries = False
        telemetry.event(_LOGGER, "directory.from_peer", entries=len(newer))
        for item in newer:
            entry = self._entries.get(item.key)
            if entry is not None and item.position < entry.position:
                continue
            self._apply(item)
            self._merged = max(self._merged, item.position)

    def apply(self, item: store.Item) -> None:
        """Applies one entry or its removal from the store.

        It is outdated if a later one of the same era is known. An entry of
        another era, even a later one, is known from a peer or from before.
        """
        entry = self._entries.get(item.key)
        if entry is None or not _is_outdated(item, entry):
            self._apply(item)

    def _apply(self, item: store.Item) -> None:
        entry = self._entries.get(item.key)
        self._superseded.pop(item.key, None)
        if item.value is None:
            self._handle_removal(item.key)
            return
        stored = decode_entry(item.key, item.value)
        if stored is None:
            return
        if entry is not None and _is_superseded(item, stored, entry):
            # The copy of the store is older than the known incarnation, whose
            # node has some time to write it again.
            self._handle_removal(item.key)
            self._superseded[item.key] = item
            return
        upstream = self._apply_departure(stored)
        if entry is not None:
            # The upstream may have a new address.
            self._delete(item.key)
        if upstream.state is _model.UpstreamState.READY:
            self._delete_predecessors(upstream, item.position)
        is_recorded = stored.state is not _model.UpstreamState.READY
        self._entries[item.key] = DirectoryEntry(
            upstream, item.position, is_recorded
        )
        self._keys_by_address.setdefault(_address(upstream), set()).add(
            item.key
        )
        self._index_outdated = True
        telemetry.event(
            _LOGGER,
            "directory.entry",
            upstream=upstream.id,
            service=upstream.service,
            peer=f"{upstream.host}:{upstream.port}",
            state=upstream.state,
            era=item.position.era,
            revision=item.position.revision,
        )
        if upstream.state is _model.UpstreamState.READY:
            return
        self._departures.add(upstream)
        self._deps.on_departure(upstream)
        if not is_recorded:
            # The entry may have been written late, or come from a copy.
            self._deps.on_unrecorded(upstream)

    def _apply_superseded(self) -> None:
        """Applies entries of a copy whose later incarnations are gone."""
        for key, item in list(self._superseded.items()):
            entry = self._entries.get(key)
            if entry is not None and self.is_usable(entry):
                continue
            if entry is not None:
                self._delete(key)
            self._apply(item)

    def _delete_predecessors(
        self, upstream: _model.Upstream, position: store.Position
    ) -> None:
        """Deletes older entries of the same node, which has one upstream.

        Only for an upstream in use: the record of a departure may be written
        after the next upstream has been announced.
        Which of two eras is older does not show which upstream is: a copy of
        the store brings a predecessor back.
        """
        for key in list(self._keys_by_address.get(_address(upstream), ())):
            entry = self._entries[key]
            if entry.upstream.id == upstream.id:
                continue
            is_same_era = entry.position.era == position.era
            if is_same_era and entry.position < position:
                self._delete(key)

    def _delete(self, key: str) -> None:
        """Deletes an entry, also from the index by address."""
        entry = self._entries.pop(key)
        keys = self._keys_by_address[_address(entry.upstream)]
        keys.discard(key)
        if not keys:
            del self._keys_by_address[_address(entry.upstream)]
        self._index_outdated = True

    def _handle_removal(self, key: str) -> None:
        """Marks a removed entry as lapsed.

        Deletes it instead if its upstream is not in state `ready`.
        """
        entry = self._entries.get(key)
        self._deps.on_removed(key)
        if entry is None or entry.lapsed_at is not None:
            return
        telemetry.event(
            _LOGGER,
            "directory.removed",
            upstream=entry.upstream.id,
            state=entry.upstream.state,
            revision=entry.position.revision,
        )
        if entry.upstream.state is not _model.UpstreamState.READY:
            self._delete(key)
            return
        entry.lapsed_at = self._deps.timers.now()

    def _all_by_zone(self) -> dict[str, EntriesByZone]:
        """Returns the entries of all services; rebuilds them if outdated."""
        if not self._index_outdated:
            return self._entries_by_service
        services: dict[str, EntriesByZone] = {}
        for entry in self._entries.values():
            upstream = entry.upstream
            by_zone = services.setdefault(
                upstream.service, EntriesByZone([], [])
            )
            if upstream.state is not _model.UpstreamState.READY:
                continue
            in_own_zone = upstream.zone == self._deps.zone
            (by_zone.own_zone if in_own_zone else by_zone.other_zones).append(
                entry
            )
        for by_zone in services.values():
            self._deps.rng.shuffle(by_zone.own_zone)
            self._deps.rng.shuffle(by_zone.other_zones)
        self._entries_by_service = services
        self._upstream_counts = {
            service: len(by_zone.own_zone) + len(by_zone.other_zones)
            for service, by_zone in services.items()
        }
        self._index_outdated = False
        return services

    def remove_lapsed(self) -> None:
        """Deletes lapsed entries that no link confirms."""
        now = self._deps.timers.now()
        for key, entry in list(self._entries.items()):
            if entry.lapsed_at is None:
                continue
            if now - entry.lapsed_at < LAPSE_GRACE_S:
                continue
            if self._deps.is_confirmed(entry.upstream):
                continue
            self._delete(key)

    def _watch(self) -> None:
        """Lists all entries, then applies changes from the store."""
        after: store.Position | None = None
        backoff = _backoff.Backoff("directory")
        while True:
            try:
                if after is None:
                    after = self._list()
                # After a failure, the first answer must not take long.
                wait_s = (
                    0.0 if self._store_failing else _watch_checks.LONGEST_WAIT_S
                )
                page = self._deps.store.watch(PREFIX, after, wait_s)
            except errors.HistoryLostError:
                after = None
                continue
            except errors.StoreError as exc:
                self._store_failing = True
                if not self.synced.is_set() and not self._entries:
                    self.lacks_entries = True
                    self._deps.request_from_peer()
                backoff.wait(exc)
                continue
            backoff.reset()
            self._store_failing = False
            self._answered_at = self._deps.timers.now()
            after = max(after, page.as_of)
            for item in page.items:
                self.apply(item)
                self._received = max(self._received, item.position)
            self._covered = after
            self.remove_lapsed()
            if page.items:
                era_age_s = self._deps.timers.now() - self._era_met_at
                gevent.sleep(batch_delay_s(len(self._entries), era_age_s))

    def _list(self) -> store.Position:
        """Lists all entries and returns the position to watch from."""
        page = self._deps.store.list_prefix(PREFIX)
        # The first list of a process ends no era that it knows.
        is_known = self._covered != store.NO_POSITION
        is_new_era = is_known and page.as_of.era != self._covered.era
        present = {item.key for item in page.items}
        if is_new_era:
            self._keep_departures(present)
        self._superseded.clear()
        self._received = store.Position(page.as_of.era, 0)
        for item in page.items:
            # The store's word ends what peers have told.
            self._apply(item)
            self._received = max(self._received, item.position)
        for key in list(self._entries):
            if key not in present:
                self._handle_removal(key)
        if is_new_era:
            self._era_met_at = self._deps.timers.now()
            self._log_era(page)
        self._covered = self._peer_position = page.as_of
        self._merged = store.NO_POSITION
        self._behind_since = None
        self.lacks_entries = False
        self._store_failing = False
        self._answered_at = self._deps.timers.now()
        self.informed.set()
        if not self.synced.is_set():
            self.synced.set()
            self._deps.on_first_list()
        return page.as_of

    def _keep_departures(self, present: Collection[str]) -> None:
        """Keeps departures that a copy of the store does not have.

        Those of which it has an entry are handled when that is applied.
        """
        for entry in self._entries.values():
            if entry.upstream.state is not _model.UpstreamState.READY:
                self._departures.renew(entry.upstream)
        for departed in self._departures.list_all():
            if PREFIX + departed.id in present:
                continue
            if not self._has_later_incarnation(departed):
                self._deps.on_unrecorded(departed)

    def _log_era(self, page: store.Page) -> None:
        departures = self._departures.list_all()
        telemetry.event(
            _LOGGER,
            "directory.new_era",
            level=logging.WARNING,
            era=page.as_of.era,
            former=self._covered.era,
            revision=page.as_of.revision,
            before=self._covered.revision,
            entries=len(page.items),
            lapsed=sum(
                entry.lapsed_at is not None for entry in self._entries.values()
            ),
            unrecorded=sum(self.needs_record(each) for each in departures),
        )
