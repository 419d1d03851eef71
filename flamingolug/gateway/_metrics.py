"""Counters and the latency histogram, exposed in text format."""

import bisect

from flamingolug import telemetry
from flamingolug.gateway import _model

OUTCOMES = "flamingolug.gate.calls"
ANSWERS = "flamingolug.entry.answers"
RETRIES = "flamingolug.entry.retries"
REFUSALS = "flamingolug.entry.refusals"
LOAD_REPORTS = "flamingolug.upstream.load_reports"
HUNG_CALLS = "flamingolug.gate.calls.hung"
CONNECTIONS = "flamingolug.upstream.connections.opened"
STORE_CALLS = "flamingolug.store.calls"
STORE_ERAS = "flamingolug.store.eras"
LINKS_LOST = "flamingolug.links.lost"
CUT_REQUESTS = "flamingolug.entry.requests.cut"
UNDELIVERED = "flamingolug.entry.connections.undelivered"
DEPARTURE_REQUESTS = "flamingolug.departures.passed_on"
RECORDS_RESTORED = "flamingolug.departures.restored"
DURATION = "flamingolug.entry.duration"
#: Upper bounds of the latency histogram in seconds; two buckets per doubling
#: around the usual latency targets.
BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0,
)  # fmt: skip


class Metrics:
    """Metrics of one node."""

    def __init__(self, counters: telemetry.Counters) -> None:
        """Declares every counter."""
        self.counters = counters
        counters.declare(OUTCOMES, "Calls at the gate", "verdict", "reason")
        counters.declare(ANSWERS, "Answers to callers", "status", "rank")
        counters.declare(RETRIES, "Calls sent once more", "reason")
        counters.declare(REFUSALS, "Requests refused", "reason", "rank")
        counters.declare(CONNECTIONS, "Connections opened to the upstream")
        counters.declare(LOAD_REPORTS, "Load reports in responses", "result")
        counters.declare(HUNG_CALLS, "Calls that the upstream lost", "result")
        counters.declare(STORE_CALLS, "Calls to the store", "operation")
        counters.declare(
            STORE_ERAS, "Answers of the store with a changed era", "result"
        )
        counters.declare(LINKS_LOST, "Links to nodes that broke", "reason")
        counters.declare(CUT_REQUESTS, "Requests without an answer", "reason")
        counters.declare(
            UNDELIVERED, "Connections closed with unconfirmed output", "reason"
        )
        counters.declare(
            DEPARTURE_REQUESTS,
            "Records that other nodes were to write",
            "result",
        )
        counters.declare(
            RECORDS_RESTORED, "Records that the store had lost", "result"
        )
        self._buckets = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    def count_outcome(self, outcome: _model.Outcome) -> None:
        """Counts a call at the gate."""
        self.counters.add(
            OUTCOMES, outcome.verdict.name.lower(), outcome.reason
        )

    def count_connection(self) -> None:
        """Counts a connection opened to the upstream."""
        self.counters.add(CONNECTIONS)

    def count_load_report(self, reason: str) -> None:
        """Counts a load report, with the reason if it is ignored."""
        self.counters.add(LOAD_REPORTS, reason or "used")

    def count_store_call(self, operation: str) -> None:
        """Counts a call to the store."""
        self.counters.add(STORE_CALLS, operation)

    def count_era(self, result: str) -> None:
        """Counts an answer of the store that shows another era, or none."""
        self.counters.add(STORE_ERAS, result)

    def observe(self, status: int, rank: int, took_s: float) -> None:
        """Counts an answer to a caller, with its duration."""
        self.counters.add(ANSWERS, str(status), str(rank))
        self._buckets[bisect.bisect_left(BUCKETS_S, took_s)] += 1
        self._sum_s += took_s

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, rows in self.counters.snapshot().items():
            metric = name.replace(".", "_") + "_total"
            lines.append(f"# TYPE {metric} counter")
            for row in rows:
                labels = ",".join(
                    f'{key}="{value}"'
                    for key, value in row.items()
                    if key != "value"
                )
                lines.append(f"{metric}{{{labels}}} {row['value']}")
        metric = DURATION.replace(".", "_") + "_seconds"
        lines.append(f"# TYPE {metric} histogram")
        total = 0
        for index, count in enumerate(self._buckets):
            total += count
            bound = BUCKETS_S[index] if index < len(BUCKETS_S) else "+Inf"
            lines.append(f'{metric}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{metric}_sum {self._sum_s:.6f}")
        lines.append(f"{metric}_count {total}")
        return ("\n".join(lines) + "\n").encode()
