"""Commands for the manifest: check, diff, apply, show, history, schema."""

import getpass
import time
from typing import Any
from typing import ClassVar

import cleo.commands.command
import cleo.helpers
import gevent
import msgspec

from flamingolug import configuration
from flamingolug import manifest
from flamingolug import operations
from flamingolug.cli import _options
from flamingolug.cli import _output

_FILE = cleo.helpers.argument("file", "path of the manifest file")


class CheckCommand(cleo.commands.command.Command):
    """Checks a manifest file."""

    name = "check"
    description = "Checks a manifest without applying it."
    arguments: ClassVar[list[Any]] = [_FILE]
    options: ClassVar[list[Any]] = [_options.json_option()]

    def handle(self) -> int:
        """Prints a summary of the manifest.

        Raises:
            ConfigurationError: the manifest is not valid.
        """
        parsed = manifest.load_file(self.argument("file"))
        body = manifest.canonical_bytes(parsed)
        summary = {
            "deployment": parsed.deployment,
            "services": len(parsed.services),
            "kinds": len(parsed.kinds),
            "bytes": len(body),
            "digest": manifest.digest_of(body),
        }
        if self.option("json"):
            self.line(_output.to_json(summary))
            return _output.ExitCode.OK
        for key, value in summary.items():
            self.line(f"{key}: {value}")
        return _output.ExitCode.OK


class DiffCommand(cleo.commands.command.Command):
    """Compares a manifest file with the accepted manifest."""

    name = "diff"
    description = "Compares a manifest file with the accepted manifest."
    arguments: ClassVar[list[Any]] = [_FILE]
    options: ClassVar[list[Any]] = _options.fleet_options()

    def handle(self) -> int:
        """Prints the differences.

        Returns:
            The exit code, `DIFFERENT` when there are differences.
        """
        wanted = manifest.load_file(self.argument("file"))
        accepted, _ = operations.read_accepted(_options.open_store(self))
        current = _manifest_of(accepted)
        changes = operations.diff_manifests(current, wanted)
        revision = accepted.revision if accepted else 0
        if self.option("json"):
            self.line(
                _output.to_json(
                    {
                        "revision": revision,
                        "changes": [each._asdict() for each in changes],
                    }
                )
            )
        else:
            self.line(f"against revision {revision}: {len(changes)} changes")
            for change in changes:
                self.line(
                    f"  {change.key}: {change.before or '(none)'} -> "
                    f"{change.after or '(none)'}"
                )
        if changes:
            return _output.ExitCode.DIFFERENT
        return _output.ExitCode.OK


class ApplyCommand(cleo.commands.command.Command):
    """Writes a manifest to the store; waits until it is active at all nodes."""

    name = "apply"
    description = "Applies a manifest and waits for all nodes."
    arguments: ClassVar[list[Any]] = [_FILE]
    options: ClassVar[list[Any]] = [
        *_options.fleet_options(),
        cleo.helpers.option(
            "operator",
            None,
            "name for the history; default: user name",
            flag=False,
        ),
        cleo.helpers.option(
            "expect", None, "revision expected in the store", flag=False
        ),
        cleo.helpers.option(
            "timeout", None, "seconds to wait for all nodes", flag=False
        ),
    ]

    def handle(self) -> int:
        """Writes to the store, notifies nodes, waits and prints the outcome."""
        wanted = manifest.load_file(self.argument("file"))
        kv_store = _options.open_store(self)
        fleet = _options.open_fleet(self)
        expected = self.option("expect")
        result = operations.apply_manifest(
            kv_store,
            wanted,
            operations.Author(
                self.option("operator") or getpass.getuser(), time.time()
            ),
            int(expected) if expected else None,
            gevent.sleep,
        )
        code = _EXIT_CODES.get(result.state, _output.ExitCode.OK)
        if code is not _output.ExitCode.OK:
            return self._print_outcome(result, code, [])
        assert result.accepted is not None
        fleet.send_manifest(result.stored_form)
        active_everywhere, progress = fleet.wait_until_active(
            result.accepted.revision,
            float(self.option("timeout") or _options.DEFAULT_APPLY_TIMEOUT_S),
        )
        if not active_everywhere:
            code = _output.ExitCode.SPREADING
        return self._print_outcome(result, code, progress)

    def _print_outcome(
        self,
        result: operations.ApplyResult,
        code: _output.ExitCode,
        progress: list[operations.ZoneProgress],
    ) -> int:
        """Prints the outcome and the progress by zone; returns `code`."""
        revision = result.accepted.revision if result.accepted else 0
        state = str(result.state)
        if progress:
            active_everywhere = code is _output.ExitCode.OK
            state = "in-force" if active_everywhere else "spreading"
        if self.option("json"):
            self.line(
                _output.to_json(
                    {
                        "state": state,
                        "revision": revision,
                        "message": result.message,
                        "zones": [each._asdict() for each in progress],
                    }
                )
            )
            return code
        self.line(f"{state}: revision {revision}")
        if result.message:
            self.line(result.message)
        for each in progress:
            silent_suffix = (
                f", silent: {', '.join(each.silent)}" if each.silent else ""
            )
            self.line(
                f"  {each.zone}: in force at {each.in_force} of "
                f"{each.nodes} nodes{silent_suffix}"
            )
        return code


class ShowCommand(cleo.commands.command.Command):
    """Prints the accepted manifest."""

    name = "show"
    description = "Prints the accepted manifest as JSON."
    options: ClassVar[list[Any]] = _options.fleet_options()

    def handle(self) -> int:
        """Prints the manifest."""
        accepted, _ = operations.read_accepted(_options.open_store(self))
        if accepted is None:
            self.line_error("no manifest has been accepted yet")
            return _output.ExitCode.REFUSED
        body = accepted.body
        if not self.option("json"):
            body = msgspec.json.format(body, indent=2)
        self.line(body.decode())
        return _output.ExitCode.OK


class HistoryCommand(cleo.commands.command.Command):
    """Prints the accepted revisions."""

    name = "history"
    description = "Prints the accepted revisions, the latest first."
    options: ClassVar[list[Any]] = _options.fleet_options()

    def handle(self) -> int:
        """Prints one line for each revision."""
        accepted, _ = operations.read_accepted(_options.open_store(self))
        history = accepted.history if accepted else ()
        if self.option("json"):
            self.line(_output.to_json([each._asdict() for each in history]))
            return _output.ExitCode.OK
        for entry in history:
            at = time.strftime(
                "%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.applied_at)
            )
            self.line(
                f"{entry.revision}  {at}  {entry.operator}  {entry.digest}"
            )
        return _output.ExitCode.OK


class SchemaCommand(cleo.commands.command.Command):
    """Prints the manifest's JSON Schema."""

    name = "schema"
    description = "Prints the JSON Schema of the manifest."

    def handle(self) -> int:
        """Prints the schema."""
        encoded = msgspec.json.encode(manifest.json_schema())
        self.line(msgspec.json.format(encoded, indent=2).decode())
        return _output.ExitCode.OK


#: Exit codes of the outcomes of an apply that are not successes.
_EXIT_CODES = {
    operations.ApplyState.LOST_RACE: _output.ExitCode.LOST_RACE,
    operations.ApplyState.NOT_APPLIED: _output.ExitCode.UNREACHABLE,
    operations.ApplyState.UNKNOWN: _output.ExitCode.UNKNOWN,
}


def _manifest_of(
    accepted: configuration.AcceptedManifest | None,
) -> manifest.Manifest | None:
    """Returns the typed form of the accepted manifest, None without one."""
    if accepted is None:
        return None
    return manifest.decode(accepted.body, "store")
