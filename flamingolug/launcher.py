"""Starts a node through `flamingolug.platform`.

That package adapts the node to the platform on which it is deployed.

The command is `python -m flamingolug.launcher`; `deploy/system.toml` contains
it.

SIGHUP signals that the settings have changed. By default it ends the process.
The launcher therefore ignores the signal while the modules of the node are
imported. No change is missed, because the node reads the settings after that.
"""

import importlib
import signal
import sys

#: Module whose `main` runs the node.
_PROGRAM = "flamingolug.platform.__main__"


def main() -> int:
    """Runs the node and returns its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here, so that the signal is already ignored during the import.
    code: int = importlib.import_module(_PROGRAM).main()
    return code


if __name__ == "__main__":
    sys.exit(main())
