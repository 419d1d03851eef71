"""Fault types of a soak, its random schedule, and the injection of faults.

Types marked as planned are not faults but normal operations, such as a new
configuration; all invariants hold while they run.

Times `..._at` are seconds of `time.monotonic()`.
"""

import random
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import http1
from flamingolug_bench.soak import _testbed
from flamingolug_standins import leased_store
from flamingolug_standins import relay_program

#: Seconds without faults at the start, once all nodes serve requests.
WARMUP_S = 1.5
#: Mean interval between the starts of two faults, seconds; faults overlap.
_MEAN_INTERVAL_S = 0.7
#: Bounds of the duration of a fault, seconds.
_MIN_DURATION_S, _MAX_DURATION_S = 0.5, 3.0
#: Seconds after which the supervisor restarts a node whose process has exited.
RESTART_DELAY_S = 0.3
#: Maximum deviation, in either direction, of the start time reported by an
#: upstream that replaces another, milliseconds.
_MAX_CLOCK_SKEW_MS = 120_000
#: Value of `FaultInterval.instance` for faults that affect all instances.
ALL_INSTANCES = "*"


#: One of this many seeds has a schedule of planned operations only.
_PLANNED_ONLY_SEEDS = 3
#: Mean interval between the starts of two planned operations in such a
#: schedule, seconds.
_PLANNED_MEAN_INTERVAL_S = 0.8
#: Probability that a schedule with faults also has a series.
_SERIES_RATIO = 0.5
#: Intervals of the signals or versions of a series, seconds.
_MIN_GAP_S, _MAX_GAP_S = 0.02, 0.3
#: Intervals between the stops of a rolling restart, seconds; each is shorter
#: than a stop.
_MIN_ROLL_GAP_S, _MAX_ROLL_GAP_S = 0.3, 1.2
#: Longest time from the start of a process to its stop in a series that stops
#: starting nodes, seconds.
_MAX_START_S = 1.5
#: Instances that a rolling restart stops at most.
_MAX_ROLLED = 12
#: Probabilities that a schedule with faults has a drill of the store, and that
#: the store returns from the same copy a second time.
_DRILL_RATIO, _SECOND_DRILL_RATIO = 0.7, 0.3
#: Longest time for which the store is away in a drill, and longest time from
#: its return until the operator writes again, seconds.
_MAX_AWAY_S, _MAX_OPERATOR_DELAY_S = 1.5, 0.5
#: Seconds after its start from which on a process must know of departures.
_INFORMED_S = 3.0


class ScheduledFault(NamedTuple):
    """One entry of the schedule."""

    #: Seconds from the start of the schedule.
    start_s: float
    #: Key in `FAULT_TYPES`.
    fault_type: str
    #: Index of the instance that the fault is applied to. Some types are
    #: applied to the store or to several instances instead.
    instance_index: int
    duration_s: float


class FaultInterval(NamedTuple):
    """A fault that was injected, with its actual times."""

    #: Key in `FAULT_TYPES`.
    fault_type: str
    #: Name of the affected instance, or `ALL_INSTANCES`.
    instance: str
    started_at: float
    ended_at: float
    #: Whether it is a normal operation, during which all invariants hold.
    planned: bool


class Departure(NamedTuple):
    """A drain or deregistration of an upstream that its node acknowledged."""

    upstream_id: str
    acknowledged_at: float
    #: `Instance.start_count` of the node that acknowledged it.
    start_count: int = 0
    #: Whether the upstream deregistered without reporting a drain before.
    deregistered: bool = False


class NodeStop(NamedTuple):
    """A stop of a node by SIGTERM."""

    instance: str
    #: `Instance.start_count` of the node process.
    start_count: int
    started_at: float
    ended_at: float
    #: None where the node had to be killed and its exit status was not yet
    #: available.
    exit_code: int | None


