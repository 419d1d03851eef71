"""Runs one seed of the soak, or a series."""

import collections
import pathlib
import tempfile
import time
from typing import NamedTuple

import gevent

from flamingolug_bench.soak import _callers
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _place
from flamingolug_bench.soak import _promises

DEFAULT_SECONDS = 12.0
DEFAULT_INSTANCES = 6
#: Program that a node is: module and arguments.
PROGRAM = ("flamingolug.launcher",)
#: Seconds of calm whose requests tell whether the fleet has recovered.
_CALM_S = 2.5
#: Seconds after a new version until each node in touch must follow it.
_CONFIGURED_S = 2.0
_SUPERVISE_S = 0.1
#: Longest wait for all nodes to serve at first; only a fault needs it.
_START_S = 60.0
#: Ends of requests without a status.
_NAMES = {
    _callers.CUT: "cut",
    _callers.NO_CONNECTION: "no-connection",
    _callers.SILENT: "silent",
}
#: Broken promises that are printed of one run.
_MOST_PRINTED = 12


class _Watch:
    """Supervises nodes and upstreams, and looks at configurations."""

    def __init__(self, place: _place.Place, tally: _faults.Tally) -> None:
        """Begins at once."""
        self.broken: list[_promises.Broken] = []
        self.calm = False
        self._place = place
        self._tally = tally
        self._started: dict[str, float] = {}
        #: Highest version seen in force, by instance and start.
        self._seen: dict[tuple[str, int], int] = {}
        self._numbers = 0
        self._tasks: list[gevent.Greenlet[..., None]] = [
            gevent.spawn(self._supervise)
        ]
        for instance in place.instances:
            self._started[instance.name] = time.monotonic()
            self._tasks += [
                gevent.spawn(self._report, instance),
                gevent.spawn(self._probe, instance),
            ]

    def wait_serving(self) -> None:
        """Waits until every node has served a request.

        Raises:
            AssertionError: a node does not serve in time.
        """
        until = time.monotonic() + _START_S
        for instance in self._place.instances:
            while self._ask(instance, "mark1") != 200:
                assert time.monotonic() < until, f"{instance.name} never served"
                gevent.sleep(0.1)

    def stop(self) -> None:
        """Ends supervision."""
        gevent.killall(self._tasks)

    def _supervise(self) -> None:
        while True:
            gevent.sleep(_SUPERVISE_S)
            for instance in self._place.instances:
                if not instance.has_ended():
                    continue
                if not instance.ending:
                    self.broken.append(
                        _promises.Broken("runs-on", instance.name, "ended")
                    )
                gevent.sleep(_faults.RESTART_AFTER_S)
                instance.start_node()
                self._started[instance.name] = time.monotonic()

    def _report(self, instance: _place.Instance) -> None:
        while True:
            instance.upstream.report()
            gevent.sleep(_place.REPORT_INTERVAL_S)

    def _probe(self, instance: _place.Instance) -> None:
        """Looks at which configuration a node follows."""
        while True:
            gevent.sleep(0.5)
            version = self._place.version
            since = self._tally.accepted.get(version, 0.0)
            now = time.monotonic()
            key = (instance.name, instance.starts)
            status = self._ask(instance, f"mark{version}")
            if version != self._place.version or key[1] != instance.starts:
                continue
            if status == 404 and self._seen.get(key, 0) >= version:
                self.broken.append(
                    _promises.Broken("never-back", instance.name, str(version))
                )
            if status in (200, 502, 503, 504):
                self._record_version(instance, key, version, status)
            if status == 404 and self._must_follow(instance, since, now):
                age_s = now - since
                self.broken.append(
                    _promises.Broken(
                        "configured",
                        instance.name,
                        f"version {version}, {age_s:.1f} s old",
                    )
                )

    def _record_version(
        self,
        instance: _place.Instance,
        key: tuple[str, int],
        version: int,
        status: int,
    ) -> None:
        """Notes a version in force; the one before must be gone."""
        if status != 200:
            # A node that knows no configuration yet says 503 to everything.
            return
        self._seen[key] = version
        if version < 2:
            return
        before = self._ask(instance, f"mark{version - 1}")
        if before == 200 and key[1] == instance.starts:
            self.broken.append(
                _promises.Broken(
                    "never-back", instance.name, f"{version - 1} in force"
                )
            )

    def _must_follow(
        self, instance: _place.Instance, since: float, now: float
    ) -> bool:
        touch_at = max(
            since + _CONFIGURED_S,
            self._started[instance.name] + _promises.TOUCH_S,
        )
        return now > touch_at and not _promises.was_disrupted(
            self._tally, instance.name, now - _promises.TOUCH_S, now
        )

    def _ask(self, instance: _place.Instance, route: str) -> int:
        self._numbers += 1
        conn = _callers.open_to(instance)
        name = f"probe-{instance.name}-{self._numbers}"
        record, _ = _callers.ask(instance, conn, route, name)
        if conn is not None:
            conn.close()
        return record.status


