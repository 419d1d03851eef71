"""Commands for logs: explain and incident."""

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

#: Events of a node that concern more than one request: loss or recovery of a
#: dependency, start and stop, a new configuration, dropped log lines.
_NODE_EVENTS = frozenset(
    (
        "store.lost",
        "store.regained",
        "store.era_began",
        "lease.lost",
        "link.lost",
        "link.undelivered",
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
#: Events that report a request that ended without the requested response.
_FAILURE_EVENTS = ("request.refused", "request.failed", "request.unroutable")
#: Event that reports the requests a connection ended without answering.
_CUT_EVENT = "caller.cut"
#: Length in seconds of the period before the first event of a request, from
#: which node events are printed too.
CONTEXT_S = 5.0
#: Seconds that one row of the plot of an incident covers.
PLOT_INTERVAL_S = 2.0
#: Length of the longest bar of the plot, in characters.
_MAX_BAR_LENGTH = 40

_LOGS_ARGUMENT = cleo.helpers.argument(
    "logs", "log files of one or more nodes", multiple=True
)


def _read_events(paths: list[str]) -> list[telemetry.LogLine]:
    """Returns the events of all files, ordered by time.

    Raises:
        ConfigurationError: a file cannot be read.
    """
    lines: list[telemetry.LogLine] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(
                encoding="utf-8", errors="replace"
            )
        except OSError as exc:
            raise errors.ConfigurationError(
                f"cannot read the log file: {exc}", step="logs", peer=path
            ) from exc
        lines.extend(telemetry.read_lines(text.splitlines()))
    return sorted(lines, key=lambda line: line.unix_time)


def explain(
    lines: list[telemetry.LogLine], request_id: str
) -> Iterator[tuple[telemetry.LogLine, bool]]:
    """Yields the events of a request and the node events of the same nodes.

    Node events are those that concern more than one request. They are included
    from `CONTEXT_S` seconds before the first event of the request to its last
    event.

    Args:
        lines: events, ordered by time.
        request_id: id of the request.

    Yields:
        An event and whether it has the id of the request.
    """
    request_events = [line for line in lines if _concerns(line, request_id)]
    if not request_events:
        return
    nodes = {line.node for line in request_events}
    since, until = (
        request_events[0].unix_time - CONTEXT_S,
        request_events[-1].unix_time,
    )
    for line in lines:
        if _concerns(line, request_id):
            yield line, True
            continue
        is_related = line.node in nodes and line.event in _NODE_EVENTS
        if is_related and since <= line.unix_time <= until:
            yield line, False


def _concerns(line: telemetry.LogLine, request_id: str) -> bool:
    """Returns whether a log line has the id of a request."""
    if line.fields.get("id") == request_id:
        return True
    ids = line.fields.get("ids", "")
    return bool(ids) and request_id in ids.split(",")


class ExplainCommand(cleo.commands.command.Command):
    """Prints the logged events of one request."""

    name = "explain"
    description = "Prints the logged events of a request, by its id."
    arguments: ClassVar[list[Any]] = [
        cleo.helpers.argument("id", "id of the request"),
        _LOGS_ARGUMENT,
    ]

    def handle(self) -> int:
        """Prints the events, ordered by time.

        A dot marks events of a node that do not belong to the request.

        Returns:
            The exit code, `UNREACHABLE` when no event has the id.
        """
        request_id = self.argument("id")
        lines = _read_events(self.argument("logs"))
        events = list(explain(lines, request_id))
        if not events:
            self.line_error(f"no event has the id {request_id}")
            return _output.ExitCode.UNREACHABLE
        first_at = next(line.unix_time for line, has_id in events if has_id)
        for line, has_id in events:
            prefix = " " if has_id else "."
            fields = " ".join(
                f"{key}={value}"
                for key, value in line.fields.items()
                if key != "id" and value != ""
            )
            self.line(
                f"{prefix} {line.unix_time - first_at:+8.3f} s {line.node} "
                f"{line.event} {fields}"
            )
        return _output.ExitCode.OK


class IncidentCommand(cleo.commands.command.Command):
    """Summarizes failed requests and node events in logs."""

    name = "incident"
    description = "Summarizes failed requests and dependency events in logs."
    arguments: ClassVar[list[Any]] = [_LOGS_ARGUMENT]

    def handle(self) -> int:
        """Prints failures by reason, a plot over time and node events.

        Returns:
            The exit code, `UNREACHABLE` when the logs contain no events.
        """
        lines = _read_events(self.argument("logs"))
        if not lines:
            self.line_error("the log files contain no events")
            return _output.ExitCode.UNREACHABLE
        failures = _count_failures(lines)
        self.line("failed requests by reason")
        for (event, reason), count in failures.most_common():
            self.line(f"  {count:7} {event} {reason}")
        self.line("requests without an answer by reason")
        for reason, count in _count_cut_requests(lines).most_common():
            self.line(f"  {count:7} {reason}")
        self.line("failed requests over time, in seconds from the first event")
        for at_s, count, bar in _plot(lines):
            self.line(f"  {at_s:7.1f} {count:6} {bar}")
        self.line("dependencies")
        node_events = collections.Counter(
            (line.event, line.fields.get("reason", ""))
            for line in lines
            if line.event in _NODE_EVENTS
        )
        for (event, reason), count in node_events.most_common():
            self.line(f"  {count:7} {event} {reason}")
        return _output.ExitCode.OK


def _failures_in(line: telemetry.LogLine) -> tuple[str, str, int]:
    """Returns event, reason and number of the failed requests in a log line.

    A `log.left_out` line stands for several suppressed lines. Returns empty
    texts and 0 for a line without failed requests.
    """
    if line.event in _FAILURE_EVENTS:
        return line.event, line.fields.get("reason", ""), 1
    if (
        line.event == "log.left_out"
        and line.fields.get("of") in _FAILURE_EVENTS
    ):
        return (
            line.fields["of"],
            line.fields.get("reason", ""),
            _number(line, "lines"),
        )
    return "", "", 0


def _count_failures(
    lines: list[telemetry.LogLine],
) -> "collections.Counter[tuple[str, str]]":
    """Returns the number of failed requests by event and reason."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for line in lines:
        event, reason, failure_count = _failures_in(line)
        if failure_count:
            counts[event, reason] += failure_count
    return counts


def _count_cut_requests(
    lines: list[telemetry.LogLine],
) -> "collections.Counter[str]":
    """Returns the number of requests without an answer by reason.

    A suppressed line counts as one request, which is a lower bound.
    """
    counts: collections.Counter[str] = collections.Counter()
    for line in lines:
        reason = line.fields.get("reason", "")
        if line.event == _CUT_EVENT:
            counts[reason] += _number(line, "pending")
            counts["not-started"] += _number(line, "not_started")
        elif (
            line.event == "log.left_out" and line.fields.get("of") == _CUT_EVENT
        ):
            counts[reason] += _number(line, "lines")
    return +counts


def _number(line: telemetry.LogLine, field: str) -> int:
    text = line.fields.get(field, "0")
    return int(text) if text.isdigit() else 0


def _plot(lines: list[telemetry.LogLine]) -> Iterator[tuple[float, int, str]]:
    """Yields start, number of failed requests and bar of each row of the plot.

    The start is in seconds since the first event.
    """
    first_at = lines[0].unix_time
    rows: collections.Counter[int] = collections.Counter()
    for line in lines:
        rows[int((line.unix_time - first_at) / PLOT_INTERVAL_S)] += (
            _failures_in(line)[2]
        )
    highest = max(*rows.values(), 1)
    for row in range(max(rows) + 1):
        bar = "#" * round(rows[row] * _MAX_BAR_LENGTH / highest)
        yield row * PLOT_INTERVAL_S, rows[row], bar
