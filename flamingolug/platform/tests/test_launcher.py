"""Start of a node: signals during the imports, invalid settings."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from flamingolug import platform

_ROOT = pathlib.Path(__file__).parents[3]
#: Replaces the node's modules: prints a line when its import begins and
#: continues after a line of input.
_SLOW_MODULE = """\
import sys
print("importing", flush=True)
sys.stdin.readline()
def main():
    return 7
"""


class LauncherTest(unittest.TestCase):
    def test_sighup_during_the_imports_does_not_end_the_node(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "slow_program.py"
            path.write_text(_SLOW_MODULE)
            code = (
                "import sys; from flamingolug import launcher; "
                "launcher._PROGRAM = 'slow_program'; sys.exit(launcher.main())"
            )
            with subprocess.Popen(
                [sys.executable, "-c", code],
                cwd=_ROOT,
                env=os.environ | {"PYTHONPATH": directory},
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            ) as process:
                assert process.stdout is not None
                self.assertEqual(process.stdout.readline(), "importing\n")
                process.send_signal(signal.SIGHUP)
                process.communicate("go on\n", timeout=30.0)
                self.assertEqual(process.returncode, 7)

    def test_unreadable_settings_end_the_node_with_exit_status_2(self) -> None:
        result = subprocess.run(
            [sys.executable, "-m", "flamingolug.launcher"],
            cwd=_ROOT,
            env=os.environ | {platform.SETTINGS_VARIABLE: "/no/such"},
            capture_output=True,
            text=True,
            timeout=60.0,
            check=False,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("/no/such", result.stderr)
