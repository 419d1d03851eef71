"""What a key's owner says of a try while another try of the key is at it."""

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


class _Owners:
    """Owns every key; a try waits until the right has come."""

    def __init__(self) -> None:
        self.right = event.Event()
        self.voter = None

    def check(self, call: calls.Call) -> None:
        """Waits for the right."""
        del call
        self.right.wait()

    def is_doubtful(self, call: calls.Call) -> bool:
        """Returns that no earlier owner is missing."""
        del call
        return False


class _Admission:
    """Refuses the first so many tries."""

    def __init__(self) -> None:
        self.refusals = 0

    def refuse_if_full(self, level: int) -> bool:
        """Returns whether this try is one of the first."""
        del level
        self.refusals -= 1
        return self.refusals >= 0


class TriesTest(unittest.TestCase):
    def setUp(self) -> None:
        timers = timing.ManualTimers()
        self.owners = _Owners()
        self.admission = _Admission()
        ignore: Any = types.SimpleNamespace(
            set_source=lambda source: None, subscribe=lambda follower: None
        )
        deps: Any = types.SimpleNamespace(
            cfg=types.SimpleNamespace(name="n", control="full"),
            config=ignore,
            members=ignore,
            loads=ignore,
            timers=timers,
            counters=doubles.make_counters(),
            incarnation=1,
            outcomes=_outcomes.Outcomes(timers.now),
            owners=self.owners,
        )
        self.upstream = _upstream.Upstream(deps)
        self.upstream.admission = self.admission  # type: ignore[assignment]
        self.ran: list[str] = []
        self.upstream._serve_counted = self._run  # type: ignore[method-assign]

    def _run(self, call: calls.Call) -> calls.Outcome:
        self.ran.append(call.key)
        return calls.answered(200, (), b"", 1)

    def _serve(self, count: int) -> list[calls.Outcome]:
        """Serves some tries of one key at once."""
        call = doubles.make_call()
        tasks = [gevent.spawn(self.upstream.serve, call) for _ in range(count)]
        gevent.sleep(0)
        self.owners.right.set()
        gevent.joinall(tasks, raise_error=True)
        return [task.get() for task in tasks]

    def test_a_try_is_not_called_unrun_while_another_may_still_run(
        self,
    ) -> None:
        self.admission.refusals = 1
        verdicts = [outcome.verdict for outcome in self._serve(2)]
        self.assertEqual(len(self.ran), 1)
        self.assertNotIn(calls.Verdict.NOT_RUN, verdicts)

    def test_a_try_alone_is_refused_as_unrun(self) -> None:
        self.admission.refusals = 1
        (outcome,) = self._serve(1)
        self.assertEqual(outcome.verdict, calls.Verdict.NOT_RUN)
        self.assertEqual(self.ran, [])
