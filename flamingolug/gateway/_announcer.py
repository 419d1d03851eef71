"""Announces this node's upstream in the store under a lease."""

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _backoff
from flamingolug.gateway import _departure_records
from flamingolug.gateway import _departures
from flamingolug.gateway import _directory
from flamingolug.gateway import _held_lease
from flamingolug.gateway import _model
from flamingolug.gateway import _tasks

_LOGGER = logging.getLogger(__name__)
#: Time to live of an entry after the last renewal, seconds. Peers detect the
#: failure of a node earlier over their links; the end of the lease matters only
#: to peers that have no link to the node.
LEASE_TTL_S = 8.0
#: Seconds between renewals: two may fail before the lease ends.
RENEWAL_INTERVAL_S = 2.5
#: Longest mean wait, seconds, between attempts to write a departure during a
#: stop, of which each second counts.
STOP_RETRY_WAIT_S = 0.2
#: Writing calls of a node after the store has returned from a copy: a lease and
#: an entry.
REWRITE_CALLS = 2
#: Fraction of the store's rate of writes that these calls may take.
REWRITE_RATE_FRACTION = 0.5
#: Longest time in which the entries are written again, seconds. They count as
#: gone two seconds after the return, and a node may notice it only after
#: `_backoff.MAX_WAIT_S` with jitter.
MAX_REWRITE_WINDOW_S = 0.5


def rewrite_window_s(node_count: int, writes_per_s: float) -> float:
    """Returns the seconds in which the nodes write their entries again."""
    calls = node_count * REWRITE_CALLS
    window_s = calls / (writes_per_s * REWRITE_RATE_FRACTION)
    return min(window_s, MAX_REWRITE_WINDOW_S)


class Dependencies(NamedTuple):
    """Dependencies of the announcer."""

    cfg: _model.GatewaySettings
    store: store.LeasedStore
    timers: timing.Timers
    #: Returns the last report of the backend server, None without one.
    report: Callable[[], _model.Report | None]
    #: Returns the entry of a key that the directory has, None without one.
    find_entry: Callable[[str], _directory.DirectoryEntry | None]
    #: Handles an entry which says that the upstream in use leaves, or which
    #: belongs to a later incarnation.
    on_departure: Callable[[_model.Upstream], None]
    #: Returns the seconds in which the nodes write their entries again after
    #: the store has returned from a copy.
    rewrite_window_s: Callable[[], float]
    rng: random.Random


