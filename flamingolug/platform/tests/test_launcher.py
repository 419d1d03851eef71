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
#: Does the same, then starts the node.
_SLOW_NODE = """\
import sys
print("importing", flush=True)
sys.stdin.readline()
from flamingolug.platform.__main__ import main
"""
#: Does so in a finalizer, which drops exceptions.
_SLOW_FINALIZER = """\
import sys
class Slow:
    def __del__(self):
        print("importing", flush=True)
        sys.stdin.readline()
Slow()
from flamingolug.platform.__main__ import main
"""
_LAUNCH = (
    "import sys; from flamingolug import launcher; "
    "launcher._PROGRAM = 'slow_program'; sys.exit(launcher.main())"
)
#: Settings of a node whose store does not run; ports below the ephemeral ones.
_SETTINGS = """\
NodeName = "starting"
Ip = "{host}"
Zone = "z1"
InternalPorts = [17001, 17002]
AppAddr = "{host}:17003"
Service = "front"
[ListenAddrs]
Outbound = "{host}:17004"
Ready = "{host}:17005"
Control = "{host}:17006"
[Platform]
Address = "{host}:17007"
"""


class StopAtStartTest(unittest.TestCase):
    # Guards against a planned stop that ends the node like a crash.
    def test_sigterm_during_the_imports_ends_the_node_with_exit_status_0(
        self,
    ) -> None:
        cases = {
            "SIGTERM": (signal.SIGTERM,),
            "SIGTERM twice": (signal.SIGTERM, signal.SIGTERM),
            "SIGTERM between two SIGHUP": (
                signal.SIGHUP,
                signal.SIGTERM,
                signal.SIGHUP,
            ),
        }
        for name, signals in cases.items():
            with self.subTest(name):
                self.assertEqual(self._signal_during_imports(signals), 0)

    # Guards against a planned stop that a starting node does not notice.
    def test_sigterm_in_a_finalizer_ends_the_node(self) -> None:
        status = self._signal_during_imports((signal.SIGTERM,), _SLOW_FINALIZER)
        self.assertEqual(status, 0)

    def _signal_during_imports(
        self, signals: tuple[signal.Signals, ...], program: str = _SLOW_NODE
    ) -> int:
        """Returns the exit status of a node signalled during its imports."""
        with tempfile.TemporaryDirectory() as directory:
            settings = pathlib.Path(directory) / "node.toml"
            # The address derives from the process id, so that concurrent runs
            # use different ones.
            settings.write_text(
                _SETTINGS.format(host=f"127.{30 + os.getpid() % 200}.4.1")
            )
            (pathlib.Path(directory) / "slow_program.py").write_text(program)
            with subprocess.Popen(
                [sys.executable, "-c", _LAUNCH],
                cwd=_ROOT,
                env=os.environ
                | {
                    "PYTHONPATH": directory,
                    platform.SETTINGS_VARIABLE: str(settings),
                },
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            ) as process:
                assert process.stdout is not None
                self.assertEqual(process.stdout.readline(), "importing\n")
                for each in signals:
                    process.send_signal(each)
                try:
                    process.communicate("go on\n", timeout=20.0)
                finally:
                    process.kill()
                return process.returncode


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
