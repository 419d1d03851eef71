"""Tests of concurrent attempts with one key at the owner of the key."""

import types
import unittest
from typing import Any

import gevent
from gevent import event

from flamingolug import calls
from flamingolug import timing
from flamingolug.node import _outcomes
from flamingolug.node import _upstream
from flamingolug.tests import doubles


class _OwnershipManager:
    """Owns every key; waits until the ownership is confirmed."""

    def __init__(self) -> None:
        self.ownership = event.Event()
        self.voter = None

    def refuse_if_not_owner(self, call: calls.Call) -> None:
        """Waits until the ownership is confirmed."""
        del call
        self.ownership.wait()

    def may_have_run_elsewhere(self, call: calls.Call) -> bool:
        """Returns False: every earlier owner has handed over its records."""
        del call
        return False


class _Admission:
    """Refuses the first `refusals` attempts."""

    def __init__(self) -> None:
        self.refusals = 0

    def refuse_if_full(self, level: int) -> bool:
        """Returns whether this attempt is one of the first `refusals`."""
        del level
        self.refusals -= 1
        return self.refusals >= 0


class ConcurrentAttemptsTest(unittest.TestCase):
    def setUp(self) -> None:
        timers = timing.ManualTimers()
        self.owners = _OwnershipManager()
        self.admission = _Admission()
        stub: Any = types.SimpleNamespace(
            set_own_report=lambda own: None, subscribe=lambda follower: None
        )
        deps: Any = types.SimpleNamespace(
            cfg=types.SimpleNamespace(name="n", control="full"),
            manifest_watcher=stub,
            members=stub,
            loads=stub,
            timers=timers,
            counters=doubles.make_counters(),
            incarnation=1,
            outcomes=_outcomes.Outcomes(timers.now),
            owners=self.owners,
        )
        self.upstream = _upstream.LocalUpstream(deps)
        self.upstream.admission = self.admission  # type: ignore[assignment]
        self.run_keys: list[str] = []
        self.upstream._serve_counting_refusals = self._run  # type: ignore[method-assign]

    def _run(self, call: calls.Call) -> calls.Outcome:
        self.run_keys.append(call.key)
        return calls.answered(200, (), b"", 1)

    def _serve(self, count: int) -> list[calls.Outcome]:
        """Serves `count` concurrent attempts with one key."""
        call = doubles.make_call()
        tasks = [gevent.spawn(self.upstream.serve, call) for _ in range(count)]
        gevent.sleep(0)
        self.owners.ownership.set()
        gevent.joinall(tasks, raise_error=True)
        return [task.get() for task in tasks]

    def test_refused_attempt_is_unknown_while_another_may_still_run(
        self,
    ) -> None:
        self.admission.refusals = 1
        verdicts = [outcome.verdict for outcome in self._serve(2)]
        self.assertEqual(len(self.run_keys), 1)
        self.assertNotIn(calls.Verdict.NOT_RUN, verdicts)

    def test_single_refused_attempt_is_not_run(self) -> None:
        self.admission.refusals = 1
        (outcome,) = self._serve(1)
        self.assertEqual(outcome.verdict, calls.Verdict.NOT_RUN)
        self.assertEqual(self.run_keys, [])
