"""Commands for nodes: status and drain."""

from typing import Any
from typing import ClassVar

import cleo.commands.command
import cleo.helpers
import msgspec

from flamingolug.cli import _options
from flamingolug.cli import _output


class StatusCommand(cleo.commands.command.Command):
    """Prints the status of every node."""

    name = "status"
    description = "Prints service, revision and load of every node."
    options: ClassVar[list[Any]] = _options.fleet_options()

    def handle(self) -> int:
        """Prints a table or JSON.

        Returns:
            The exit code, `UNREACHABLE` when a node did not respond.
        """
        fleet = _options.open_fleet(self)
        statuses = fleet.statuses(fleet.members())
        silent = [name for name, status in statuses.items() if status is None]
        if self.option("json"):
            self.line(_output.to_json(msgspec.to_builtins(statuses)))
        else:
            self._print_table(statuses)
        if silent:
            return _output.ExitCode.UNREACHABLE
        return _output.ExitCode.OK

    def _print_table(self, statuses: dict[str, Any]) -> None:
        rows: list[Any] = []
        for name in sorted(statuses):
            status = statuses[name]
            if status is None:
                rows.append([name, "?", "?", "?", "silent", "", "", ""])
                continue
            rows.append(
                [
                    name,
                    status.availability_zone,
                    status.service or "-",
                    str(status.revision),
                    "leaving" if status.leaving else "serving",
                    f"{status.running}/{int(status.limit)}",
                    str(status.waiting),
                    str(status.cutoff),
                ]
            )
        headers: Any = [
            "node",
            "zone",
            "service",
            "revision",
            "state",
            "running",
            "waiting",
            "cutoff",
        ]
        table = self.table(headers, rows)
        table.render()


class DrainCommand(cleo.commands.command.Command):
    """Stops one node gracefully."""

    name = "drain"
    description = "Stops a node once its requests in progress have ended."
    arguments: ClassVar[list[Any]] = [
        cleo.helpers.argument("node", "name of the node")
    ]
    options: ClassVar[list[Any]] = _options.fleet_options()

    def handle(self) -> int:
        """Sends the drain request; does not wait until the node has stopped."""
        name = self.argument("node")
        if _options.open_fleet(self).drain(name):
            self.line(f"{name} is draining")
            return _output.ExitCode.OK
        self.line_error(
            f"{name} was not drained: it is not a member or refused the "
            "request; see `flamingolug status`"
        )
        return _output.ExitCode.REFUSED
