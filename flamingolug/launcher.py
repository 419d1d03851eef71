"""Starts a node on the platform: `python -m flamingolug.launcher`.

A hang-up tells that settings have changed. One that comes while the modules of
the node are being imported would end the process; it is ignored here, since
the settings are read after that.
"""

import importlib
import signal
import sys

_PROGRAM = "flamingolug.platform.__main__"


def main() -> int:
    """Runs the node; returns its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Only now, so that imports come behind the line above.
    code: int = importlib.import_module(_PROGRAM).main()
    return code


if __name__ == "__main__":
    sys.exit(main())
