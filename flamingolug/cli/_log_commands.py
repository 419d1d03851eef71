"""Commands about logs: explain, incident."""

import collections
import pathlib
from collections.abc import Iterator
from typing import Any
from typing import ClassVar

import cleo.commands.command
import cleo.helpers

from flamingolug import errors
from flamingolug import telemetry
from flamingolug.cli import _output

#: Events by which a node loses or regains what it depends on.
_DEPENDENCIES = frozenset(
    (
        "store.lost",
        "store.regained",
        "lease.lost",
        "link.lost",
        "link.unreachable",
        "upstream.silent",
        "upstream.left",
        "upstream.unreachable",
        "node.started",
        "node.stopping",
        "node.stopped",
        "configuration.in_force",
        "log.dropped",
    )
)
#: Events by which a request ends without the answer it asked for.
_ENDS = ("request.refused", "request.failed", "request.unroutable")
#: Seconds before a request's first line from which dependencies are shown.
CONTEXT_S = 5.0
#: Seconds that one row of the table of an incident sums up.
ROW_S = 2.0
#: Widest bar of the plot, characters.
_WIDTH = 40

_LOGS = cleo.helpers.argument("logs", "log files of any nodes", multiple=True)


def _read(paths: list[str]) -> list[telemetry.LogLine]:
    """Returns the events of all files in the order of their times.

    Raises:
        ConfigurationError: a file can't be read.
    """
    lines: list[telemetry.LogLine] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(
                encoding="utf-8", errors="replace"
            )
        except OSError as exc:
            raise errors.ConfigurationError(
                f"cannot read: {exc}", step="logs", peer=path
            ) from exc
        lines.extend(telemetry.read_lines(text.splitlines()))
    return sorted(lines, key=lambda line: line.at)


def explain(
    lines: list[telemetry.LogLine], request_id: str
) -> Iterator[tuple[telemetry.LogLine, bool]]:
    """Yields the events that tell of a request.

    Each comes with whether it carries the request's id. The others are changes
    of what the nodes concerned depend on, from `CONTEXT_S` before.
    """
    own = [line for line in lines if line.fields.get("id") == request_id]
    if not own:
        return
    nodes = {line.node for line in own}
    since, until = own[0].at - CONTEXT_S, own[-1].at
    for line in lines:
        if line.fields.get("id") == request_id:
            yield line, True
            continue
        concerned = line.node in nodes and line.event in _DEPENDENCIES
        if concerned and since <= line.at <= until:
            yield line, False


class ExplainCommand(cleo.commands.command.Command):
    """Tells the story of one request."""

    name = "explain"
    description = "Tells from logs what became of a request, by its id."
    arguments: ClassVar[list[Any]] = [
        cleo.helpers.argument("id", "id of the request"),
        _LOGS,
    ]

    def handle(self) -> int:
        """Prints the events in their order; exit code 5 without any."""
        request_id = self.argument("id")
        lines = _read(self.argument("logs"))
        story = list(explain(lines, request_id))
        if not story:
            self.line_error(f"no line carries the id {request_id}")
            return _output.ExitCode.UNREACHABLE
        first = next(line.at for line, own in story if own)
        for line, own in story:
            mark = " " if own else "."
            fields = " ".join(
                f"{key}={value}"
                for key, value in line.fields.items()
                if key != "id" and value != ""
            )
            self.line(
                f"{mark} {line.at - first:+8.3f} s {line.node} "
                f"{line.event} {fields}"
            )
        return _output.ExitCode.OK


class IncidentCommand(cleo.commands.command.Command):
    """Sums up what went wrong in a span of logs."""

    name = "incident"
    description = "Sums up refusals, failures and lost dependencies in logs."
    arguments: ClassVar[list[Any]] = [_LOGS]

    def handle(self) -> int:
        """Prints reasons, a plot over time and lost dependencies."""
        lines = _read(self.argument("logs"))
        if not lines:
            self.line_error("no events")
            return _output.ExitCode.UNREACHABLE
        ends = _count_ends(lines)
        self.line("requests that ended without their answer, by reason")
        for (event, reason), count in ends.most_common():
            self.line(f"  {count:7} {event} {reason}")
        self.line("over time, seconds from the first line")
        for at_s, count, bar in _plot(lines):
            self.line(f"  {at_s:7.1f} {count:6} {bar}")
        self.line("dependencies")
        kinds = collections.Counter(
            (line.event, line.fields.get("reason", ""))
            for line in lines
            if line.event in _DEPENDENCIES
        )
        for (event, reason), count in kinds.most_common():
            self.line(f"  {count:7} {event} {reason}")
        return _output.ExitCode.OK


def _ends_in(line: telemetry.LogLine) -> tuple[str, str, int]:
    """Returns event, reason and number of failed requests that a line tells."""
    if line.event in _ENDS:
        return line.event, line.fields.get("reason", ""), 1
    if line.event == "log.left_out" and line.fields.get("of") in _ENDS:
        count = line.fields.get("lines", "0")
        number = int(count) if count.isdigit() else 0
        return line.fields["of"], line.fields.get("reason", ""), number
    return "", "", 0


def _count_ends(
    lines: list[telemetry.LogLine],
) -> "collections.Counter[tuple[str, str]]":
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for line in lines:
        event, reason, number = _ends_in(line)
        if number:
            counts[event, reason] += number
    return counts


def _plot(lines: list[telemetry.LogLine]) -> Iterator[tuple[float, int, str]]:
    """Yields start, number of failed requests and a bar for each span."""
    first = lines[0].at
    rows: collections.Counter[int] = collections.Counter()
    for line in lines:
        rows[int((line.at - first) / ROW_S)] += _ends_in(line)[2]
    most = max(*rows.values(), 1)
    for row in range(max(rows) + 1):
        bar = "#" * round(rows[row] * _WIDTH / most)
        yield row * ROW_S, rows[row], bar
