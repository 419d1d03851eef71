"""How long the configuration's watch waits, and when it waits not at all.

Pattern: bounded long poll. A watch whose response was lost looks like one that
nothing has answered yet.
"""

import types
import unittest
from typing import Any
from typing import cast

import gevent

from flamingolug import errors
from flamingolug import store
from flamingolug.gateway import _backoff
from flamingolug.gateway import _configuration_watcher
from flamingolug.platform import _store

_DETECTION_S = 3.0


class _Store:
    """A store that fails or answers each watch, as its test says."""

    def __init__(self, failures: list[bool]) -> None:
        self.failures = failures
        self.waits_s: list[float] = []
        self.reads = 0

    def read(self, key: str) -> store.Page:
        """Returns no item."""
        del key
        self.reads += 1
        return store.Page([], 5)

    def watch(self, prefix: str, after: int, wait_s: float) -> store.Page:
        """Answers or fails; never returns once the failures are used up."""
        del prefix, after
        self.waits_s.append(wait_s)
        if not self.failures:
            gevent.sleep(3600.0)
        if self.failures.pop(0):
            raise errors.StoreUnavailableError("lost", step="t", peer="t")
        return store.Page([], 5)


class WatchTest(unittest.TestCase):
    # Guards against a wait behind a failure, while the node does not follow.
    def test_watch_behind_a_failure_does_not_wait(self) -> None:
        kv = _Store([False, True, True, False])
        cfg: Any = types.SimpleNamespace(detection_s=_DETECTION_S)
        watcher = _configuration_watcher.ConfigurationWatcher(
            _configuration_watcher.Dependencies(
                cfg, cast(store.LeasedStore, kv), "k", lambda document: cfg
            )
        )
        watcher.start()
        self.addCleanup(watcher.stop)
        gevent.sleep(2.0)
        wait_s = _configuration_watcher.watch_wait_s(_DETECTION_S)
        self.assertEqual(kv.waits_s, [wait_s, wait_s, 0.0, 0.0, wait_s])
        self.assertTrue(watcher.following)
        self.assertEqual(kv.reads, 1)

    # Guards against a lost response that is noticed too late.
    def test_lost_response_is_noticed_in_time(self) -> None:
        for detection_s in (_DETECTION_S, 4.0, 10.0):
            with self.subTest(detection_s=detection_s):
                noticed_s = (
                    _configuration_watcher.watch_wait_s(detection_s)
                    + _store.WATCH_MARGIN_S
                    + _backoff.INITIAL_WAIT_S * 1.5
                )
                self.assertLess(noticed_s, detection_s)

    # Guards against an attempt that begins before the end of a disturbance and
    # delays the next one too long.
    def test_attempts_during_a_disturbance_end_in_time(self) -> None:
        longest_s = _store.CALL_TIMEOUT_S + _backoff.MAX_WAIT_S * 1.5
        self.assertLess(longest_s, _DETECTION_S)
