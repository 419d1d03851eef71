"""Tests of reading logs and of the commands explain and incident."""

import pathlib
import tempfile
import unittest

from cleo.testers import command_tester

from flamingolug import errors
from flamingolug import telemetry
from flamingolug.cli import _log_commands
from flamingolug.cli import _output

_ENTRY_LOG = """\
ts=100.000 level=WARNING node=a event=store.lost task=directory step=s error="x"
ts=103.000 level=INFO node=a event=request.retried id=r1 reason=shed last=i-1
ts=103.020 level=INFO node=a event=request.refused id=r1 reason=shed status=503
ts=103.030 level=INFO node=a event=request.refused id=r2 reason=shed status=503
ts=104.000 level=INFO node=a event=log.left_out of=request.refused reason=shed \
lines=7
ts=104.500 level=INFO node=a event=caller.cut reason=interrupted pending=2 \
not_started=1 ids=r5,r6,r7
ts=104.600 level=INFO node=a event=log.left_out of=caller.cut \
reason=interrupted lines=4
ts=104.700 level=INFO node=a event=caller.cut reason=not-started pending=0 \
not_started=1 ids=r8
not a line of ours
"""
_NESTED_LOG = """\
ts=103.010 level=INFO node=b event=gate.unanswered id=r1 reason=shed limit=50
ts=103.011 level=INFO node=c event=link.lost peer=x reason=silent
"""


class ReadingTest(unittest.TestCase):
    def test_read_lines_restores_quoted_values_and_skips_other_text(
        self,
    ) -> None:
        text = 'ts=1.5 level=INFO node=n event=e a="b \\"c\\" d" empty="" x=1'
        (line,) = telemetry.read_lines([text, "garbage", "event=e no=time"])
        self.assertEqual(
            (line.unix_time, line.node, line.event), (1.5, "n", "e")
        )
        self.assertEqual(line.fields, {"a": 'b "c" d', "empty": "", "x": "1"})


class LogCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        """Writes the log files of several nodes."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.paths: list[str] = []
        for name, text in (("a", _ENTRY_LOG), ("b", _NESTED_LOG)):
            path = pathlib.Path(directory.name) / name
            path.write_text(text)
            self.paths.append(str(path))

    def test_explain_prints_events_of_all_nodes_in_order_of_time(self) -> None:
        tester = command_tester.CommandTester(_log_commands.ExplainCommand())
        code = tester.execute(f"r1 {' '.join(self.paths)}")
        self.assertEqual(code, _output.ExitCode.OK)
        events = [
            line.split(" s ")[1].split()[:2]
            for line in tester.io.fetch_output().splitlines()
        ]
        self.assertEqual(
            events,
            [
                ["a", "store.lost"],
                ["a", "request.retried"],
                ["b", "gate.unanswered"],
                ["a", "request.refused"],
            ],
        )

    def test_explain_with_an_unknown_id_gives_unreachable(self) -> None:
        tester = command_tester.CommandTester(_log_commands.ExplainCommand())
        code = tester.execute(f"r9 {self.paths[0]}")
        self.assertEqual(code, _output.ExitCode.UNREACHABLE)

    def test_the_error_for_a_missing_file_contains_its_path(self) -> None:
        tester = command_tester.CommandTester(_log_commands.ExplainCommand())
        with self.assertRaisesRegex(errors.ConfigurationError, "/no/such"):
            tester.execute("r1 /no/such")

    def test_incident_counts_suppressed_log_lines(self) -> None:
        tester = command_tester.CommandTester(_log_commands.IncidentCommand())
        code = tester.execute(" ".join(self.paths))
        self.assertEqual(code, _output.ExitCode.OK)
        output = tester.io.fetch_output()
        self.assertRegex(output, r"9 request.refused shed")
        self.assertRegex(output, r"1 link.lost silent")
        self.assertRegex(output, r"2\.0 +2 #")

    def test_explain_finds_an_id_among_the_requests_of_a_connection(
        self,
    ) -> None:
        tester = command_tester.CommandTester(_log_commands.ExplainCommand())
        code = tester.execute(f"r6 {self.paths[0]}")
        self.assertEqual(code, _output.ExitCode.OK)
        self.assertIn("a caller.cut reason=int", tester.io.fetch_output())

    def test_incident_counts_requests_without_an_answer(self) -> None:
        tester = command_tester.CommandTester(_log_commands.IncidentCommand())
        tester.execute(" ".join(self.paths))
        output = tester.io.fetch_output()
        section = output.split("requests without an answer by reason\n")[1]
        self.assertEqual(
            [line.split() for line in section.splitlines()[:2]],
            [["6", "interrupted"], ["2", "not-started"]],
        )
