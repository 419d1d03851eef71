"""The schedule of a soak and how each disruption is carried out."""

import random
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import http1
from flamingolug_bench.soak import _place
from flamingolug_standins import relay_program

#: Seconds of calm before the first disruption, when all nodes serve.
WARM_S = 1.5
#: Seconds between two disruptions, on average; several overlap.
_GAP_S = 0.7
#: Length of a disruption, seconds.
_SHORTEST_S, _LONGEST_S = 0.5, 3.0
#: Seconds that a supervisor waits before it starts an ended node again.
RESTART_AFTER_S = 0.3
#: Wall clocks of instances are off by up to this, milliseconds.
_CLOCK_OFF_MS = 120_000
#: Stands for every instance.
EVERYWHERE = "*"


class Step(NamedTuple):
    """One disruption of the schedule."""

    at_s: float
    kind: str
    #: Index of the instance where it strikes, if it strikes one.
    target: int
    for_s: float


class Interval(NamedTuple):
    """A disruption as it was carried out."""

    kind: str
    #: Name of an instance, or `EVERYWHERE`.
    where: str
    began: float
    ended: float
    planned: bool


class Leave(NamedTuple):
    """An upstream whose leave a node has acknowledged."""

    upstream_id: str
    at: float


class Stop(NamedTuple):
    """A node that was told to end."""

    instance: str
    start: int
    began: float
    ended: float
    #: Exit code, None where it had to be killed.
    code: int | None


class Tally:
    """What was done in a run."""

    def __init__(self) -> None:
        """Starts empty."""
        self.intervals: list[Interval] = []
        self.leaves: list[Leave] = []
        self.stops: list[Stop] = []
        #: When each version was accepted.
        self.accepted: dict[int, float] = {}


class Scene(NamedTuple):
    """Where and for how long a disruption strikes."""

    place: _place.Place
    instance: _place.Instance
    for_s: float
    tally: Tally


_Action = Callable[[Scene], None]


def _on_relay(relay: str, fault: relay_program.Fault) -> _Action:
    def act(scene: Scene) -> None:
        scene.instance.set_fault(relay, fault)
        gevent.sleep(scene.for_s)
        scene.instance.set_fault(relay, relay_program.Fault())

    return act


def _on_store(name: str, value: float) -> _Action:
    def act(scene: Scene) -> None:
        before = getattr(scene.place.store, name)
        setattr(scene.place.store, name, value)
        gevent.sleep(scene.for_s)
        setattr(scene.place.store, name, type(before)(0))

    return act


def _on_upstream(name: str, value: object, usual: object) -> _Action:
    def act(scene: Scene) -> None:
        upstream = scene.instance.upstream
        setattr(upstream, name, value)
        gevent.sleep(scene.for_s)
        setattr(upstream, name, usual)

    return act


def _lose_answer(req: http1.Request, data: bytes) -> bytes:
    del req, data
    raise OSError("answer lost")


def _add_answer(req: http1.Request, data: bytes) -> bytes:
    del req
    return data + data.replace(b"body of", b"more of")


def _cut_answer(req: http1.Request, data: bytes) -> bytes:
    del req
    return data[:-3]


def _kill(scene: Scene) -> None:
    scene.instance.signal_node(signal.SIGKILL)
    gevent.sleep(RESTART_AFTER_S)


def _kill_many(scene: Scene) -> None:
    for each in scene.place.instances[::2]:
        each.signal_node(signal.SIGKILL)
    gevent.sleep(RESTART_AFTER_S)


def _pause(scene: Scene) -> None:
    scene.instance.signal_node(signal.SIGSTOP)
    gevent.sleep(scene.for_s)
    scene.instance.signal_node(signal.SIGCONT)


def _term(scene: Scene) -> None:
    if scene.instance.ending or scene.instance.has_ended():
        return
    began, start = time.monotonic(), scene.instance.starts
    process = scene.instance.process
    assert process is not None
    scene.instance.signal_node(signal.SIGTERM)
    while process.poll() is None:
        if time.monotonic() - began > _place.GRACE_S:
            scene.instance.signal_node(signal.SIGKILL)
            break
        gevent.sleep(0.05)
    scene.tally.stops.append(
        Stop(
            scene.instance.name, start, began, time.monotonic(), process.poll()
        )
    )


def _hang_up(scene: Scene) -> None:
    scene.instance.signal_node(signal.SIGHUP)


def _configure(scene: Scene) -> None:
    scene.place.accept_configuration()
    scene.tally.accepted[scene.place.version] = time.monotonic()


def _forget(scene: Scene) -> None:
    scene.place.store.forget_history()


def _lapse(scene: Scene) -> None:
    """Ends all leases while the store is away."""
    scene.place.store.down = True
    scene.place.store.drop_leases()
    gevent.sleep(scene.for_s)
    scene.place.store.down = False


def _replace_upstream(instance: _place.Instance) -> None:
    instance.upstream.stop()
    instance.upstream = instance.new_upstream()
    skew = random.Random(instance.upstream.id).randint(
        -_CLOCK_OFF_MS, _CLOCK_OFF_MS
    )
    instance.upstream.start_time_ms += skew


def _crash_upstream(scene: Scene) -> None:
    scene.instance.upstream.stop()
    gevent.sleep(scene.for_s)
    _replace_upstream(scene.instance)


