"""Active configuration; its version never decreases while a node runs."""

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
from flamingolug.gateway import _model
from flamingolug.gateway import _routes
from flamingolug.gateway import _tasks
from flamingolug.gateway import _watch_checks

_LOGGER = logging.getLogger(__name__)
#: Seconds between two looks whether a check of the watch is due.
CHECK_LOOK_INTERVAL_S = 0.25
#: Longest wait of a request for an overdue check, seconds: a call takes as long
#: to a store that is slower than normal by a factor of 60.
MAX_CHECK_WAIT_S = 0.3


class ActiveConfiguration(NamedTuple):
    """A configuration with its route table."""

    cfg: _model.Configuration
    table: _routes.RouteTable


class Dependencies(NamedTuple):
    """Dependencies of the watcher."""

    store: store.LeasedStore
    #: Key under which operators store the configuration.
    key: str
    #: Decodes a stored document; raises ConfigurationError.
    decode: Callable[[bytes], _model.Configuration]
    timers: timing.Timers
    #: Returns the seconds between checks of the watch while the node is in use.
    check_interval_s: Callable[[], float]


class ConfigurationWatcher:
    """Activates newer configurations from the store and from other nodes."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates a watcher without a configuration."""
        self.active: ActiveConfiguration | None = None
        #: Whether changes in the store are received without a gap.
        self.following = False
        #: Clock reading of the last request, 0 before the first.
        self.used_at = 0.0
        self._deps = deps
        self._task: gevent.Greenlet[[], None] | None = None
        #: Position up to which all changes have been received, None before the
        #: first answer of the store and after a loss of its history.
        self._after: store.Position | None = None
        #: Clock reading of the last answer of the store to a watch or check.
        self._answered_at = 0.0
        #: Set unless a check is in progress.
        self._checked = event.Event()
        self._checked.set()
        #: Clock reading until which requests wait for the check in progress.
        self._wait_until = 0.0
        #: Clock reading from which on a request looks whether a check is due.
        self._look_at = 0.0

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 for none."""
        return self.active.cfg.version if self.active else 0

    def use(self) -> ActiveConfiguration | None:
        """Returns the configuration for a request; checks the watch if due.

        Waits for the check if it is overdue, as after a time without requests.
        """
        now = self._deps.timers.now()
        self.used_at = now
        if self._checked.is_set():
            self._check_if_due(now)
        if not self._checked.is_set() and now < self._wait_until:
            self._checked.wait(self._wait_until - now)
        return self.active

    def _check_if_due(self, now: float) -> None:
        if not self.following or self._after is None or now < self._look_at:
            return
        self._look_at = now + CHECK_LOOK_INTERVAL_S
        age_s = now - self._answered_at
        interval_s = self._deps.check_interval_s()
        if age_s < interval_s:
            return
        is_overdue = age_s >= interval_s + _watch_checks.CHECK_DURATION_S
        self._wait_until = now + MAX_CHECK_WAIT_S if is_overdue else now
        self._checked.clear()
        gevent.spawn(self._run_check)

    def _run_check(self) -> None:
        try:
            self._check()
        finally:
            self._checked.set()

    def document(self) -> bytes | None:
        """Returns the document of the active configuration, None for none."""
        return self.active.cfg.document if self.active else None

    def activate_if_newer(self, document: bytes, source: str) -> None:
        """Activates a configuration if it is newer than the active one."""
        try:
            cfg = self._deps.decode(document)
        except errors.ConfigurationError as exc:
            telemetry.failure(_LOGGER, "configuration.unreadable", exc)
            return
        if cfg.version <= self.version:
            return
        before = self.version
        self.active = ActiveConfiguration(cfg, _routes.RouteTable(cfg))
        telemetry.event(
            _LOGGER,
            "configuration.in_force",
            version=cfg.version,
            before=before,
            source=source,
            routes=len(cfg.routes),
        )

    def start(self) -> None:
        """Starts watching the store."""
        self._task = _tasks.spawn("configuration", self._watch)

    def stop(self) -> None:
        """Stops watching the store."""
        if self._task is not None:
            self._task.kill(block=False)

    def _check(self) -> None:
        """Looks for changes that the waiting watch should have returned.

        If the check is not answered either, the store's client ends the watch.
        """
        after = self._after
        if after is None:
            # The watch is reading the key again.
            return
        history_lost = False
        try:
            try:
                page = self._deps.store.watch(self._deps.key, after, 0.0)
            except errors.HistoryLostError:
                history_lost = True
                page = self._deps.store.read(self._deps.key)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "configuration.not_checked", exc)
            return
        self._answered_at = self._deps.timers.now()
        if not history_lost:
            if page.as_of <= after:
                return
            if not page.items:
                # The store keeps its history for a shorter time than a watch
                # waits.
                self._after = max(page.as_of, self._after or page.as_of)
                return
        telemetry.event(
            _LOGGER,
            "configuration.behind",
            level=logging.WARNING,
            era=after.era,
            revision=after.revision,
            told_era=page.as_of.era,
            told=page.as_of.revision,
        )
        if history_lost:
            # Any revision may follow, also a lower one.
            self._after = None
        self._apply(page)
        if self._task is not None:
            self._task.kill(block=False)
            self.start()

    def _apply(self, page: store.Page) -> None:
        """Activates what a page of the store has."""
        self._answered_at = self._deps.timers.now()
        self._after = max(page.as_of, self._after or page.as_of)
        for item in page.items:
            if item.key == self._deps.key and item.value is not None:
                self.activate_if_newer(item.value, "store")

    def _watch(self) -> None:
        backoff = _backoff.Backoff("configuration")
        while True:
            try:
                if self._after is None:
                    page = self._deps.store.read(self._deps.key)
                else:
                    # After a failure, the first answer must not take long.
                    wait_s = (
                        _watch_checks.LONGEST_WAIT_S if self.following else 0.0
                    )
                    page = self._deps.store.watch(
                        self._deps.key, self._after, wait_s
                    )
            except errors.HistoryLostError:
                self._after = None
                continue
            except errors.StoreError as exc:
                self.following = False
                backoff.wait(exc)
                continue
            backoff.reset()
            self.following = True
            self._apply(page)
