"""What a caller's node may say of a call that did not succeed."""

import unittest

from flamingolug import calls
from flamingolug import telemetry
from flamingolug.node import _keyed
from flamingolug.node import _router

_REFUSAL = telemetry.Refusal


class HonestyTest(unittest.TestCase):
    def test_only_the_owner_says_that_a_keyed_call_did_not_run(self) -> None:
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
            "an earlier run": (_REFUSAL.NO_RIGHT, "inbound", "unknown"),
        }
        for name, (reason, step, expected) in cases.items():
            with self.subTest(name):
                said = _keyed.say_only_owners_word(calls.not_run(reason, step))
                self.assertEqual(str(said.verdict), expected)

    def test_a_refused_retry_does_not_hide_a_run_before_it(self) -> None:
        refused = calls.not_run(_REFUSAL.SHED, "admission")
        for may_have_run, expected in ((True, "unknown"), (False, "not-run")):
            with self.subTest(str(may_have_run)):
                said = _router._honest(refused, may_have_run)
                self.assertEqual(str(said.verdict), expected)

    def test_an_answer_is_left_as_it_is(self) -> None:
        answer = calls.answered(503, (), b"busy", 1)
        self.assertEqual(_router._honest(answer, True), answer)
        self.assertEqual(_keyed.say_only_owners_word(answer), answer)
