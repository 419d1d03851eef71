"""Signals that come while a node starts."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from flamingolug import platform

_ROOT = pathlib.Path(__file__).parents[3]
#: Stands in the place of the node's modules: it tells that the import has begun
#: and goes on once it is told to.
_SLOW_MODULE = """\
import sys
print("importing", flush=True)
sys.stdin.readline()
def main():
    return 7
"""


class LauncherTest(unittest.TestCase):
    def test_a_hang_up_during_the_imports_does_not_end_the_node(self) -> None:
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

    def test_unreadable_settings_end_it_with_their_own_code(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "flamingolug.launcher"],
            cwd=_ROOT,
            env=os.environ | {platform.SETTINGS_VARIABLE: "/no/such"},
            capture_output=True,
            text=True,
            timeout=60.0,
            check=False,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn("/no/such", done.stderr)
