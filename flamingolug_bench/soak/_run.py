"""Runs a soak for one seed or for a series of seeds."""

import collections
import pathlib
import tempfile
import time
from typing import NamedTuple

import gevent

from flamingolug_bench.soak import _callers
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _invariants
from flamingolug_bench.soak import _records
from flamingolug_bench.soak import _testbed

DEFAULT_DURATION_S = 12.0
DEFAULT_INSTANCES = 6
#: Module that runs a node, and its arguments.
NODE_PROGRAM = ("flamingolug.launcher",)
#: Seconds after the recovery time in which callers send the requests that show
#: whether the fleet has recovered.
_OBSERVATION_S = 2.5
#: Seconds after which each node that no fault affects must have activated a new
#: configuration version.
_ACTIVATION_TIMEOUT_S = 2.0
#: Seconds between two checks for nodes that have exited.
_SUPERVISION_INTERVAL_S = 0.1
#: Seconds between two probes of a node, up to a number of instances. Larger
#: runs probe each node less often.
_PROBE_INTERVAL_S, _FULL_PROBE_INSTANCES = 0.5, 12
#: Maximum time until all nodes serve requests after the start, seconds; only a
#: defect takes that long.
_STARTUP_TIMEOUT_S = 60.0
#: Printed names of outcomes without an HTTP status.
_OUTCOME_NAMES = {
    _records.CLOSED_EARLY: "cut",
    _records.NO_CONNECTION: "no-connection",
    _records.TIMED_OUT: "silent",
    _records.NOT_READ: "not-read",
    _records.ABANDONED: "abandoned",
}
#: Maximum number of violations of one invariant printed for one run.
_MAX_PRINTED = 8


class _Supervisor:
    """Restarts nodes, sends upstream reports and probes configurations."""

    def __init__(
        self, testbed: _testbed.Testbed, run_log: _faults.RunLog
    ) -> None:
        """Starts supervision."""
        self.violations: list[_invariants.Violation] = []
        self.calm = False
        self._testbed = testbed
        self._run_log = run_log
        #: Latest configuration version found active, by instance name and start
        #: count.
        self._active_versions: dict[tuple[str, int], int] = {}
        self._probe_count = 0
        self._probe_interval_s = _PROBE_INTERVAL_S * max(
            len(testbed.instances) / _FULL_PROBE_INSTANCES, 1.0
        )
        self._tasks: list[gevent.Greenlet[..., None]] = []
        for instance in testbed.instances:
            self._tasks += [
                gevent.spawn(self._restart_node, instance),
                gevent.spawn(self._send_reports, instance),
                gevent.spawn(self._probe_configuration, instance),
            ]

    def wait_until_serving(self) -> None:
        """Waits until every node has served a request.

        Raises:
            AssertionError: a node does not serve a request in time.
        """
        deadline = time.monotonic() + _STARTUP_TIMEOUT_S
        for instance in self._testbed.instances:
            while self._send_probe(instance, "mark1") != 200:
                assert time.monotonic() < deadline, (
                    f"{instance.name} served no request within the time-out"
                )
                gevent.sleep(0.1)

    def stop(self) -> None:
        """Stops supervision."""
        gevent.killall(self._tasks)

    def _restart_node(self, instance: _testbed.Instance) -> None:
        """Restarts a node that has exited; records unexpected exits."""
        while True:
            gevent.sleep(_SUPERVISION_INTERVAL_S)
            if not instance.has_exited():
                continue
            if not instance.stop_requested:
                self.violations.append(
                    _invariants.Violation("runs-on", instance.name, "ended")
                )
            gevent.sleep(_faults.RESTART_DELAY_S)
            instance.start_node()

    def _send_reports(self, instance: _testbed.Instance) -> None:
        while True:
            if not self._has_left(instance):
                instance.upstream.report()
            gevent.sleep(_testbed.REPORT_INTERVAL_S)

    def _has_left(self, instance: _testbed.Instance) -> bool:
        """Returns whether the upstream has left for the current process.

        An upstream that has deregistered does not report to another process.
        The process that it deregistered from must ignore its later reports.
        """
        return any(
            departure.deregistered
            and departure.upstream_id == instance.upstream.id
            and departure.start_count != instance.start_count
            for departure in self._run_log.departures
        )

    def _probe_configuration(self, instance: _testbed.Instance) -> None:
        """Checks repeatedly which configuration version a node applies."""
        while True:
            gevent.sleep(self._probe_interval_s)
            version = self._testbed.version
            published_at = self._run_log.published_at.get(version, 0.0)
            now = time.monotonic()
            process_key = (instance.name, instance.start_count)
            status = self._send_probe(instance, f"mark{version}")
            if (
                version != self._testbed.version
                or process_key[1] != instance.start_count
            ):
                continue
            if (
                status == 404
                and self._active_versions.get(process_key, 0) >= version
            ):
                self.violations.append(
                    _invariants.Violation(
                        "never-back", instance.name, str(version)
                    )
                )
            if status in (200, 502, 503, 504):
                self._record_active_and_check_previous(
                    instance, process_key, version, status
                )
            if status == 404 and self._must_be_active(
                instance, published_at, now
            ):
                age_s = now - published_at
                self.violations.append(
                    _invariants.Violation(
                        "configured",
                        instance.name,
                        f"version {version}, {age_s:.1f} s old",
                    )
                )

    def _record_active_and_check_previous(
        self,
        instance: _testbed.Instance,
        process_key: tuple[str, int],
        version: int,
        status: int,
    ) -> None:
        """Handles a probe that was answered with 200, 502, 503 or 504.

        On success, records the version as active and checks that the previous
        one is inactive.
        """
        if status != 200:
            # Only 200 shows that the version is active. For example, a node
            # without a configuration answers 503 to every request.
            return
        self._active_versions[process_key] = version
        if version < 2:
            return
        previous_status = self._send_probe(instance, f"mark{version - 1}")
        if previous_status == 200 and process_key[1] == instance.start_count:
            self.violations.append(
                _invariants.Violation(
                    "never-back",
                    instance.name,
                    f"version {version - 1} still active",
                )
            )

    def _must_be_active(
        self, instance: _testbed.Instance, published_at: float, now: float
    ) -> bool:
        """Returns whether a node must have activated a version by now."""
        due_at = max(
            published_at + _ACTIVATION_TIMEOUT_S,
            instance.started_at + _invariants.SETTLE_S,
        )
        return now > due_at and not _invariants.was_disrupted(
            self._run_log, instance.name, now - _invariants.SETTLE_S, now
        )

    def _send_probe(self, instance: _testbed.Instance, route: str) -> int:
        """Requests a route on a new connection; returns the recorded status."""
        self._probe_count += 1
        conn = _callers.connect(instance)
        request_id = f"probe-{instance.name}-{self._probe_count}"
        record, _ = _callers.send_request(instance, conn, route, request_id)
        if conn is not None:
            conn.close()
        return record.status