class Announcer:
    """Writes the upstream's entry when it changes and renews its lease."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an announcer that has written no entry."""
        self._deps = deps
        self._wake = event.Event()
        self._task: gevent.Greenlet[[], None] | None = None
        #: Lease of the entry of an upstream in use.
        self._ready_lease = self._new_lease(LEASE_TTL_S, RENEWAL_INTERVAL_S)
        #: Lease of the entry of an upstream that is leaving or has left; it
        #: outlasts the node.
        self._departure_lease = self._new_lease(
            _departures.DEPARTURE_TTL_S,
            _departure_records.RENEWAL_INTERVAL_S,
        )
        #: Entry as written last, None if it has to be written.
        self._written: _model.Upstream | None = None
        #: Whether an upstream in use is no longer announced.
        self._withdrawn = False
        #: Position of the entry that this node wrote last, by its key; empty
        #: if it must be read from the store.
        self._positions: dict[str, store.Position] = {}
        #: Keys that this node has tried to write.
        self._attempted_keys: set[str] = set()
        #: Set when the entry in the store is up to date.
        self._published = event.Event()
        #: Whether a copy of the store may have brought back an entry that this
        #: node has removed.
        self._removal_due = False
        #: Clock reading since which the entry has to be written again, because
        #: the store has returned from a copy; None without a need.
        self._rewriting_since: float | None = None

    def _new_lease(
        self, ttl_s: float, renewal_interval_s: float
    ) -> _held_lease.HeldLease:
        return _held_lease.HeldLease(
            self._deps.store,
            self._deps.timers,
            max(ttl_s, self._deps.cfg.min_lease_s),
            renewal_interval_s,
        )

    def start(self) -> None:
        """Starts to write the entry and renew its lease."""
        self._task = _tasks.spawn("announcement", self._run)

    def stop(self) -> None:
        """Stops writing entries and renewing leases, which then lapse."""
        if self._task is not None:
            self._task.kill(block=False)

    @property
    def has_unwritten_departure(self) -> bool:
        """Whether the upstream is leaving and the store does not say so."""
        desired = self.make_entry()
        if desired is None or desired.state is _model.UpstreamState.READY:
            return False
        return not self._is_written(desired)

    def has_departure(self, departed: _model.Upstream) -> bool:
        """Returns whether this node has recorded a departure in the store."""
        written = self._written
        return written is not None and _departures.is_departed(
            written, departed
        )

    def announces_departure_of(self, upstream_id: str) -> bool:
        """Returns whether this node keeps the record of a departure."""
        desired = self.make_entry()
        if desired is None or desired.id != upstream_id:
            return False
        return desired.state is not _model.UpstreamState.READY

    def publish(self) -> event.Event:
        """Requests a write of the entry.

        Returns:
            An event that is set when the entry in the store is up to date.
        """
        self._published.clear()
        self._wake.set()
        return self._published

    def on_removed(self, key: str) -> None:
        """Requests another write if the removed key is this node's entry."""
        written = self._written
        if written is not None and key == _directory.PREFIX + written.id:
            self._written = None
            self._positions.clear()
            self._wake.set()

    def handle_new_era(self) -> None:
        """Writes the entry again, since the store may have lost it.

        A departure is written at once; other entries are spread over the
        window, so that the nodes do not all write at the same moment.
        """
        self._forget_leases()
        self._removal_due = self._withdrawn
        desired = self.make_entry()
        if desired is None:
            return
        self._published.clear()
        if self._rewriting_since is None:
            self._rewriting_since = self._deps.timers.now()
        if desired.state is not _model.UpstreamState.READY:
            self._wake.set()
            return
        window_s = self._deps.rewrite_window_s()
        gevent.spawn_later(
            self._deps.rng.uniform(0.0, window_s), self._wake.set
        )

    def withdraw(self) -> None:
        """Requests the removal of the entry of an upstream in use.

        If the upstream leaves later, that is still written.
        """
        self._withdrawn = True
        self._wake.set()

    def make_entry(self) -> _model.Upstream | None:
        """Returns the entry of the upstream, None if it has not reported."""
        report = self._deps.report()
        if report is None:
            return None
        host, port = self._deps.cfg.link
        return _model.Upstream(
            report.id,
            report.service,
            self._deps.cfg.identity.zone,
            host,
            port,
            report.slots,
            report.state,
            report.start_time_ms,
            report.sequence,
        )

    def _is_written(self, desired: _model.Upstream) -> bool:
        """Returns whether the entry in the store is up to date."""
        written = self._written
        if written is None:
            return False
        return written._replace(sequence=0) == desired._replace(sequence=0)

    def _run(self) -> None:
        backoff = _backoff.Backoff("announcement")
        while True:
            self._wake.wait(RENEWAL_INTERVAL_S)
            self._wake.clear()
            try:
                self._update_store()
            except errors.LeaseLostError:
                self._handle_lost_lease()
            except errors.StoreConflictError as exc:
                telemetry.failure(_LOGGER, "announcement.conflict", exc)
                backoff.wait(exc, self._longest_wait_s())
                self._wake.set()
            except errors.StoreError as exc:
                backoff.wait(exc, self._longest_wait_s())
                self._wake.set()
            else:
                backoff.reset()

    def _longest_wait_s(self) -> float:
        if self._withdrawn and self.has_unwritten_departure:
            return STOP_RETRY_WAIT_S
        return _backoff.MAX_WAIT_S

    def _handle_lost_lease(self) -> None:
        """Forgets both leases: the answer does not say which has ended."""
        self._forget_leases()
        self._wake.set()

    def _forget_leases(self) -> None:
        """Forgets both leases and what was written under them."""
        for held in (self._ready_lease, self._departure_lease):
            if held.lease is not None:
                telemetry.event(
                    _LOGGER,
                    "lease.lost",
                    era=held.lease.era,
                    lease=held.lease.number,
                    age_s=round(held.age_s, 2),
                )
            held.forget()
        self._written = None
        self._positions.clear()

    def _update_store(self) -> None:
        """Writes a changed entry, or removes it; renews its lease when due."""
        desired = self.make_entry()
        if desired is None:
            return
        if desired.state is not _model.UpstreamState.READY:
            held, unused = self._departure_lease, self._ready_lease
        elif self._withdrawn:
            self._remove(desired)
            return
        else:
            held, unused = self._ready_lease, self._departure_lease
        lease = held.hold()
        if not self._is_written(desired):
            self._write(desired, lease)
        unused.forget()
        current = self.make_entry()
        # The upstream may have reported again during the calls.
        if current is None or not self._is_written(current):
            return
        self._published.set()
        if self._rewriting_since is not None:
            telemetry.event(
                _LOGGER,
                "announcement.restored",
                upstream=current.id,
                state=current.state,
                era=lease.era,
                took_s=round(
                    self._deps.timers.now() - self._rewriting_since, 3
                ),
            )
            self._rewriting_since = None

    def _remove(self, upstream: _model.Upstream) -> None:
        """Removes the entry of an upstream in use, if the store has it.

        The lease then lapses. Its end would also remove what another holder of
        its number has written since the store returned from a copy.
        """
        if self._ready_lease.lease is None and not self._removal_due:
            return
        key = _directory.PREFIX + upstream.id
        stored, position = self._find_stored(key)
        # If the answer is lost, the key's position is read again.
        self._positions.clear()
        self._written = None
        departed = stored is not None and _departures.is_departed(
            stored, upstream
        )
        if position != store.NO_POSITION and not departed:
            self._deps.store.delete(key, position)
        self._ready_lease.forget()
        self._removal_due = False

    def _write(self, desired: _model.Upstream, lease: store.Lease) -> None:
        key = _directory.PREFIX + desired.id
        value = _directory.encode_entry(desired)
        stored, position = self._find_stored(key)
        is_ready = desired.state is _model.UpstreamState.READY
        if is_ready and stored and _departures.is_departed(stored, desired):
            # An earlier process of this node has acknowledged the departure.
            self._deps.on_departure(stored)
            self._wake.set()
            return
        deletes: list[str] = []
        written = self._written
        gone = _model.UpstreamState.GONE
        replaced = written is not None and written.id != desired.id
        if written is not None and replaced and written.state is not gone:
            deletes.append(_directory.PREFIX + written.id)
        # If the answer to the write is lost, the key's position is read again
        # before the next attempt.
        self._positions.clear()
        self._positions[key] = self._deps.store.write(
            key, value, position, lease, deletes
        )
        self._written = desired
        telemetry.event(
            _LOGGER,
            "announcement.written",
            upstream=desired.id,
            state=desired.state,
            lease=lease.number,
        )

    def _find_stored(
        self, key: str
    ) -> tuple[_model.Upstream | None, store.Position]:
        """Returns the entry in the store and its position.

        The entry is None too if this node has written it.

        The first write of a node expects what the directory has, which saves a
        call to the store for each node that starts. If that is outdated, the
        write conflicts and the next one reads the entry.
        """
        position = self._positions.get(key)
        if position is not None:
            return None, position
        if key not in self._attempted_keys:
            self._attempted_keys.add(key)
            entry = self._deps.find_entry(key)
            if entry is None:
                return None, store.NO_POSITION
            return entry.upstream, entry.position
        items = self._deps.store.read(key).items
        if not items:
            return None, store.NO_POSITION
        value = items[0].value
        stored = _directory.decode_entry(key, value) if value else None
        return stored, items[0].position
