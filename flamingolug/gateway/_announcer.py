"""Announces this node's upstream in the store under a lease."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _backoff
from flamingolug.gateway import _directory
from flamingolug.gateway import _model

_LOGGER = logging.getLogger(__name__)
#: Time to live of an entry after the last renewal, seconds. Peers detect the
#: failure of a node earlier over their links; the end of the lease matters only
#: to peers that have no link to the node.
LEASE_TTL_S = 8.0
#: Seconds between renewals: two may fail before the lease ends.
RENEWAL_INTERVAL_S = 2.5
#: Time to live of a tombstone, the entry of an upstream in state `gone`,
#: seconds. By it, a restarted node recognises delayed reports of that upstream,
#: which arrive within this time.
TOMBSTONE_TTL_S = 60.0


class Dependencies(NamedTuple):
    """Dependencies of the announcer."""

    cfg: _model.GatewaySettings
    store: store.LeasedStore
    timers: timing.Timers
    #: Returns the last report of the backend server, None without one.
    report: Callable[[], _model.Report | None]
    #: Returns the revision of an entry that the directory has, 0 for none.
    revision_of: Callable[[str], int]


class Announcer:
    """Writes the upstream's entry when it changes and renews its lease."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an announcer that has written no entry."""
        self._deps = deps
        self._wake = event.Event()
        self._task: gevent.Greenlet[[], None] | None = None
        #: Lease of the entry, 0 for none.
        self._lease = 0
        self._renewed_at = 0.0
        #: Entry as written last, None if it has to be written.
        self._written: _model.Upstream | None = None
        self._stopped = False
        #: Revision of the entry that this node wrote last, by its key; empty
        #: if it must be read from the store.
        self._revisions: dict[str, int] = {}
        #: Keys that this node has tried to write.
        self._attempted_keys: set[str] = set()
        #: Set when the entry in the store is up to date.
        self._published = event.Event()

    def start(self) -> None:
        """Starts to write the entry and renew its lease."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops renewing the lease; the entry lapses unless withdrawn."""
        if self._task is not None:
            self._task.kill(block=False)

    def publish(self, wait_s: float = 0.0) -> bool:
        """Requests a write of the entry.

        Args:
            wait_s: how long to wait for the write, 0 for not at all.

        Returns:
            Whether the entry in the store was up to date within that time.
        """
        self._published.clear()
        self._wake.set()
        if wait_s <= 0.0:
            return False
        return bool(self._published.wait(wait_s))

    def on_removed(self, key: str) -> None:
        """Requests another write if the removed key is this node's entry."""
        written = self._written
        if written is not None and key == _directory.PREFIX + written.id:
            self._written = None
            self._revisions.clear()
            self._wake.set()

    def withdraw(self) -> None:
        """Ends the lease, which removes the entry unless it is a tombstone."""
        self._stopped = True
        if not self._lease:
            return
        try:
            self._deps.store.end_lease(self._lease)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "announcement.not_removed", exc)

    def _make_entry(self) -> _model.Upstream | None:
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

    def _run(self) -> None:
        backoff = _backoff.Backoff("announcement")
        while not self._stopped:
            self._wake.wait(RENEWAL_INTERVAL_S)
            self._wake.clear()
            if self._stopped:
                return
            try:
                self._update_store()
            except errors.LeaseLostError:
                telemetry.event(
                    _LOGGER,
                    "lease.lost",
                    lease=self._lease,
                    age_s=round(self._deps.timers.now() - self._renewed_at, 2),
                )
                self._lease = 0
                self._written = None
                self._revisions.clear()
                self._wake.set()
            except errors.StoreConflictError as exc:
                telemetry.failure(_LOGGER, "announcement.conflict", exc)
                backoff.wait(exc)
                self._wake.set()
            except errors.StoreError as exc:
                backoff.wait(exc)
                self._wake.set()
            else:
                backoff.reset()

    def _update_store(self) -> None:
        """Renews the lease when it is due and writes a changed entry."""
        desired = self._make_entry()
        if desired is None:
            return
        now = self._deps.timers.now()
        if not self._lease:
            self._lease = self._deps.store.grant_lease(
                max(LEASE_TTL_S, self._deps.cfg.min_lease_s)
            )
            self._renewed_at = now
        # Nine tenths: a slightly early wake-up does not skip a renewal.
        elif now - self._renewed_at > RENEWAL_INTERVAL_S * 0.9:
            self._deps.store.renew_lease(self._lease)
            self._renewed_at = now
        written = self._written
        if written is None or written._replace(sequence=0) != desired._replace(
            sequence=0
        ):
            self._write(desired)
        self._published.set()

    def _write(self, desired: _model.Upstream) -> None:
        key = _directory.PREFIX + desired.id
        value = _directory.encode_entry(desired)
        revision = self._find_revision(key)
        lease = self._lease
        if desired.state is _model.UpstreamState.GONE:
            lease = self._deps.store.grant_lease(TOMBSTONE_TTL_S)
        deletes: list[str] = []
        written = self._written
        gone = _model.UpstreamState.GONE
        replaced = written is not None and written.id != desired.id
        if written is not None and replaced and written.state is not gone:
            deletes.append(_directory.PREFIX + written.id)
        # If the answer to the write is lost, the key's revision is read again
        # before the next attempt.
        self._revisions.clear()
        self._revisions[key] = self._deps.store.write(
            key, value, revision, lease, deletes
        )
        self._written = desired
        telemetry.event(
            _LOGGER,
            "announcement.written",
            upstream=desired.id,
            state=desired.state,
            lease=lease,
        )

    def _find_revision(self, key: str) -> int:
        """Returns the revision that a write of an entry has to expect.

        The first write of a node expects what the directory has, which saves a
        call to the store for each node that starts. If that is outdated, the
        write conflicts and the next one reads the revision.
        """
        revision = self._revisions.get(key)
        if revision is not None:
            return revision
        if key not in self._attempted_keys:
            self._attempted_keys.add(key)
            return self._deps.revision_of(key)
        page = self._deps.store.read(key)
        return page.items[0].revision if page.items else 0