def _retire(first: str) -> _Action:
    """Returns how an upstream leaves that says `first` before it goes."""

    def act(scene: Scene) -> None:
        upstream = scene.instance.upstream
        if first == "draining":
            status = upstream.report("draining")
        else:
            status = upstream.leave()
        if status == 200:
            scene.tally.leaves.append(Leave(upstream.id, time.monotonic()))
        gevent.sleep(_place.DRAIN_S + 0.5)
        if first == "draining":
            upstream.leave()
        if upstream is scene.instance.upstream:
            _replace_upstream(scene.instance)

    return act


class Kind(NamedTuple):
    """One kind of disruption."""

    act: _Action
    planned: bool = False
    #: Whether it concerns all instances.
    everywhere: bool = False


_FAULT = relay_program.Fault
#: Seconds that a request takes at a slow upstream.
_SLOW_S = 0.4
KINDS: dict[str, Kind] = {
    "node-kill": Kind(_kill),
    "node-kill-many": Kind(_kill_many, everywhere=True),
    "node-pause": Kind(_pause),
    "node-term": Kind(_term, planned=True),
    "node-hup": Kind(_hang_up, planned=True),
    "configure": Kind(_configure, planned=True),
    "store-down": Kind(_on_store("down", True), everywhere=True),
    "store-silent": Kind(_on_store("silent", True), everywhere=True),
    "store-loses": Kind(_on_store("lose_answers", True), everywhere=True),
    "store-slow": Kind(_on_store("delay_s", 0.3), everywhere=True),
    "store-forgets": Kind(_forget, everywhere=True),
    "store-lapses": Kind(_lapse, everywhere=True),
    "store-cut": Kind(_on_relay("store", _FAULT(cut=True))),
    "store-one-way": Kind(_on_relay("store", _FAULT(cut_back=True))),
    "link-cut": Kind(_on_relay("link", _FAULT(cut=True)), everywhere=True),
    "link-one-way": Kind(
        _on_relay("link", _FAULT(cut_back=True)), everywhere=True
    ),
    "link-silent": Kind(
        _on_relay("link", _FAULT(silence_open=True)), everywhere=True
    ),
    "link-reset": Kind(
        _on_relay("link", _FAULT(reset_open=True)), everywhere=True
    ),
    "link-slow": Kind(
        _on_relay("link", _FAULT(delay_s=0.03, jitter_s=0.05)),
        everywhere=True,
    ),
    "callers-reset": Kind(_on_relay("callers", _FAULT(reset_open=True))),
    "callers-stall": Kind(
        _on_relay("callers", _FAULT(stall_chance=0.1, stall_s=0.2))
    ),
    "app-silent": Kind(
        _on_relay("app", _FAULT(silence_open=True)), everywhere=True
    ),
    "app-reset": Kind(
        _on_relay("app", _FAULT(reset_open=True)), everywhere=True
    ),
    "upstream-crash": Kind(_crash_upstream, everywhere=True),
    "upstream-drain": Kind(_retire("draining"), planned=True),
    "upstream-leave": Kind(_retire("leave"), planned=True),
    "upstream-slow": Kind(
        _on_upstream("service_s", _SLOW_S, _place.SERVICE_S), everywhere=True
    ),
    "upstream-refuses": Kind(
        _on_upstream("refuse", True, False), everywhere=True
    ),
    "upstream-fails": Kind(_on_upstream("fail", True, False), everywhere=True),
    "answers-lost": Kind(
        _on_upstream("answer", _lose_answer, None), everywhere=True
    ),
    "answers-extra": Kind(
        _on_upstream("answer", _add_answer, None), everywhere=True
    ),
    "answers-short": Kind(
        _on_upstream("answer", _cut_answer, None), everywhere=True
    ),
}


def plan(seed: int, duration_s: float, count: int) -> list[Step]:
    """Returns the schedule of a seed."""
    rng = random.Random(seed)
    steps: list[Step] = []
    at_s = WARM_S
    while at_s < duration_s:
        kind = rng.choice(sorted(KINDS))
        for_s = rng.uniform(_SHORTEST_S, _LONGEST_S)
        index = rng.randrange(count)
        steps.append(Step(round(at_s, 2), kind, index, round(for_s, 2)))
        if rng.random() < 0.2:
            # The same again while the first one lasts.
            again_s = at_s + for_s / 2.0
            steps.append(Step(round(again_s, 2), kind, index, round(for_s, 2)))
        at_s += rng.expovariate(1.0 / _GAP_S)
    return sorted(steps)


def carry_out(
    place: _place.Place, steps: list[Step], began: float, tally: Tally
) -> None:
    """Carries the schedule out and waits for the end of its last step."""
    tasks = [gevent.spawn(_carry, place, step, began, tally) for step in steps]
    gevent.joinall(tasks, raise_error=True)


def _carry(place: _place.Place, step: Step, began: float, tally: Tally) -> None:
    gevent.sleep(max(began + step.at_s - time.monotonic(), 0.0))
    kind = KINDS[step.kind]
    instance = place.instances[step.target]
    since = time.monotonic()
    kind.act(Scene(place, instance, step.for_s, tally))
    where = EVERYWHERE if kind.everywhere else instance.name
    tally.intervals.append(
        Interval(step.kind, where, since, time.monotonic(), kind.planned)
    )
