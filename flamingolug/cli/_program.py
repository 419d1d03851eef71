"""The program `flamingolug`: runs one command and sets the exit code."""

import sys

import cleo.application

from flamingolug import errors
from flamingolug.cli import _fleet_commands
from flamingolug.cli import _log_commands
from flamingolug.cli import _manifest_commands
from flamingolug.cli import _output

_COMMANDS = (
    _manifest_commands.CheckCommand,
    _manifest_commands.DiffCommand,
    _manifest_commands.ApplyCommand,
    _manifest_commands.ShowCommand,
    _manifest_commands.HistoryCommand,
    _manifest_commands.SchemaCommand,
    _fleet_commands.StatusCommand,
    _fleet_commands.DrainCommand,
    _log_commands.ExplainCommand,
    _log_commands.IncidentCommand,
)


def main() -> None:
    """Runs the command that the arguments name and exits with its code."""
    app = cleo.application.Application("flamingolug", "0.1.0")
    for command in _COMMANDS:
        app.add(command())
    app.catch_exceptions(False)
    app.auto_exits(False)
    try:
        code = app.run()
    except errors.ConfigurationError as exc:
        print(exc, file=sys.stderr)
        code = _output.ExitCode.REFUSED
    except errors.FlamingolugError as exc:
        print(exc, file=sys.stderr)
        code = _output.ExitCode.UNREACHABLE
    except Exception as exc:
        print(exc, file=sys.stderr)
        code = _output.ExitCode.REFUSED
    sys.exit(code)
