"""Tests of exit codes and output of the commands with running nodes."""

import json
import pathlib
import tempfile
import unittest

from cleo.commands import command
from cleo.testers import command_tester

from flamingolug import errors
from flamingolug.cli import _fleet_commands
from flamingolug.cli import _manifest_commands
from flamingolug.cli import _output
from flamingolug.tests import scenario

_ROOT = pathlib.Path(__file__).parents[3]
_SCENARIO = _ROOT / "flamingolug/tests/scenarios/two_hops.yaml"
_EXAMPLE = _ROOT / "examples/kyparissi.yaml"


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        """Starts two services with two nodes each and a store."""
        self.session = scenario.ScenarioRun(_SCENARIO)
        self.addCleanup(self.session.close)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        key_file = pathlib.Path(directory.name) / "key"
        key_file.write_text(scenario.PEER_KEY + "\n")
        self.options = (
            f"--store {self.session.store_url} "
            f"--nodes {','.join(self.session.node_addresses())} "
            f"--key-file {key_file}"
        )

    def _run(
        self, command_under_test: command.Command, line: str = ""
    ) -> tuple[int, str]:
        """Runs a command with `--json`; returns exit code and output."""
        tester = command_tester.CommandTester(command_under_test)
        code = tester.execute(f"{line} {self.options} --json")
        return int(code), tester.io.fetch_output()

    def test_after_apply_diff_is_empty_and_history_and_show_contain_it(
        self,
    ) -> None:
        code, _ = self._run(_manifest_commands.DiffCommand(), str(_EXAMPLE))
        self.assertEqual(code, _output.ExitCode.DIFFERENT)
        code, output = self._run(
            _manifest_commands.ApplyCommand(), f"{_EXAMPLE} --operator ana"
        )
        outcome = json.loads(output)
        self.assertEqual((code, outcome["state"]), (0, "in-force"))
        self.assertEqual(outcome["revision"], 2)
        self.assertEqual(
            {each["zone"] for each in outcome["zones"]}, {"a", "b"}
        )
        code, _ = self._run(_manifest_commands.DiffCommand(), str(_EXAMPLE))
        self.assertEqual(code, _output.ExitCode.OK)
        _, output = self._run(_manifest_commands.HistoryCommand())
        self.assertEqual(
            [each["operator"] for each in json.loads(output)],
            ["ana", "scenario"],
        )
        _, output = self._run(_manifest_commands.ShowCommand())
        self.assertEqual(json.loads(output)["deployment"], "kyparissi")

    def test_apply_with_another_expected_revision_loses_the_race(self) -> None:
        code, output = self._run(
            _manifest_commands.ApplyCommand(), f"{_EXAMPLE} --expect 9"
        )
        self.assertEqual(code, _output.ExitCode.LOST_RACE)
        self.assertIn("scenario", json.loads(output)["message"])

    def test_status_contains_every_node(self) -> None:
        code, output = self._run(_fleet_commands.StatusCommand())
        self.assertEqual(code, _output.ExitCode.OK)
        self.assertEqual(
            sorted(json.loads(output)),
            ["orders-1", "orders-2", "shop-1", "shop-2"],
        )

    def test_drain_of_an_unknown_node_is_refused(self) -> None:
        code, _ = self._run(_fleet_commands.DrainCommand(), "nobody")
        self.assertEqual(code, _output.ExitCode.REFUSED)

    def test_a_failed_store_gives_unreachable_and_not_applied(self) -> None:
        self.session.set_store_fault({"down": True})
        code, output = self._run(
            _manifest_commands.ApplyCommand(), str(_EXAMPLE)
        )
        self.assertEqual(code, _output.ExitCode.UNREACHABLE)
        self.assertEqual(json.loads(output)["state"], "not-applied")
        with self.assertRaises(errors.StoreUnavailableError):
            self._run(_manifest_commands.HistoryCommand())
