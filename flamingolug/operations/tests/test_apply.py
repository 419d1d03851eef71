"""Tests of applying a manifest: lost responses, races and store failures."""

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
        """Creates an empty store."""
        self.store = doubles.MemoryStore()

    def test_each_apply_increments_the_revision_and_extends_the_history(
        self,
    ) -> None:
        _apply(self.store, "one", "ana")
        result = _apply(self.store, "two", "bo")
        assert result.accepted is not None
        self.assertEqual(
            [each.operator for each in result.accepted.history], ["bo", "ana"]
        )
        self.assertEqual(result.accepted.revision, 2)

    def test_applying_the_same_manifest_again_changes_nothing(self) -> None:
        _apply(self.store, "one")
        second = _apply(self.store, "one")
        self.assertEqual(second.state, operations.ApplyState.UNCHANGED)
        self.assertEqual(_revision(self.store), 1)

    def test_a_write_whose_response_was_lost_is_accepted(self) -> None:
        self.store.lose_answers = 1
        result = _apply(self.store, "one")
        self.assertEqual(result.state, operations.ApplyState.ACCEPTED)
        self.assertEqual(_revision(self.store), 1)

    def test_a_lost_race_reports_the_other_operator(self) -> None:
        _apply(self.store, "base")

        def apply_concurrently() -> None:
            self.store.before_swap = lambda: None
            _apply(self.store, "theirs", "rival")

        self.store.before_swap = apply_concurrently
        result = _apply(self.store, "mine")
        self.assertEqual(result.state, operations.ApplyState.LOST_RACE)
        self.assertIn("rival", result.message)
        accepted, _ = operations.read_accepted(self.store)
        assert accepted is not None
        self.assertEqual(
            manifest.decode(accepted.body, "test").deployment, "theirs"
        )

    def test_a_write_that_a_later_revision_replaced_is_accepted(
        self,
    ) -> None:
        """The response is lost and another apply precedes the check."""
        _apply(self.store, "base")
        self.store.lose_answers = 1
        original_read = self.store.read

        def read_after_rival_apply(key: str) -> object:
            self.store.read = original_read  # type: ignore[method-assign]
            _apply(self.store, "theirs", "rival")
            return original_read(key)

        counts = {"reads": 0}

        def read_with_rival_before_second_read(key: str) -> object:
            counts["reads"] += 1
            return (
                read_after_rival_apply(key)
                if counts["reads"] == 2
                else original_read(key)
            )

        self.store.read = read_with_rival_before_second_read  # type: ignore[method-assign, assignment]
        result = _apply(self.store, "mine")
        self.assertEqual(result.state, operations.ApplyState.ACCEPTED)
        self.assertEqual(_revision(self.store), 3)

    def test_an_expected_revision_that_differs_from_the_store_is_a_lost_race(
        self,
    ) -> None:
        _apply(self.store, "one")
        result = _apply(self.store, "two", expected=7)
        self.assertEqual(result.state, operations.ApplyState.LOST_RACE)

    def test_a_store_that_fails_before_the_write_gives_not_applied(
        self,
    ) -> None:
        self.store.down = True
        result = _apply(self.store, "one")
        self.assertEqual(result.state, operations.ApplyState.NOT_APPLIED)

    def test_a_store_that_fails_during_the_write_gives_unknown(
        self,
    ) -> None:
        """The write takes effect, but the store fails before it can respond."""

        def lose_response() -> None:
            self.store.lose_answers = 1
            self.store.before_swap = lambda: None

        self.store.before_swap = lose_response
        original_swap = self.store.swap

        def swap_then_fail(key: str, value: bytes, version: int) -> int:
            try:
                return original_swap(key, value, version)
            finally:
                self.store.down = True

        self.store.swap = swap_then_fail  # type: ignore[method-assign, assignment]
        result = _apply(self.store, "one")
        self.assertEqual(result.state, operations.ApplyState.UNKNOWN)
        self.assertIn("history", result.message)


class StoredFormTest(unittest.TestCase):
    def test_an_invalid_stored_value_is_rejected(self) -> None:
        _apply(store := doubles.MemoryStore(), "one")
        value, _ = store.values[configuration.MANIFEST_KEY]
        for name, invalid in {
            "body": value[:-1] + b"?",
            "header": b"{" + value,
            "truncated": value[:20],
        }.items():
            with (
                self.subTest(name),
                self.assertRaises(errors.ConfigurationError),
            ):
                configuration.decode(invalid)
