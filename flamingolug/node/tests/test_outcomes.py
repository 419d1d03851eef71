"""Keyed calls at their owner: once, joined, remembered, handed over."""

import unittest

import gevent

from flamingolug import calls
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _entry
from flamingolug.node import _inflight
from flamingolug.node import _outcomes
from flamingolug.tests import doubles

_UUID7 = "018bcfe5-6800-7000-8000-000000000000"
_UUID7_TIME_S = 0x018BCFE56800 / 1000.0


class OutcomesTest(unittest.TestCase):
    def setUp(self) -> None:
        """Builds an empty table and a runner that counts."""
        self.timers = timing.ManualTimers()
        self.table = _outcomes.Outcomes(self.timers.now)
        self.runs = 0

    def _answer(self, call: calls.Call) -> calls.Outcome:
        self.runs += 1
        gevent.sleep(0)
        return calls.answered(200, (), b"done", 1)

    def test_the_same_key_at_the_same_moment_runs_once(self) -> None:
        tasks = [
            gevent.spawn(self.table.run, doubles.make_call(), self._answer)
            for _ in range(5)
        ]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual(self.runs, 1)
        self.assertEqual({task.get().body for task in tasks}, {b"done"})

    def test_a_key_with_another_body_is_refused(self) -> None:
        self.table.run(doubles.make_call(), self._answer)
        other = self.table.run(doubles.make_call(body=b"x"), self._answer)
        self.assertEqual(other.reason, telemetry.Refusal.KEY_REUSED)
        self.assertEqual(self.runs, 1)

    def test_what_did_not_run_may_be_tried_again(self) -> None:
        refused = calls.not_run(telemetry.Refusal.SHED, "admission")
        self.table.run(doubles.make_call(), lambda call: refused)
        self.table.run(doubles.make_call(), self._answer)
        self.assertEqual(self.runs, 1)

    def test_an_unknown_outcome_is_never_run_again(self) -> None:
        lost = calls.unknown("lost", "exchange", "", 1)
        self.table.run(doubles.make_call(), lambda call: lost)
        again = self.table.run(doubles.make_call(), self._answer)
        self.assertEqual(again.verdict, calls.Verdict.UNKNOWN)
        self.assertEqual(self.runs, 0)

    def test_a_call_goes_on_when_its_caller_gives_up(self) -> None:
        task = gevent.spawn(self.table.run, doubles.make_call(), self._answer)
        gevent.sleep(0)
        task.kill()
        gevent.sleep(0.01)
        found = self.table.ask("key")
        assert found is not None
        self.assertEqual(found.verdict, calls.Verdict.ANSWERED)

    def test_records_move_to_another_node(self) -> None:
        self.table.run(doubles.make_call(), self._answer)
        other = _outcomes.Outcomes(self.timers.now)
        other.take_over(self.table.export(lambda key: True))
        again = other.run(doubles.make_call(), self._answer)
        self.assertEqual(again.body, b"done")
        self.assertEqual(self.runs, 1)

    def test_an_answer_too_large_to_move_becomes_unknown(self) -> None:
        large = calls.answered(
            200, (), b"x" * (_outcomes.MAX_MOVED_BODY_BYTES + 1), 1
        )
        self.table.run(doubles.make_call(), lambda call: large)
        other = _outcomes.Outcomes(self.timers.now)
        other.take_over(self.table.export(lambda key: True))
        again = other.run(doubles.make_call(), self._answer)
        self.assertEqual(again.verdict, calls.Verdict.UNKNOWN)
        self.assertEqual(self.runs, 0)

    def test_records_are_forgotten_after_their_retention(self) -> None:
        self.table.run(doubles.make_call(), self._answer)
        self.timers.advance(_outcomes.RETENTION_S + 1.0)
        self.table.forget_old()
        self.assertEqual(len(self.table), 0)


class KeyBirthTest(unittest.TestCase):
    def test_only_plausible_times_count(self) -> None:
        cases = {
            "timed key": (_UUID7, _UUID7_TIME_S + 1.0, _UUID7_TIME_S),
            "a clock slightly ahead": (
                _UUID7,
                _UUID7_TIME_S - 1.0,
                _UUID7_TIME_S,
            ),
            "from the future": (_UUID7, _UUID7_TIME_S - 60.0, 0.0),
            "random UUID": (
                "11111111-1111-4111-8111-111111111111",
                _UUID7_TIME_S,
                0.0,
            ),
            "no UUID": ("order-17", _UUID7_TIME_S, 0.0),
        }
        for name, (key, wall_s, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(_entry.key_birth(key, wall_s), expected)


class InFlightTest(unittest.TestCase):
    def test_parallel_calls_draw_disjoint_shares(self) -> None:
        from flamingolug import manifest

        found = manifest.parse(
            "schema_version: 1\ndeployment: d\nservices: [desk]\nkinds:\n"
            "  submit: {service: desk, rank: 0, worth: 1, deadline_ms: 9,"
            " attempts: 7, calls: [leaf, leaf, leaf]}\n"
            "  leaf: {service: desk, rank: 0, worth: 1, deadline_ms: 9,"
            " attempts: 1}\n",
            "test",
        )
        table = _inflight.InFlight(1, timing.ManualTimers().now)
        parent = table.open(doubles.make_call(allowance=7))
        shares: list[int] = []
        for _ in range(3):
            shares.append(parent.take_share("leaf", found))
            parent.begin_child("leaf")
        self.assertTrue(all(share >= 1 for share in shares))
        self.assertEqual(sum(shares) + parent.held, 6)
        self.assertEqual(parent.take_share("leaf", found), parent.held)

    def test_tokens_of_closed_requests_are_not_found(self) -> None:
        table = _inflight.InFlight(1, timing.ManualTimers().now)
        parent = table.open(doubles.make_call())
        self.assertIs(table.find(parent.token), parent)
        table.close(parent)
        self.assertIsNone(table.find(parent.token))