class Plan(NamedTuple):
    """How each seed is played."""

    #: Seconds in which disruptions begin; 0 for the usual time.
    duration_s: float = 0.0
    instances: int = DEFAULT_INSTANCES
    #: Module that runs a node, and its arguments.
    program: tuple[str, ...] = PROGRAM


def run(
    seed: int, plan: Plan | None = None, quiet: bool = False
) -> dict[str, object]:
    """Plays one seed; returns its figures.

    Logs of the nodes are kept where a promise was broken.
    """
    plan = plan or Plan()
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    steps = _faults.plan(
        seed, plan.duration_s or DEFAULT_SECONDS, plan.instances
    )
    tally = _faults.Tally()
    place = _place.Place(plan.instances, directory, plan.program)
    broken: list[_promises.Broken] = []
    callers: _callers.Callers | None = None
    try:
        watch = _Watch(place, tally)
        watch.wait_serving()
        began = time.monotonic()
        callers = _callers.Callers(place, seed)
        _print_schedule(steps, quiet)
        _faults.carry_out(place, steps, began, tally)
        calm_at = time.monotonic()
        gevent.sleep(_promises.RECOVERY_S + _CALM_S)
        callers.stop()
        watch.stop()
        seen = _promises.Seen(callers.records, place.ledger, tally, calm_at)
        broken = watch.broken + _promises.judge(seen)
    finally:
        place.stop()
    _report_broken(broken, directory)
    statuses = collections.Counter(each.status for each in callers.records)
    return {
        "broken": len(broken),
        "promises": ",".join(sorted({each.promise for each in broken})) or "-",
        "requests": len(callers.records),
        "statuses": ",".join(
            f"{_NAMES.get(status, status)}:{count}"
            for status, count in statuses.most_common()
        ),
        "faults": len(steps),
    }


def run_series(seeds: range, plan: Plan) -> dict[str, object]:
    """Plays several seeds; returns their figures."""
    total: dict[str, int] = {"broken": 0, "requests": 0, "faults": 0}
    failed: list[int] = []
    for seed in seeds:
        figures = run(seed, plan, quiet=True)
        for name in total:
            total[name] += int(str(figures[name]))
        if figures["broken"]:
            failed.append(seed)
        pairs = " ".join(f"{key}={each}" for key, each in figures.items())
        print(f"seed={seed} {pairs}", flush=True)
    return {**total, "failed_seeds": ",".join(map(str, failed)) or "-"}


def _print_schedule(steps: list[_faults.Step], quiet: bool) -> None:
    if quiet:
        return
    for step in steps:
        print(
            f"at={step.at_s} kind={step.kind} instance=n{step.target}"
            f" for={step.for_s}",
            flush=True,
        )


def _report_broken(
    broken: list[_promises.Broken], directory: pathlib.Path
) -> None:
    """Prints broken promises; removes the logs of a clean run."""
    for each in broken[:_MOST_PRINTED]:
        print(
            f"broken promise={each.promise} subject={each.subject}"
            f" detail={each.detail!r}",
            flush=True,
        )
    if broken:
        print(f"logs kept in {directory}", flush=True)
        return
    for path in directory.iterdir():
        path.unlink()
    directory.rmdir()
