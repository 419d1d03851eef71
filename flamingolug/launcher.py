"""Starts a node through `flamingolug.platform`.

That package adapts the node to the platform on which it is deployed.

The command is `python -m flamingolug.launcher`; `deploy/system.toml` contains
it.

SIGHUP signals that the settings have changed. By default it ends the process.
The launcher therefore ignores the signal while the modules of the node are
imported. No change is missed, because the node reads the settings after that.

A node that SIGTERM stops before it listens has nothing to finish and exits with
status 0.
"""

import importlib
import os
import signal
import sys
import types

#: Module whose `main` runs the node.
_PROGRAM = "flamingolug.platform.__main__"


def main() -> int:
    """Runs the node and returns its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)
    # Imported here, so that the signals are already handled during the import.
    code: int = importlib.import_module(_PROGRAM).main()
    return code


def _exit(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    # An exception could be lost in a finalizer, and the end of an interpreter
    # with half-imported modules could crash.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
