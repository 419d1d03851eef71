"""The manifest in force never reverts."""

import itertools
import unittest
import unittest.mock

from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import timing
from flamingolug.tests import doubles

_TEXT = """\
schema_version: 1
deployment: {name}
services: [a]
kinds:
  k: {{service: a, rank: 0, worth: 1, deadline_ms: 9, attempts: 2}}
"""


def _stored(revision: int, name: str) -> bytes:
    body = manifest.canonical_bytes(
        manifest.parse(_TEXT.format(name=name), "test")
    )
    return configuration.encode(
        configuration.Accepted(revision, manifest.digest_of(body), (), body)
    )


class ActiveManifestTest(unittest.TestCase):
    def setUp(self) -> None:
        """Builds a watcher without peers and store."""
        self.config = configuration.ManifestWatcher(
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
        found = self.config.active
        return found.revision if found else 0

    def test_every_order_of_arrival_ends_at_the_latest(self) -> None:
        stored = {number: _stored(number, f"d{number}") for number in (1, 2, 3)}
        for order in itertools.permutations(stored):
            with self.subTest(str(order)):
                self.setUp()
                highest = 0
                for number in order:
                    self.config.apply_if_newer(stored[number], "test")
                    highest = max(highest, number)
                    self.assertEqual(self._revision(), highest)

    def test_an_empty_store_does_not_take_it_away(self) -> None:
        self.config.apply_if_newer(_stored(2, "two"), "test")
        self.assertFalse(self.config.apply_if_newer(b"", "store"))
        self.assertEqual(self._revision(), 2)

    def test_another_manifest_under_the_same_revision_is_refused(
        self,
    ) -> None:
        self.config.apply_if_newer(_stored(2, "two"), "test")
        with self.assertRaises(errors.ConfigurationError):
            self.config.apply_if_newer(_stored(2, "other"), "peer")
        found = self.config.active
        assert found is not None
        self.assertEqual(found.manifest.deployment, "two")

    def test_damage_leaves_what_is_in_force(self) -> None:
        self.config.apply_if_newer(_stored(2, "two"), "test")
        with self.assertRaises(errors.ConfigurationError):
            self.config.apply_if_newer(_stored(3, "three")[:-3], "peer")
        self.assertEqual(self._revision(), 2)
