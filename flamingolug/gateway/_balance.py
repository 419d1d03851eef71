"""Chooses the upstream that serves a call well at the least expense.

Pattern: locality-aware least expected latency. An upstream that is expected
to answer well within the latency target is as good as any faster one, so the
own availability zone is used until its upstreams are full or too slow.
"""

import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug.gateway import _model

#: Part of the latency target that an expected latency may use freely: times
#: of single calls spread to about twice the mean.
FREE_SHARE_OF_TARGET = 0.5
#: What an upstream in another availability zone costs, in latency targets:
#: bytes between zones are dear.
ZONE_COST = 0.2
#: One way between availability zones, seconds.
ZONE_DELAY_S = 0.005
#: Cost of a certainly failing upstream; smaller by the square of its share.
FAILING_COST = 4.0
#: Cost at full load, which spreads calls while there are free slots.
FILL_COST = 0.1
#: Load over the limit from which an upstream costs more; a fifth further on
#: calls spill over to other zones, before waits begin.
FULL_SHARE = 0.75
#: Cost of a full upstream for each multiple of its limit beyond that share.
OVERFULL_COST = 1.5
#: Age in seconds at which a load report says nothing any more.
REPORT_AGE_S = 2.0
#: Random part of a cost, so that equal upstreams share work.
JITTER = 0.02


class Candidate(NamedTuple):
    """One upstream as this node sees it."""

    upstream: _model.Upstream
    own_zone: bool
    #: Calls from this node that have no result yet.
    outstanding: int
    load: _model.LoadReport | None
    #: Age of `load`, seconds.
    age_s: float
    #: Calls from this node that were sent after `load` was told.
    sent_since: int
    #: Whether it refused or was lost a moment ago.
    ejected: bool


class Work(NamedTuple):
    """What is known of the call to be placed."""

    rank: int
    #: Time within which it must be answered to be of use.
    target_s: float
    #: Time that calls of its kind usually take, seconds.
    typical_latency_s: float


def describe_work(route: _model.Route, typical_latency_s: float) -> Work:
    """Returns the work of a call on a route.

    A time-out that is shorter than the latency target binds: behind it there
    is no answer at all.
    """
    return Work(
        route.rank,
        min(route.target_latency_s, route.timeout_s),
        typical_latency_s,
    )


def cost_of(candidate: Candidate, work: Work, mean_s: float) -> float:
    """Returns the cost of an upstream, in latency targets.

    Args:
        candidate: the upstream.
        work: the call.
        mean_s: mean hold time of the service.
    """
    load = candidate.load
    cost = 0.0 if candidate.own_zone else ZONE_COST
    delay_s = 0.0 if candidate.own_zone else 2 * ZONE_DELAY_S
    limit = max(candidate.upstream.slots, 1)
    busy = float(candidate.outstanding)
    # An upstream that nothing is known of is tried as if it were usual.
    slowness = 1.0
    if load is not None:
        limit = max(load.limit, 1)
        trust = max(1.0 - candidate.age_s / REPORT_AGE_S, 0.0)
        ahead = sum(load.waiting[: work.rank + 1])
        told = (load.running + ahead) * trust + candidate.sent_since
        busy = max(told, busy)
        slowness = load.hold_s / mean_s
        cost += FAILING_COST * load.failing**2
    wait_s = max(busy + 1.0 - limit, 0.0) * slowness * mean_s / limit
    latency_s = work.typical_latency_s * slowness + wait_s + delay_s
    used = latency_s / max(work.target_s, 0.001)
    cost += max(used - FREE_SHARE_OF_TARGET, 0.0)
    cost += FILL_COST * min(busy / limit, 1.0) * min(slowness, 2.0)
    return cost + OVERFULL_COST * max(busy / limit - FULL_SHARE, 0.0)


class Choice(NamedTuple):
    """The best of some upstreams."""

    upstream: _model.Upstream
    #: In latency targets.
    cost: float
    ejected: bool


def find_best(
    candidates: Sequence[Candidate],
    work: Work,
    mean_s: float,
    rng: random.Random,
) -> Choice | None:
    """Returns the best of some upstreams, None without one.

    One that refused or was lost a moment ago is taken if there is no other.
    """
    best: Choice | None = None
    for candidate in candidates:
        ejected = candidate.ejected
        if best is not None and ejected and not best.ejected:
            continue
        cost = cost_of(candidate, work, mean_s) + JITTER * rng.random()
        better = best is None or cost < best.cost
        if better or (best is not None and best.ejected > ejected):
            best = Choice(candidate.upstream, cost, ejected)
    return best


def choose(
    near: Sequence[Candidate],
    far: Callable[[], Sequence[Candidate]],
    work: Work,
    mean_s: float,
    rng: random.Random,
) -> _model.Upstream | None:
    """Returns the upstream for the next attempt, None when none is left.

    Args:
        near: upstreams of the own zone that take work and that the request
            has not been offered to.
        far: returns such upstreams of other zones; asked only when the own
            zone has none that is cheaper than any of theirs can be.
        work: the call.
        mean_s: mean hold time of the service.
        rng: source of the random part.
    """
    best = find_best(near, work, mean_s, rng)
    if best is not None and not best.ejected and best.cost < ZONE_COST:
        return best.upstream
    other = find_best(far(), work, mean_s, rng)
    if best is None or other is None:
        either = best or other
        return either.upstream if either else None
    if best.ejected != other.ejected:
        return other.upstream if best.ejected else best.upstream
    return best.upstream if best.cost <= other.cost else other.upstream
