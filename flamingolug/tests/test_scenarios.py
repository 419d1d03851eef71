"""Runs every scenario and compares its transcript with its golden file.

`UPDATE_GOLDEN=1` rewrites the golden files; review the difference.
"""

import os
import pathlib
import unittest

from flamingolug.tests import scenario

_SCENARIOS = pathlib.Path(__file__).parent / "scenarios"


class ScenariosTest(unittest.TestCase):
    def test_transcripts_match_the_golden_files(self) -> None:
        for path in sorted(_SCENARIOS.glob("*.yaml")):
            with self.subTest(path.name):
                scenario_run = scenario.ScenarioRun(path)
                try:
                    transcript = "\n".join(scenario_run.run()) + "\n"
                finally:
                    scenario_run.close()
                golden = path.with_suffix(".golden")
                if os.environ.get("UPDATE_GOLDEN"):
                    golden.write_text(transcript, encoding="utf-8")
                self.assertEqual(transcript, golden.read_text(encoding="utf-8"))
