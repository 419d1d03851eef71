"""Tests the outcome records of keyed calls at their owner.

Also tests the creation time of keys and the allowance of child calls.
"""

import unittest

import gevent

from flamingolug import calls
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _call_factory
from flamingolug.node import _inflight
from flamingolug.node import _outcomes
from flamingolug.tests import doubles

_UUID7 = "018bcfe5-6800-7000-8000-000000000000"
_UUID7_TIME_S = 0x018BCFE56800 / 1000.0


class OutcomesTest(unittest.TestCase):
    def setUp(self) -> None:
        """Creates an empty table and a counter of runs."""
        self.timers = timing.ManualTimers()
        self.table = _outcomes.Outcomes(self.timers.now)
        self.runs = 0

    def _answer(self, call: calls.Call) -> calls.Outcome:
        self.runs += 1
        gevent.sleep(0)
        return calls.answered(200, (), b"done", 1)

    def test_concurrent_calls_with_one_key_run_once(self) -> None:
        tasks = [
            gevent.spawn(self.table.run, doubles.make_call(), self._answer)
            for _ in range(5)
        ]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual(self.runs, 1)
        self.assertEqual({task.get().body for task in tasks}, {b"done"})

    def test_a_key_reused_with_another_body_is_refused(self) -> None:
        self.table.run(doubles.make_call(), self._answer)
        reused = self.table.run(doubles.make_call(body=b"x"), self._answer)
        self.assertEqual(reused.reason, telemetry.Refusal.KEY_REUSED)
        self.assertEqual(self.runs, 1)

    def test_a_call_that_did_not_run_can_be_retried(self) -> None:
        refusal = calls.not_run(telemetry.Refusal.SHED, "admission")
        self.table.run(doubles.make_call(), lambda call: refusal)
        self.table.run(doubles.make_call(), self._answer)
        self.assertEqual(self.runs, 1)

    def test_a_call_with_an_unknown_outcome_is_not_run_again(self) -> None:
        lost = calls.unknown("lost", "exchange", "", 1)
        self.table.run(doubles.make_call(), lambda call: lost)
        repeated = self.table.run(doubles.make_call(), self._answer)
        self.assertEqual(repeated.verdict, calls.Verdict.UNKNOWN)
        self.assertEqual(self.runs, 0)

    def test_a_call_continues_after_its_caller_is_cancelled(self) -> None:
        task = gevent.spawn(self.table.run, doubles.make_call(), self._answer)
        gevent.sleep(0)
        task.kill()
        gevent.sleep(0.01)
        outcome = self.table.lookup("key")
        assert outcome is not None
        self.assertEqual(outcome.verdict, calls.Verdict.ANSWERED)

    def test_an_imported_record_prevents_another_run(self) -> None:
        self.table.run(doubles.make_call(), self._answer)
        importer = _outcomes.Outcomes(self.timers.now)
        importer.import_records(self.table.export_records(lambda key: True))
        repeated = importer.run(doubles.make_call(), self._answer)
        self.assertEqual(repeated.body, b"done")
        self.assertEqual(self.runs, 1)

    def test_an_answer_too_large_for_export_becomes_unknown(self) -> None:
        large = calls.answered(
            200, (), b"x" * (_outcomes.MAX_MOVED_BODY_BYTES + 1), 1
        )
        self.table.run(doubles.make_call(), lambda call: large)
        importer = _outcomes.Outcomes(self.timers.now)
        importer.import_records(self.table.export_records(lambda key: True))
        repeated = importer.run(doubles.make_call(), self._answer)
        self.assertEqual(repeated.verdict, calls.Verdict.UNKNOWN)
        self.assertEqual(self.runs, 0)

    def test_records_are_removed_after_their_retention(self) -> None:
        self.table.run(doubles.make_call(), self._answer)
        self.timers.advance(_outcomes.RETENTION_S + 1.0)
        self.table.remove_expired()
        self.assertEqual(len(self.table), 0)


class KeyCreationTimeTest(unittest.TestCase):
    def test_only_plausible_creation_times_are_used(self) -> None:
        cases = {
            "UUID with a time": (_UUID7, _UUID7_TIME_S + 1.0, _UUID7_TIME_S),
            "clock of the caller slightly ahead": (
                _UUID7,
                _UUID7_TIME_S - 1.0,
                _UUID7_TIME_S,
            ),
            "time in the future": (_UUID7, _UUID7_TIME_S - 60.0, 0.0),
            "UUID without a time": (
                "11111111-1111-4111-8111-111111111111",
                _UUID7_TIME_S,
                0.0,
            ),
            "not a UUID": ("order-17", _UUID7_TIME_S, 0.0),
        }
        for name, (key, unix_time_s, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(
                    _call_factory.key_creation_time(key, unix_time_s), expected
                )


class InFlightRequestsTest(unittest.TestCase):
    def test_parallel_child_calls_get_disjoint_allowances(self) -> None:
        from flamingolug import manifest

        parsed = manifest.parse(
            "schema_version: 1\ndeployment: d\nservices: [desk]\nkinds:\n"
            "  submit: {service: desk, rank: 0, worth: 1, deadline_ms: 9,"
            " attempts: 7, calls: [leaf, leaf, leaf]}\n"
            "  leaf: {service: desk, rank: 0, worth: 1, deadline_ms: 9,"
            " attempts: 1}\n",
            "test",
        )
        table = _inflight.InFlightRequests(1, timing.ManualTimers().now)
        parent = table.open(doubles.make_call(allowance=7))
        allowances: list[int] = []
        for _ in range(3):
            allowances.append(parent.reserve_attempts("leaf", parsed))
            parent.begin_child_call("leaf")
        self.assertTrue(all(allowance >= 1 for allowance in allowances))
        self.assertEqual(sum(allowances) + parent.attempts_left, 6)
        # Nothing is left for a call beyond the declared ones.
        self.assertEqual(
            parent.reserve_attempts("leaf", parsed), parent.attempts_left
        )

    def test_a_token_is_not_found_after_its_request_is_closed(self) -> None:
        table = _inflight.InFlightRequests(1, timing.ManualTimers().now)
        parent = table.open(doubles.make_call())
        self.assertIs(table.find(parent.token), parent)
        table.close(parent)
        self.assertIsNone(table.find(parent.token))
