"""Runs a node on the platform: `python -m flamingolug.platform`."""

import os
import sys

from flamingolug import errors
from flamingolug import gateway
from flamingolug import platform
from flamingolug import telemetry

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Reads the settings and runs a node; returns the exit status."""
    path = os.environ.get(platform.SETTINGS_VARIABLE, "")
    telemetry.configure("info", "-")
    try:
        cfg = platform.load_settings(path)
    except errors.ConfigurationError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    telemetry.configure_bounded("info", cfg.identity.name)
    return gateway.run(platform.make_environment(cfg, path))


if __name__ == "__main__":
    sys.exit(main())
