"""Active configuration; its version never decreases while a node runs."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry
from flamingolug.gateway import _backoff
from flamingolug.gateway import _model
from flamingolug.gateway import _routes
from flamingolug.gateway import _tasks

_LOGGER = logging.getLogger(__name__)


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
    #: Returns the seconds for which the next watch waits for a change.
    wait_s: Callable[[], float]


class ConfigurationWatcher:
    """Activates newer configurations from the store and from other nodes."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates a watcher without a configuration."""
        self.active: ActiveConfiguration | None = None
        #: Whether changes in the store are received without a gap.
        self.following = False
        self._deps = deps
        self._task: gevent.Greenlet[[], None] | None = None

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 for none."""
        return self.active.cfg.version if self.active else 0

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

    def _watch(self) -> None:
        after = -1
        backoff = _backoff.Backoff("configuration")
        while True:
            try:
                if after < 0:
                    page = self._deps.store.read(self._deps.key)
                else:
                    # After a failure, the first answer must not take long.
                    wait_s = self._deps.wait_s() if self.following else 0.0
                    page = self._deps.store.watch(self._deps.key, after, wait_s)
            except errors.HistoryLostError:
                after = -1
                continue
            except errors.StoreError as exc:
                self.following = False
                backoff.wait(exc)
                continue
            backoff.reset()
            self.following = True
            after = max(page.as_of, after)
            for item in page.items:
                if item.key == self._deps.key and item.value is not None:
                    self.activate_if_newer(item.value, "store")
