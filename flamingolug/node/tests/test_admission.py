"""Tests of admission control: order of starts, shedding and the cutoff."""

import unittest

import gevent

from flamingolug import errors
from flamingolug import policy
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _admission

#: Deadline in monotonic seconds that no test reaches.
_DISTANT_DEADLINE = 1e9


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        """Creates an admission with one slot and a queue of four calls.

        It has 640 levels, 64 for each rank.
        """
        self.timers = timing.ManualTimers()
        self.admission = _admission.Admission(
            policy.LimitState(1.0, 1),
            640,
            self.timers.now,
            lambda level: level // 64,
        )
        self.log: list[str] = []

    def _acquire(
        self, name: str, level: int, deadline: float = _DISTANT_DEADLINE
    ) -> None:
        """Starts a task that acquires a slot and logs the result."""

        def run() -> None:
            try:
                self.admission.acquire("kind", level, deadline, 0.05)
                self.log.append(f"{name} started")
            except errors.RefusedError as exc:
                self.log.append(f"{name} {exc.reason}")

        gevent.spawn(run)
        gevent.sleep(0)

    def _release(self) -> None:
        self.admission.release("kind", 0.05, 0.05)
        gevent.sleep(0)

    def test_queued_calls_start_by_level_not_by_arrival(self) -> None:
        self._acquire("first", 600)
        self._acquire("less-urgent", 300)
        self._acquire("urgent", 10)
        self._release()
        self._release()
        self.assertEqual(
            self.log, ["first started", "urgent started", "less-urgent started"]
        )

    def test_full_queue_sheds_least_important_call_queued_or_new(self) -> None:
        self._acquire("running", 0)
        self._acquire("x", 20)
        self._acquire("y", 30)
        self._acquire("a", 100)
        self._acquire("b", 200)
        self._acquire("urgent", 10)
        self._acquire("least", 300)
        self.assertEqual(
            self.log,
            ["running started", "b shed", "least shed"],
        )
        self.assertEqual(self.admission.inversions, 0)

    def test_call_that_cannot_meet_its_deadline_is_refused_at_once(
        self,
    ) -> None:
        self._acquire("running", 0)
        self._acquire("ahead", 1)
        self._acquire("behind", 2, deadline=0.12)
        self.assertIn(f"behind {telemetry.Refusal.DEADLINE}", self.log)

    def test_queued_call_past_its_deadline_is_refused(self) -> None:
        self._acquire("running", 0)
        self._acquire("waiting", 1, deadline=0.2)
        self.timers.advance(0.3)
        self.admission.update_cutoff()
        gevent.sleep(0)
        self.assertIn(f"waiting {telemetry.Refusal.DEADLINE}", self.log)
        self.assertEqual(self.admission.waiting, 0)

    def test_cancelled_call_leaves_the_queue(self) -> None:
        self._acquire("running", 0)
        task = gevent.spawn(
            self.admission.acquire, "kind", 5, _DISTANT_DEADLINE, 0.05
        )
        gevent.sleep(0)
        task.kill()
        self.assertEqual(self.admission.waiting, 0)
        self._release()
        self.assertEqual(self.admission.running, 0)

    def test_slot_assigned_to_cancelled_call_is_released(self) -> None:
        self._acquire("running", 0)
        task = gevent.spawn(
            self.admission.acquire, "kind", 5, _DISTANT_DEADLINE, 0.05
        )
        gevent.sleep(0)
        task.kill(block=False)
        self.admission.release("kind", 0.05, 0.05)
        task.join()
        self.assertEqual(self.admission.running, 0)

    def test_slow_kinds_do_not_use_reserved_slots(self) -> None:
        """Calls that wait for a slow called service must not take all slots."""
        self.admission = _admission.Admission(
            policy.LimitState(4.0, 4), 640, self.timers.now
        )
        stats = self.admission._stats.setdefault(
            "slow", _admission.KindStats(0.05)
        )
        stats.min_slot_time_s = 0.05
        stats.mean_slot_time_s = 1.0
        # Enough windows for the moving average of the demand to reserve two
        # slots.
        for _ in range(20):
            self.admission._stats.setdefault(
                "other", _admission.KindStats(0.05)
            ).offered = 4
            self.admission.update_cutoff()
        for _ in range(4):
            gevent.spawn(
                self.admission.acquire, "slow", 5, _DISTANT_DEADLINE, 0.05
            )
        gevent.sleep(0)
        self.assertEqual((self.admission.running, stats.running), (2, 2))
        self.admission.acquire("other", 100, _DISTANT_DEADLINE, 0.05)
        self.assertEqual(self.admission.running, 3)

    def test_running_calls_never_exceed_the_limit(self) -> None:
        for index in range(10):
            self._acquire(str(index), index)
            self.assertLessEqual(self.admission.running, 1)

    def test_cutoff_falls_after_shedding_and_recovers_when_it_ends(
        self,
    ) -> None:
        self._acquire("running", 0)
        for level in range(100, 640, 40):
            self._acquire(str(level), level)
        self.admission.update_cutoff()
        reduced = self.admission.cutoff
        self.assertLess(reduced, 640)
        for _ in range(12):
            self.admission.update_cutoff()
        self.assertEqual(self.admission.cutoff, 640)