class SoakOptions(NamedTuple):
    """Options of a run."""

    #: Seconds from the start of the schedule in which faults are first started;
    #: repeats may start later. 0 means `DEFAULT_DURATION_S`.
    duration_s: float = 0.0
    instances: int = DEFAULT_INSTANCES
    #: Module that runs a node, and its arguments; see `variants`.
    program: tuple[str, ...] = NODE_PROGRAM


def run(
    seed: int, options: SoakOptions | None = None, quiet: bool = False
) -> dict[str, object]:
    """Runs the schedule of one seed; returns its result fields.

    Keeps the settings and logs of the nodes if an invariant was violated.

    Args:
        seed: determines the schedule of faults and the requests of callers.
        options: options of the run, None for the defaults.
        quiet: whether the schedule is not printed.
    """
    options = options or SoakOptions()
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    schedule = _faults.make_schedule(
        seed, options.duration_s or DEFAULT_DURATION_S, options.instances
    )
    run_log = _faults.RunLog()
    testbed = _testbed.Testbed(options.instances, directory, options.program)
    violations: list[_invariants.Violation] = []
    callers: _callers.Callers | None = None
    try:
        supervisor = _Supervisor(testbed, run_log)
        supervisor.wait_until_serving()
        started_at = time.monotonic()
        callers = _callers.Callers(testbed, seed)
        _print_schedule(schedule, quiet)
        _faults.inject_all(testbed, schedule, started_at, run_log)
        faults_ended_at = time.monotonic()
        gevent.sleep(_invariants.RECOVERY_S + _OBSERVATION_S)
        callers.stop()
        supervisor.stop()
        observed = _invariants.Observations(
            callers.records, testbed.arrivals, run_log, faults_ended_at
        )
        violations = supervisor.violations + _invariants.find_violations(
            observed
        )
    finally:
        testbed.stop()
    _report_violations(violations, directory)
    statuses = collections.Counter(record.status for record in callers.records)
    return {
        "broken": len(violations),
        "promises": ",".join(
            sorted({violation.invariant for violation in violations})
        )
        or "-",
        "requests": len(callers.records),
        "statuses": ",".join(
            f"{_OUTCOME_NAMES.get(status, status)}:{count}"
            for status, count in statuses.most_common()
        ),
        "faults": len(schedule),
        # How late the event loop of the callers was at most.
        "max_lag_ms": round(callers.clock.max_lag_s * 1000),
    }


def run_series(seeds: range, options: SoakOptions) -> dict[str, object]:
    """Runs several seeds; returns the totals of their result fields."""
    totals: dict[str, int] = {"broken": 0, "requests": 0, "faults": 0}
    failed_seeds: list[int] = []
    for seed in seeds:
        results = run(seed, options, quiet=True)
        for field in totals:
            totals[field] += int(str(results[field]))
        if results["broken"]:
            failed_seeds.append(seed)
        pairs = " ".join(f"{key}={value}" for key, value in results.items())
        print(f"seed={seed} {pairs}", flush=True)
    return {**totals, "failed_seeds": ",".join(map(str, failed_seeds)) or "-"}


def _print_schedule(
    schedule: list[_faults.ScheduledFault], quiet: bool
) -> None:
    if quiet:
        return
    for fault in schedule:
        print(
            f"at={fault.start_s} kind={fault.fault_type}"
            f" instance=n{fault.instance_index} for={fault.duration_s}",
            flush=True,
        )


def _report_violations(
    violations: list[_invariants.Violation], directory: pathlib.Path
) -> None:
    """Prints violations; removes settings and logs if there are none."""
    printed: collections.Counter[str] = collections.Counter()
    for violation in violations:
        printed[violation.invariant] += 1
        if printed[violation.invariant] > _MAX_PRINTED:
            continue
        print(
            f"broken promise={violation.invariant} subject={violation.subject}"
            f" detail={violation.detail!r}",
            flush=True,
        )
    if violations:
        print(f"logs kept in {directory}", flush=True)
        return
    for path in directory.iterdir():
        path.unlink()
    directory.rmdir()