class RunLog:
    """Records the faults and planned operations of a run."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self.intervals: list[FaultInterval] = []
        #: Acknowledged drains and deregistrations.
        self.departures: list[Departure] = []
        #: Stops of nodes by SIGTERM.
        self.stops: list[NodeStop] = []
        #: Time at which each configuration version after the first was stored,
        #: by version.
        self.published_at: dict[int, float] = {}


class FaultContext(NamedTuple):
    """Target and duration of a fault that is being injected."""

    testbed: _testbed.Testbed
    instance: _testbed.Instance
    duration_s: float
    run_log: RunLog
    #: Random generator of this injection.
    rng: random.Random


_Injector = Callable[[FaultContext], None]


def _relay_fault_injector(relay: str, fault: relay_program.Fault) -> _Injector:
    """Returns an injector that sets a fault of a relay of the instance."""

    def inject(context: FaultContext) -> None:
        context.instance.set_fault(relay, fault)
        gevent.sleep(context.duration_s)
        context.instance.set_fault(relay, relay_program.Fault())

    return inject


def _store_attribute_injector(name: str, value: float) -> _Injector:
    """Returns an injector that sets an attribute of the store.

    Afterwards the attribute is False or 0.
    """

    def inject(context: FaultContext) -> None:
        # Only the type of the value is used. The value itself may have been
        # set by an overlapping injection of the same fault.
        current = getattr(context.testbed.store, name)
        setattr(context.testbed.store, name, value)
        gevent.sleep(context.duration_s)
        setattr(context.testbed.store, name, type(current)(0))

    return inject


def _upstream_attribute_injector(
    name: str, value: object, normal: object
) -> _Injector:
    """Returns an injector that sets an attribute of the upstream.

    Afterwards the attribute is `normal`.
    """

    def inject(context: FaultContext) -> None:
        upstream = context.instance.upstream
        setattr(upstream, name, value)
        gevent.sleep(context.duration_s)
        setattr(upstream, name, normal)

    return inject


def _drop_response(req: http1.Request, response: bytes) -> bytes:
    del req, response
    raise OSError("response dropped")


def _append_response(req: http1.Request, response: bytes) -> bytes:
    """Appends a second response, which belongs to no request."""
    del req
    return response + response.replace(b"body of", b"more of")


def _truncate_response(req: http1.Request, response: bytes) -> bytes:
    del req
    return response[:-3]


def _kill_node(context: FaultContext) -> None:
    context.instance.signal_node(signal.SIGKILL)
    # The supervisor restarts the node about this long after it has exited.
    gevent.sleep(RESTART_DELAY_S)


def _kill_every_other_node(context: FaultContext) -> None:
    for instance in context.testbed.instances[::2]:
        instance.signal_node(signal.SIGKILL)
    gevent.sleep(RESTART_DELAY_S)


def _pause_node(context: FaultContext) -> None:
    context.instance.signal_node(signal.SIGSTOP)
    gevent.sleep(context.duration_s)
    context.instance.signal_node(signal.SIGCONT)


def _terminate_node(context: FaultContext) -> None:
    _terminate(context, ())


def _terminate_then_hang_up(context: FaultContext) -> None:
    _terminate(context, (signal.SIGHUP,))


def _terminate_repeatedly(context: FaultContext) -> None:
    _terminate(context, (signal.SIGTERM, signal.SIGHUP))


def _terminate(
    context: FaultContext, further_signals: tuple[signal.Signals, ...]
) -> None:
    """Stops a node by SIGTERM and waits until it has exited.

    Args:
        context: target of the stop.
        further_signals: signals to choose from during the stop.
    """
    instance = context.instance
    if not _wait_until_running(instance) or instance.stop_requested:
        return
    started_at, start_count = time.monotonic(), instance.start_count
    process = instance.process
    assert process is not None
    instance.signal_node(signal.SIGTERM)
    while process.poll() is None:
        if time.monotonic() - started_at > _testbed.GRACE_S:
            instance.signal_node(signal.SIGKILL)
            break
        gevent.sleep(0.05)
        if further_signals:
            left_s = started_at + _testbed.GRACE_S - time.monotonic()
            gap_s = context.rng.uniform(0.0, _MAX_GAP_S)
            gevent.sleep(max(min(gap_s, left_s), 0.0))
        if further_signals and instance.process is process:
            instance.signal_node(context.rng.choice(further_signals))
    context.run_log.stops.append(
        NodeStop(
            instance.name,
            start_count,
            started_at,
            time.monotonic(),
            process.poll(),
        )
    )


def _terminate_at_start(context: FaultContext) -> None:
    """Stops a node, and stops it again when it has just been started."""
    instance = context.instance
    start_count = instance.start_count
    _terminate(context, ())
    deadline = time.monotonic() + _testbed.GRACE_S
    while instance.start_count == start_count or instance.has_exited():
        if time.monotonic() > deadline:
            return
        gevent.sleep(0.02)
    gevent.sleep(context.rng.uniform(0.0, _MAX_START_S))
    _terminate(context, ())


def _terminate_in_turn(context: FaultContext) -> None:
    """Stops the nodes one after another without waiting for each to exit."""
    instances = context.testbed.instances
    first = instances.index(context.instance)
    tasks: list[gevent.Greenlet[..., None]] = []
    for instance in (instances[first:] + instances[:first])[:_MAX_ROLLED]:
        stop = _terminate_node
        if context.rng.random() < 0.3:
            stop = _terminate_then_hang_up
        tasks.append(gevent.spawn(stop, context._replace(instance=instance)))
        gevent.sleep(context.rng.uniform(_MIN_ROLL_GAP_S, _MAX_ROLL_GAP_S))
    gevent.joinall(tasks, raise_error=True)


def _wait_until_running(instance: _testbed.Instance) -> bool:
    """Waits while the interpreter of a node starts.

    Returns:
        Whether the node is running.
    """
    while not instance.has_exited():
        if instance.handles_signals():
            return True
        gevent.sleep(0.005)
    return False


def _send_hangup(context: FaultContext) -> None:
    if _wait_until_running(context.instance):
        context.instance.signal_node(signal.SIGHUP)


def _send_hangups(context: FaultContext) -> None:
    """Sends many SIGHUPs to a node, also while it starts or stops."""
    instance = context.instance
    ended_at = time.monotonic() + context.duration_s
    while time.monotonic() < ended_at:
        gevent.sleep(context.rng.uniform(_MIN_GAP_S, _MAX_GAP_S))
        if instance.handles_signals():
            instance.signal_node(signal.SIGHUP)


def _publish_configurations(context: FaultContext) -> None:
    ended_at = time.monotonic() + context.duration_s
    while time.monotonic() < ended_at:
        _publish_configuration(context)
        gevent.sleep(context.rng.uniform(_MIN_GAP_S, _MAX_GAP_S))


def _publish_configuration(context: FaultContext) -> None:
    context.testbed.publish_configuration()
    context.run_log.published_at[context.testbed.version] = time.monotonic()


def _drop_store_history(context: FaultContext) -> None:
    context.testbed.store.drop_history()


def _drill_store(context: FaultContext) -> None:
    """Has the store return from a copy that is some seconds old."""
    copy = context.testbed.store.copy()
    gevent.sleep(context.duration_s)
    _return_from_copy(context, copy)


def _return_from_copy(context: FaultContext, copy: leased_store.Copy) -> None:
    """Has the store return from a copy, with or without an outage.

    The operator then writes the latest version again, or a newer one.
    """
    kv, rng = context.testbed.store, context.rng
    rounds = 2 if rng.random() < _SECOND_DRILL_RATIO else 1
    for _ in range(rounds):
        kv.down = rng.random() < 0.7
        if kv.down:
            gevent.sleep(rng.uniform(0.1, _MAX_AWAY_S))
        kv.restore(copy)
        kv.down = False
        if rng.random() < 0.5:
            gevent.sleep(rng.uniform(0.0, _MAX_OPERATOR_DELAY_S))
        if rng.random() < 0.5:
            _publish_configuration(context)
        else:
            context.testbed.restore_configuration()


def _drill_after_departure(context: FaultContext) -> None:
    """Has the store lose a departure, and restarts the node after that.

    A report of the upstream arrives late, at a process that must know of the
    departure.
    """
    instance, upstream = context.instance, context.instance.upstream
    copy = context.testbed.store.copy()
    upstream.sequence += 1
    late_report = upstream.make_report("ready")
    if not _leave(context):
        # An upstream ends without an acknowledgement too.
        gevent.sleep(_testbed.DRAIN_S)
        if upstream is instance.upstream:
            _replace_upstream(instance)
        return
    started_at = time.monotonic()
    gevent.sleep(context.rng.uniform(0.0, context.duration_s))
    _return_from_copy(context, copy)
    context.run_log.intervals.append(
        FaultInterval(
            "store-drill", ALL_INSTANCES, started_at, time.monotonic(), False
        )
    )
    gevent.sleep(context.rng.uniform(0.0, context.duration_s))
    start_count = instance.start_count
    instance.signal_node(signal.SIGKILL)
    deadline = time.monotonic() + _testbed.GRACE_S
    while time.monotonic() < deadline:
        is_next = instance.start_count > start_count
        if is_next and _wait_until_running(instance):
            break
        gevent.sleep(0.02)
    gevent.sleep(_INFORMED_S)
    if upstream is instance.upstream:
        upstream.post("heartbeat", late_report)
        gevent.sleep(1.0)
    if upstream is instance.upstream:
        _replace_upstream(instance)


def _leave(context: FaultContext) -> bool:
    """Has the upstream deregister; returns whether that is acknowledged."""
    upstream = context.instance.upstream
    if upstream.deregister() != 200:
        return False
    context.run_log.departures.append(
        Departure(
            upstream.id,
            time.monotonic(),
            context.instance.start_count,
            deregistered=True,
        )
    )
    return True


def _expire_all_leases(context: FaultContext) -> None:
    """Ends all leases while the store is unavailable."""
    context.testbed.store.down = True
    context.testbed.store.end_all_leases()
    gevent.sleep(context.duration_s)
    context.testbed.store.down = False


def _replace_upstream(instance: _testbed.Instance) -> None:
    instance.upstream.stop()
    instance.upstream = instance.new_upstream()
    skew = random.Random(instance.upstream.id).randint(
        -_MAX_CLOCK_SKEW_MS, _MAX_CLOCK_SKEW_MS
    )
    instance.upstream.start_time_ms += skew


def _crash_upstream(context: FaultContext) -> None:
    context.instance.upstream.stop()
    gevent.sleep(context.duration_s)
    _replace_upstream(context.instance)


def _departure_injector(first_action: str) -> _Injector:
    """Returns an injector that drains or deregisters the upstream.

    The upstream is replaced after the drain period.

    Args:
        first_action: `draining` to report a drain and deregister after the
            drain period, `leave` to deregister at once.
    """

    def inject(context: FaultContext) -> None:
        upstream = context.instance.upstream
        if first_action == "leave":
            _leave(context)
        elif upstream.report("draining") == 200:
            context.run_log.departures.append(
                Departure(
                    upstream.id,
                    time.monotonic(),
                    context.instance.start_count,
                )
            )
        gevent.sleep(_testbed.DRAIN_S + 0.5)
        if first_action == "draining":
            upstream.deregister()
        if upstream is context.instance.upstream:
            _replace_upstream(context.instance)

    return inject


class FaultType(NamedTuple):
    """How a type of fault is injected and what it affects."""

    inject: _Injector
    #: Whether it is a normal operation, during which all invariants hold.
    planned: bool = False
    #: Whether the fault may affect requests at all instances, even if it is
    #: applied to one.
    affects_all: bool = False
    #: Whether it consists of several operations.
    series: bool = False
    #: Whether the store returns from a copy.
    drill: bool = False


_RelayFault = relay_program.Fault
#: Service time of a slowed upstream, seconds.
_SLOW_SERVICE_TIME_S = 0.4
FAULT_TYPES: dict[str, FaultType] = {
    "node-kill": FaultType(_kill_node),
    "node-kill-many": FaultType(_kill_every_other_node, affects_all=True),
    "node-pause": FaultType(_pause_node),
    "node-term": FaultType(_terminate_node, planned=True),
    "node-hup": FaultType(_send_hangup, planned=True),
    "configure": FaultType(_publish_configuration, planned=True),
    "term-hup": FaultType(_terminate_then_hang_up, planned=True, series=True),
    "term-twice": FaultType(_terminate_repeatedly, planned=True, series=True),
    "term-at-start": FaultType(_terminate_at_start, planned=True, series=True),
    "term-rolling": FaultType(_terminate_in_turn, planned=True, series=True),
    "hup-storm": FaultType(_send_hangups, planned=True, series=True),
    "configure-storm": FaultType(
        _publish_configurations, planned=True, series=True
    ),
    "store-down": FaultType(
        _store_attribute_injector("down", True), affects_all=True
    ),
    "store-silent": FaultType(
        _store_attribute_injector("silent", True), affects_all=True
    ),
    "store-loses": FaultType(
        _store_attribute_injector("lose_answers", True), affects_all=True
    ),
    "store-slow": FaultType(
        _store_attribute_injector("delay_s", 0.3), affects_all=True
    ),
    "store-forgets": FaultType(_drop_store_history, affects_all=True),
    "store-drill": FaultType(_drill_store, affects_all=True, drill=True),
    "departure-drill": FaultType(_drill_after_departure, drill=True),
    "store-lapses": FaultType(_expire_all_leases, affects_all=True),
    "store-cut": FaultType(
        _relay_fault_injector("store", _RelayFault(cut=True))
    ),
    "store-one-way": FaultType(
        _relay_fault_injector("store", _RelayFault(cut_back=True))
    ),
    "link-cut": FaultType(
        _relay_fault_injector("link", _RelayFault(cut=True)), affects_all=True
    ),
    "link-one-way": FaultType(
        _relay_fault_injector("link", _RelayFault(cut_back=True)),
        affects_all=True,
    ),
    "link-silent": FaultType(
        _relay_fault_injector("link", _RelayFault(silence_open=True)),
        affects_all=True,
    ),
    "link-reset": FaultType(
        _relay_fault_injector("link", _RelayFault(reset_open=True)),
        affects_all=True,
    ),
    "link-slow": FaultType(
        _relay_fault_injector("link", _RelayFault(delay_s=0.03, jitter_s=0.05)),
        affects_all=True,
    ),
    "callers-reset": FaultType(
        _relay_fault_injector("callers", _RelayFault(reset_open=True))
    ),
    "callers-stall": FaultType(
        _relay_fault_injector(
            "callers", _RelayFault(stall_chance=0.1, stall_s=0.2)
        )
    ),
    "app-silent": FaultType(
        _relay_fault_injector("app", _RelayFault(silence_open=True)),
        affects_all=True,
    ),
    "app-reset": FaultType(
        _relay_fault_injector("app", _RelayFault(reset_open=True)),
        affects_all=True,
    ),
    "upstream-crash": FaultType(_crash_upstream, affects_all=True),
    "upstream-drain": FaultType(_departure_injector("draining"), planned=True),
    "upstream-leave": FaultType(_departure_injector("leave"), planned=True),
    "upstream-slow": FaultType(
        _upstream_attribute_injector(
            "service_s", _SLOW_SERVICE_TIME_S, _testbed.SERVICE_TIME_S
        ),
        affects_all=True,
    ),
    "upstream-refuses": FaultType(
        _upstream_attribute_injector("refuse", True, False), affects_all=True
    ),
    "upstream-fails": FaultType(
        _upstream_attribute_injector("fail", True, False), affects_all=True
    ),
    "answers-lost": FaultType(
        _upstream_attribute_injector("rewrite_response", _drop_response, None),
        affects_all=True,
    ),
    "answers-extra": FaultType(
        _upstream_attribute_injector(
            "rewrite_response", _append_response, None
        ),
        affects_all=True,
    ),
    "answers-short": FaultType(
        _upstream_attribute_injector(
            "rewrite_response", _truncate_response, None
        ),
        affects_all=True,
    ),
}


def make_schedule(
    seed: int, duration_s: float, instance_count: int
) -> list[ScheduledFault]:
    """Returns a random schedule, ordered by start time.

    Equal arguments give equal schedules.

    Args:
        seed: seed of the random generator.
        duration_s: seconds from the start of the schedule in which faults are
            first started; repeats may start up to half of `_MAX_DURATION_S`
            later.
        instance_count: number of instances.
    """
    if seed % _PLANNED_ONLY_SEEDS == 0:
        return _make_planned_schedule(seed, duration_s, instance_count)
    rng = random.Random(seed)
    single_types = sorted(
        name
        for name, each in FAULT_TYPES.items()
        if not (each.series or each.drill)
    )
    schedule: list[ScheduledFault] = []
    start_s = WARMUP_S
    while start_s < duration_s:
        fault_type = rng.choice(single_types)
        fault_duration_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
        index = rng.randrange(instance_count)
        schedule.append(
            ScheduledFault(
                round(start_s, 2), fault_type, index, round(fault_duration_s, 2)
            )
        )
        if rng.random() < 0.2:
            # The same fault is scheduled again after half of its duration. It
            # overlaps the first one, unless its type ignores the duration and
            # the first one has ended by then.
            repeat_s = start_s + fault_duration_s / 2.0
            schedule.append(
                ScheduledFault(
                    round(repeat_s, 2),
                    fault_type,
                    index,
                    round(fault_duration_s, 2),
                )
            )
        start_s += rng.expovariate(1.0 / _MEAN_INTERVAL_S)
    # Series have a generator of their own, so that the faults of a seed do not
    # depend on them.
    series_rng = random.Random(f"{seed}/series")
    if series_rng.random() < _SERIES_RATIO:
        start_s = series_rng.uniform(WARMUP_S, max(duration_s, WARMUP_S))
        fault_type = series_rng.choice(_series_types())
        schedule.append(
            _schedule_one(series_rng, start_s, fault_type, instance_count)
        )
    # Drills have one too, for the same reason.
    drill_rng = random.Random(f"{seed}/drill")
    if drill_rng.random() < _DRILL_RATIO:
        for fault_type in ("store-drill", "departure-drill"):
            start_s = drill_rng.uniform(WARMUP_S, max(duration_s, WARMUP_S))
            schedule.append(
                _schedule_one(drill_rng, start_s, fault_type, instance_count)
            )
    return sorted(schedule)


def _make_planned_schedule(
    seed: int, duration_s: float, instance_count: int
) -> list[ScheduledFault]:
    """Returns a schedule of planned operations that overlap."""
    rng = random.Random(f"{seed}/planned")
    # More rolling restarts would leave no node that serves.
    planned_types = sorted(
        name
        for name, each in FAULT_TYPES.items()
        if each.planned and name != "term-rolling"
    )
    schedule: list[ScheduledFault] = []
    # A rolling restart, during which the configuration changes.
    for fault_type in ("term-rolling", "configure-storm"):
        start_s = WARMUP_S + rng.uniform(0.0, 2.0)
        schedule.append(_schedule_one(rng, start_s, fault_type, instance_count))
    start_s = WARMUP_S
    while start_s < duration_s:
        schedule.append(
            _schedule_one(
                rng, start_s, rng.choice(planned_types), instance_count
            )
        )
        start_s += rng.expovariate(1.0 / _PLANNED_MEAN_INTERVAL_S)
    return sorted(schedule)


def _series_types() -> list[str]:
    return sorted(name for name, each in FAULT_TYPES.items() if each.series)


def _schedule_one(
    rng: random.Random, start_s: float, fault_type: str, instance_count: int
) -> ScheduledFault:
    duration_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
    return ScheduledFault(
        round(start_s, 2),
        fault_type,
        rng.randrange(instance_count),
        round(duration_s, 2),
    )


def inject_all(
    testbed: _testbed.Testbed,
    schedule: list[ScheduledFault],
    started_at: float,
    run_log: RunLog,
) -> None:
    """Injects all scheduled faults and waits until the last one has ended."""
    tasks = [
        gevent.spawn(_inject, testbed, scheduled, started_at, run_log)
        for scheduled in schedule
    ]
    gevent.joinall(tasks, raise_error=True)


def _inject(
    testbed: _testbed.Testbed,
    scheduled: ScheduledFault,
    started_at: float,
    run_log: RunLog,
) -> None:
    gevent.sleep(max(started_at + scheduled.start_s - time.monotonic(), 0.0))
    fault_type = FAULT_TYPES[scheduled.fault_type]
    instance = testbed.instances[scheduled.instance_index]
    injected_at = time.monotonic()
    fault_type.inject(
        FaultContext(
            testbed,
            instance,
            scheduled.duration_s,
            run_log,
            random.Random(str(scheduled)),
        )
    )
    affected = ALL_INSTANCES if fault_type.affects_all else instance.name
    run_log.intervals.append(
        FaultInterval(
            scheduled.fault_type,
            affected,
            injected_at,
            time.monotonic(),
            fault_type.planned,
        )
    )
