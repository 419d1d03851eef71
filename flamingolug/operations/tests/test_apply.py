"""Applying a manifest: lost answers, races, outages."""

import unittest

from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import operations
from flamingolug.tests import doubles

_TEXT = """\
schema_version: 1
deployment: {name}
services: [a]
kinds:
  k: {{service: a, rank: 0, worth: 1, deadline_ms: 9, attempts: 2}}
"""


def _manifest(name: str) -> manifest.Manifest:
    return manifest.parse(_TEXT.format(name=name), "test")


def _apply(
    store: doubles.MemoryStore,
    name: str,
    operator: str = "me",
    expected: int | None = None,
) -> operations.ApplyResult:
    return operations.apply_manifest(
        store,
        _manifest(name),
        operations.Author(operator, 1.0),
        expected,
        lambda seconds: None,
    )


def _revision(store: doubles.MemoryStore) -> int:
    accepted, _ = operations.read_accepted(store)
    return accepted.revision if accepted else 0


class ApplyTest(unittest.TestCase):
    def setUp(self) -> None:
        """Builds an empty store."""
        self.store = doubles.MemoryStore()

    def test_revisions_count_up_and_history_names_operators(self) -> None:
        _apply(self.store, "one", "ana")
        result = _apply(self.store, "two", "bo")
        assert result.accepted is not None
        self.assertEqual(
            [each.operator for each in result.accepted.history], ["bo", "ana"]
        )
        self.assertEqual(result.accepted.revision, 2)

    def test_applying_again_changes_nothing(self) -> None:
        _apply(self.store, "one")
        again = _apply(self.store, "one")
        self.assertEqual(again.state, operations.ApplyState.UNCHANGED)
        self.assertEqual(_revision(self.store), 1)

    def test_a_lost_answer_is_recognised_as_the_own_write(self) -> None:
        self.store.lose_answers = 1
        result = _apply(self.store, "one")
        self.assertEqual(result.state, operations.ApplyState.ACCEPTED)
        self.assertEqual(_revision(self.store), 1)

    def test_the_loser_of_a_race_is_told_by_whom(self) -> None:
        _apply(self.store, "base")

        def rival() -> None:
            self.store.before_swap = lambda: None
            _apply(self.store, "theirs", "rival")

        self.store.before_swap = rival
        result = _apply(self.store, "mine")
        self.assertEqual(result.state, operations.ApplyState.LOST_RACE)
        self.assertIn("rival", result.message)
        accepted, _ = operations.read_accepted(self.store)
        assert accepted is not None
        self.assertEqual(
            manifest.decode(accepted.body, "test").deployment, "theirs"
        )

    def test_a_write_followed_by_another_still_counts_as_accepted(
        self,
    ) -> None:
        _apply(self.store, "base")
        self.store.lose_answers = 1
        original = self.store.read

        def rival_before_read(key: str) -> object:
            self.store.read = original  # type: ignore[method-assign]
            _apply(self.store, "theirs", "rival")
            return original(key)

        state = {"reads": 0}

        def counting(key: str) -> object:
            state["reads"] += 1
            return (
                rival_before_read(key) if state["reads"] == 2 else original(key)
            )

        self.store.read = counting  # type: ignore[method-assign, assignment]
        result = _apply(self.store, "mine")
        self.assertEqual(result.state, operations.ApplyState.ACCEPTED)
        self.assertEqual(_revision(self.store), 3)

    def test_expecting_another_revision_is_a_lost_race(self) -> None:
        _apply(self.store, "one")
        result = _apply(self.store, "two", expected=7)
        self.assertEqual(result.state, operations.ApplyState.LOST_RACE)

    def test_a_store_that_is_down_before_the_write(self) -> None:
        self.store.down = True
        result = _apply(self.store, "one")
        self.assertEqual(result.state, operations.ApplyState.NOT_APPLIED)

    def test_a_store_that_goes_down_with_the_write_leaves_it_unknown(
        self,
    ) -> None:
        def fall() -> None:
            self.store.lose_answers = 1
            self.store.before_swap = lambda: None

        self.store.before_swap = fall
        original = self.store.swap

        def swap_then_down(key: str, value: bytes, version: int) -> int:
            try:
                return original(key, value, version)
            finally:
                self.store.down = True

        self.store.swap = swap_then_down  # type: ignore[method-assign, assignment]
        result = _apply(self.store, "one")
        self.assertEqual(result.state, operations.ApplyState.UNKNOWN)
        self.assertIn("history", result.message)


class DocumentTest(unittest.TestCase):
    def test_a_damaged_value_is_refused(self) -> None:
        _apply(store := doubles.MemoryStore(), "one")
        value, _ = store.values[configuration.MANIFEST_KEY]
        for name, damaged in {
            "body": value[:-1] + b"?",
            "head": b"{" + value,
            "cut": value[:20],
        }.items():
            with (
                self.subTest(name),
                self.assertRaises(errors.ConfigurationError),
            ):
                configuration.decode(damaged)
