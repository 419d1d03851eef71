"""Tests of the outcomes that a routing node may report after failures."""

import unittest

from flamingolug import calls
from flamingolug import telemetry
from flamingolug.node import _keyed
from flamingolug.node import _router

_REFUSAL = telemetry.Refusal


class ReportedOutcomeTest(unittest.TestCase):
    def test_keyed_call_is_not_run_only_if_its_owner_refused_it(self) -> None:
        cases = {
            "shed by the owner": (_REFUSAL.SHED, "admission", "not-run"),
            "late at the owner": (_REFUSAL.DEADLINE, "admission", "not-run"),
            "key reused": (_REFUSAL.KEY_REUSED, "outcomes", "not-run"),
            "backend server down": (
                _REFUSAL.UNREACHABLE,
                "connect",
                "not-run",
            ),
            "owner not reached": (_REFUSAL.UNREACHABLE, "link", "unknown"),
            "late on the way": (_REFUSAL.DEADLINE, "route", "unknown"),
            "no owner found": (_REFUSAL.NO_UPSTREAM, "route", "unknown"),
            "another owns it": (_REFUSAL.NO_RIGHT, "ownership", "unknown"),
            "sent to an earlier incarnation": (
                _REFUSAL.NO_RIGHT,
                "inbound",
                "unknown",
            ),
        }
        for name, (reason, step, expected) in cases.items():
            with self.subTest(name):
                actual = _keyed.unknown_unless_from_owner(
                    calls.not_run(reason, step)
                )
                self.assertEqual(str(actual.verdict), expected)

    def test_refused_retry_is_unknown_if_an_earlier_attempt_may_have_run(
        self,
    ) -> None:
        refused = calls.not_run(_REFUSAL.SHED, "admission")
        for may_have_run, expected in ((True, "unknown"), (False, "not-run")):
            with self.subTest(str(may_have_run)):
                actual = _router._unknown_if_may_have_run(refused, may_have_run)
                self.assertEqual(str(actual.verdict), expected)

    def test_answer_stays_unchanged_if_an_earlier_attempt_may_have_run(
        self,
    ) -> None:
        answer = calls.answered(503, (), b"busy", 1)
        self.assertEqual(_router._unknown_if_may_have_run(answer, True), answer)
        self.assertEqual(_keyed.unknown_unless_from_owner(answer), answer)
