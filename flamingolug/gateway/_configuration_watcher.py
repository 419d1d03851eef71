"""The configuration in force; it never goes back within one run."""

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

_LOGGER = logging.getLogger(__name__)
#: Seconds that a watch waits for a change; just under the store's longest.
WATCH_S = 28.0


class ActiveConfiguration(NamedTuple):
    """A configuration with its routes ready for lookup."""

    cfg: _model.Configuration
    table: _routes.RouteTable


class Dependencies(NamedTuple):
    """What the watcher works with."""

    store: store.LeasedStore
    #: Key under which operators store the configuration.
    key: str
    #: Reads a stored document; raises ConfigurationError.
    decode: Callable[[bytes], _model.Configuration]


class ConfigurationWatcher:
    """Follows the configuration in the store and in other nodes."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a configuration."""
        self.active: ActiveConfiguration | None = None
        #: Whether the store is being followed without a gap.
        self.following = False
        self._deps = deps
        self._task: gevent.Greenlet[[], None] | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.active.cfg.version if self.active else 0

    def document(self) -> bytes | None:
        """Returns the stored document in force."""
        return self.active.cfg.document if self.active else None

    def apply_if_newer(self, document: bytes, source: str) -> None:
        """Takes a configuration into force if it is newer."""
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
        """Begins to follow the store."""
        self._task = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Ends following the store."""
        if self._task is not None:
            self._task.kill(block=False)

    def _follow(self) -> None:
        after = -1
        backoff = _backoff.Backoff("configuration")
        while True:
            try:
                if after < 0:
                    page = self._deps.store.read(self._deps.key)
                else:
                    page = self._deps.store.watch(
                        self._deps.key, after, WATCH_S
                    )
            except errors.HistoryLostError:
                after = -1
                continue
            except errors.StoreError as exc:
                self.following = False
                backoff.wait(exc)
                continue
            backoff.succeeded()
            self.following = True
            after = max(page.as_of, after)
            for item in page.items:
                if item.key == self._deps.key and item.value is not None:
                    self.apply_if_newer(item.value, "store")
