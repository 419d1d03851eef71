"""Tests that the active manifest never reverts to an earlier revision."""

import itertools
import unittest
import unittest.mock

from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import timing
from flamingolug.configuration import _active_manifest
from flamingolug.store import _http
from flamingolug.tests import doubles

_TEXT = """\
schema_version: 1
deployment: {name}
services: [a]
kinds:
  k: {{service: a, rank: 0, worth: 1, deadline_ms: 9, attempts: 2}}
"""


def _stored(revision: int, name: str) -> bytes:
    """Returns the stored form of a manifest of deployment `name`."""
    body = manifest.canonical_bytes(
        manifest.parse(_TEXT.format(name=name), "test")
    )
    return configuration.encode(
        configuration.AcceptedManifest(
            revision, manifest.digest_of(body), (), body
        )
    )


class ActiveManifestTest(unittest.TestCase):
    def setUp(self) -> None:
        """Creates a watcher with mocked peers and without a store."""
        self.watcher = configuration.ManifestWatcher(
            configuration.Dependencies(
                links=unittest.mock.Mock(),
                members=unittest.mock.Mock(),
                store=None,
                timers=timing.ManualTimers(),
                counters=doubles.make_counters(),
                next_id=itertools.count(1).__next__,
            )
        )

    def _revision(self) -> int:
        active = self.watcher.active
        return active.revision if active else 0

    def test_any_order_of_arrival_keeps_the_highest_revision(self) -> None:
        stored = {number: _stored(number, f"d{number}") for number in (1, 2, 3)}
        for order in itertools.permutations(stored):
            with self.subTest(str(order)):
                self.setUp()
                highest = 0
                for number in order:
                    self.watcher.activate_if_newer(stored[number], "test")
                    highest = max(highest, number)
                    self.assertEqual(self._revision(), highest)

    def test_an_empty_store_keeps_the_active_manifest(self) -> None:
        self.watcher.activate_if_newer(_stored(2, "two"), "test")
        self.assertFalse(self.watcher.activate_if_newer(b"", "store"))
        self.assertEqual(self._revision(), 2)

    def test_a_different_manifest_with_the_active_revision_is_rejected(
        self,
    ) -> None:
        self.watcher.activate_if_newer(_stored(2, "two"), "test")
        with self.assertRaises(errors.ConfigurationError):
            self.watcher.activate_if_newer(_stored(2, "other"), "peer")
        active = self.watcher.active
        assert active is not None
        self.assertEqual(active.manifest.deployment, "two")

    def test_a_truncated_manifest_does_not_replace_the_active_one(self) -> None:
        self.watcher.activate_if_newer(_stored(2, "two"), "test")
        with self.assertRaises(errors.ConfigurationError):
            self.watcher.activate_if_newer(_stored(3, "three")[:-3], "peer")
        self.assertEqual(self._revision(), 2)


class WatchTest(unittest.TestCase):
    # Guards against a watch that goes on waiting for a response that was lost.
    def test_lost_response_delays_a_manifest_by_less_than_its_target(
        self,
    ) -> None:
        in_force_within_s = 6.0
        self.assertLess(
            _active_manifest.WATCH_WAIT_S
            + _http.WATCH_SLACK_S
            + _active_manifest.WATCH_RETRY_INTERVAL_S,
            in_force_within_s,
        )
