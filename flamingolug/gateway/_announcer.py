"""Keeps the entry of this node's upstream in the store."""

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
#: Life of an entry after its node has fallen silent, seconds. Links notice
#: sooner; this only clears what nobody talks to.
LEASE_S = 8.0
#: Seconds between renewals: two may be lost before the lease ends.
RENEW_S = 2.5
#: Life of the note that an upstream has left, seconds. A delayed report of it
#: arrives within this time, also after a restart of the node.
TOMBSTONE_S = 60.0


class Dependencies(NamedTuple):
    """What the announcer works with."""

    cfg: _model.GatewaySettings
    store: store.LeasedStore
    timers: timing.Timers
    #: What the backend server last reported, None for nothing.
    report: Callable[[], _model.Report | None]


class Announcer:
    """Writes the upstream's entry when it changes and keeps its lease."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without an entry."""
        self._deps = deps
        self._wake = event.Event()
        self._task: gevent.Greenlet[[], None] | None = None
        self._lease = 0
        self._renewed_at = 0.0
        self._written: _model.Upstream | None = None
        self._stopped = False
        #: Revisions of keys as this node wrote them last.
        self._revisions: dict[str, int] = {}
        self._published = event.Event()

    def start(self) -> None:
        """Begins to keep the entry."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends keeping the entry; it lapses unless it was withdrawn."""
        if self._task is not None:
            self._task.kill(block=False)

    def publish(self, wait_s: float = 0.0) -> bool:
        """Writes the entry anew; returns whether it is written in time."""
        self._published.clear()
        self._wake.set()
        if wait_s <= 0.0:
            return False
        return bool(self._published.wait(wait_s))

    def on_removed(self, key: str) -> None:
        """Writes the entry again when it has vanished."""
        written = self._written
        if written is not None and key == _directory.PREFIX + written.id:
            self._written = None
            self._revisions.clear()
            self._wake.set()

    def withdraw(self) -> None:
        """Removes the entry, unless it tells that the upstream left."""
        self._stopped = True
        if not self._lease:
            return
        try:
            self._deps.store.end_lease(self._lease)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "announcement.not_removed", exc)

    def _desired(self) -> _model.Upstream | None:
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
            self._wake.wait(RENEW_S)
            self._wake.clear()
            if self._stopped:
                return
            try:
                self._keep()
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
                backoff.succeeded()

    def _keep(self) -> None:
        """Renews the lease when it is due and writes what has changed."""
        desired = self._desired()
        if desired is None:
            return
        now = self._deps.timers.now()
        if not self._lease:
            self._lease = self._deps.store.grant_lease(
                max(LEASE_S, self._deps.cfg.min_lease_s)
            )
            self._renewed_at = now
        elif now - self._renewed_at > RENEW_S * 0.9:
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
        revision = self._revisions.get(key)
        if revision is None:
            page = self._deps.store.read(key)
            revision = page.items[0].revision if page.items else 0
        lease = self._lease
        if desired.state is _model.UpstreamState.GONE:
            lease = self._deps.store.grant_lease(TOMBSTONE_S)
        deletes: list[str] = []
        written = self._written
        gone = _model.UpstreamState.GONE
        replaced = written is not None and written.id != desired.id
        if written is not None and replaced and written.state is not gone:
            deletes.append(_directory.PREFIX + written.id)
        # Should the answer be lost, the key is read before the next try.
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
