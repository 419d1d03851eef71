"""The ordered wait: who starts, who is shed, and in which order."""

import unittest

import gevent

from flamingolug import errors
from flamingolug import policy
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _admission

_FAR = 1e9


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        """Builds an admission with one slot and room for four to wait."""
        self.timers = timing.ManualTimers()
        self.admission = _admission.Admission(
            policy.LimitState(1.0, 1),
            640,
            self.timers.now,
            lambda level: level // 64,
        )
        self.log: list[str] = []

    def _enter(self, name: str, level: int, deadline: float = _FAR) -> None:
        """Starts a task that enters and logs what became of it."""

        def run() -> None:
            try:
                self.admission.enter("kind", level, deadline, 0.05)
                self.log.append(f"{name} started")
            except errors.RefusedError as exc:
                self.log.append(f"{name} {exc.reason}")

        gevent.spawn(run)
        gevent.sleep(0)

    def _leave(self) -> None:
        self.admission.leave("kind", 0.05, 0.05)
        gevent.sleep(0)

    def test_waiting_calls_start_by_level_not_by_arrival(self) -> None:
        self._enter("first", 600)
        self._enter("late", 300)
        self._enter("urgent", 10)
        self._leave()
        self._leave()
        self.assertEqual(
            self.log, ["first started", "urgent started", "late started"]
        )

    def test_the_least_important_is_shed_be_it_waiting_or_new(self) -> None:
        self._enter("running", 0)
        self._enter("x", 20)
        self._enter("y", 30)
        self._enter("a", 100)
        self._enter("b", 200)
        self._enter("urgent", 10)
        self._enter("least", 300)
        self.assertEqual(
            self.log,
            ["running started", "b shed", "least shed"],
        )
        self.assertEqual(self.admission.inversions, 0)

    def test_what_cannot_finish_in_time_is_refused_at_once(self) -> None:
        self._enter("running", 0)
        self._enter("ahead", 1)
        self._enter("behind", 2, deadline=0.12)
        self.assertIn(f"behind {telemetry.Refusal.DEADLINE}", self.log)

    def test_a_waiting_call_past_its_time_is_refused(self) -> None:
        self._enter("running", 0)
        self._enter("waiting", 1, deadline=0.2)
        self.timers.advance(0.3)
        self.admission.update_cutoff()
        gevent.sleep(0)
        self.assertIn(f"waiting {telemetry.Refusal.DEADLINE}", self.log)
        self.assertEqual(self.admission.waiting, 0)

    def test_a_cancelled_wait_frees_its_place(self) -> None:
        self._enter("running", 0)
        task = gevent.spawn(self.admission.enter, "kind", 5, _FAR, 0.05)
        gevent.sleep(0)
        task.kill()
        self.assertEqual(self.admission.waiting, 0)
        self._leave()
        self.assertEqual(self.admission.running, 0)

    def test_a_slot_granted_to_a_cancelled_call_is_given_back(self) -> None:
        self._enter("running", 0)
        task = gevent.spawn(self.admission.enter, "kind", 5, _FAR, 0.05)
        gevent.sleep(0)
        task.kill(block=False)
        self.admission.leave("kind", 0.05, 0.05)
        task.join()
        self.assertEqual(self.admission.running, 0)

    def test_slow_kinds_leave_slots_to_others(self) -> None:
        """A slow service below must not fill every slot above it."""
        self.admission = _admission.Admission(
            policy.LimitState(4.0, 4), 640, self.timers.now
        )
        times = self.admission._times.setdefault(
            "slow", _admission.KindTimes(0.05)
        )
        times.best_held_s = 0.05
        times.held_s = 1.0
        for _ in range(20):
            self.admission._times.setdefault(
                "other", _admission.KindTimes(0.05)
            ).offered = 4
            self.admission.update_cutoff()
        for _ in range(4):
            gevent.spawn(self.admission.enter, "slow", 5, _FAR, 0.05)
        gevent.sleep(0)
        self.assertEqual((self.admission.running, times.running), (2, 2))
        self.admission.enter("other", 100, _FAR, 0.05)
        self.assertEqual(self.admission.running, 3)

    def test_never_more_running_than_the_limit(self) -> None:
        for index in range(10):
            self._enter(str(index), index)
            self.assertLessEqual(self.admission.running, 1)

    def test_cutoff_falls_with_shedding_and_opens_again(self) -> None:
        self._enter("running", 0)
        for level in range(100, 640, 40):
            self._enter(str(level), level)
        self.admission.update_cutoff()
        fallen = self.admission.cutoff
        self.assertLess(fallen, 640)
        for _ in range(12):
            self.admission.update_cutoff()
        self.assertEqual(self.admission.cutoff, 640)
