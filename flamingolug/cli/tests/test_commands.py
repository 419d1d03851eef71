"""The command line against live nodes: exit codes and output."""

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
        """Starts a small fleet."""
        self.session = scenario.Session(_SCENARIO)
        self.addCleanup(self.session.close)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        key_file = pathlib.Path(directory.name) / "key"
        key_file.write_text(scenario.SHARED_KEY + "\n")
        self.options = (
            f"--store {self.session.store_url} "
            f"--nodes {','.join(self.session.node_addresses())} "
            f"--key-file {key_file}"
        )

    def _run(self, tested: command.Command, line: str = "") -> tuple[int, str]:
        """Runs a command; returns exit code and output."""
        tester = command_tester.CommandTester(tested)
        code = tester.execute(f"{line} {self.options} --json")
        return int(code), tester.io.fetch_output()

    def test_an_apply_from_diff_to_history(self) -> None:
        code, _ = self._run(_manifest_commands.DiffCommand(), str(_EXAMPLE))
        self.assertEqual(code, _output.ExitCode.DIFFERENT)
        code, output = self._run(
            _manifest_commands.ApplyCommand(), f"{_EXAMPLE} --operator ana"
        )
        found = json.loads(output)
        self.assertEqual((code, found["state"]), (0, "in-force"))
        self.assertEqual(found["revision"], 2)
        self.assertEqual({each["zone"] for each in found["zones"]}, {"a", "b"})
        code, _ = self._run(_manifest_commands.DiffCommand(), str(_EXAMPLE))
        self.assertEqual(code, _output.ExitCode.OK)
        _, output = self._run(_manifest_commands.HistoryCommand())
        self.assertEqual(
            [each["operator"] for each in json.loads(output)],
            ["ana", "scenario"],
        )
        _, output = self._run(_manifest_commands.ShowCommand())
        self.assertEqual(json.loads(output)["deployment"], "kyparissi")

    def test_a_stale_expectation_is_a_lost_race(self) -> None:
        code, output = self._run(
            _manifest_commands.ApplyCommand(), f"{_EXAMPLE} --expect 9"
        )
        self.assertEqual(code, _output.ExitCode.LOST_RACE)
        self.assertIn("scenario", json.loads(output)["message"])

    def test_status_names_every_node(self) -> None:
        code, output = self._run(_fleet_commands.StatusCommand())
        self.assertEqual(code, _output.ExitCode.OK)
        self.assertEqual(
            sorted(json.loads(output)),
            ["orders-1", "orders-2", "shop-1", "shop-2"],
        )

    def test_an_unknown_node_cannot_be_drained(self) -> None:
        code, _ = self._run(_fleet_commands.DrainCommand(), "nobody")
        self.assertEqual(code, _output.ExitCode.REFUSED)

    def test_a_store_that_is_down_is_told_apart(self) -> None:
        self.session.set_store({"down": True})
        code, output = self._run(
            _manifest_commands.ApplyCommand(), str(_EXAMPLE)
        )
        self.assertEqual(code, _output.ExitCode.UNREACHABLE)
        self.assertEqual(json.loads(output)["state"], "not-applied")
        with self.assertRaises(errors.StoreUnavailableError):
            self._run(_manifest_commands.HistoryCommand())
