"""Chooses the upstream with the lowest expected cost for a call.

Pattern: locality-aware least expected latency. An upstream that is expected
to answer well within the latency target is as good as any faster one, so the
node's own availability zone is used until its upstreams are full or too slow.
"""

import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug.gateway import _model

# All costs are in latency targets.

#: Fraction of the latency target that an expected latency may use without
#: cost: the latencies of single calls spread up to about twice the mean.
FREE_LATENCY_FRACTION = 0.5
#: Cost of an upstream in another availability zone: traffic between zones is
#: expensive.
ZONE_COST = 0.2
#: One-way network delay between availability zones, seconds.
ZONE_DELAY_S = 0.005
#: Cost of an upstream whose calls all fail; falls with the square of the
#: failure ratio.
FAILURE_COST = 4.0
#: Cost at full load of an upstream of mean speed, and up to twice that for a
#: slower one; it spreads calls while there are free slots.
LOAD_COST = 0.1
#: Ratio of in-flight calls to the limit from which an upstream costs more. With
#: equal hold times, calls spill over to other zones, before any wait, at a
#: ratio of about 0.83 if those are idle and 0.87 if their ratio is 0.7.
SPILLOVER_LOAD = 0.75
#: Cost for each unit of that ratio above `SPILLOVER_LOAD`.
OVERLOAD_COST = 1.5
#: Age at which the running and waiting calls of a load report no longer count,
#: seconds; their weight falls linearly until then.
MAX_REPORT_AGE_S = 2.0
#: Upper bound of the random part of a cost, which spreads calls over equal
#: upstreams.
COST_JITTER = 0.02


class Candidate(NamedTuple):
    """An upstream with the load that this node observes."""

    upstream: _model.Upstream
    own_zone: bool
    #: Calls from this node that have no outcome yet.
    outstanding: int
    load: _model.LoadReport | None
    #: Age of `load`, seconds.
    age_s: float
    #: Calls that this node has sent since `load` was reported.
    sent_since_report: int
    #: Ratio of running and waiting calls to the limit to expect without a
    #: recent report: the mean of the upstreams of its service and zone.
    expected_load: float
    #: Whether the upstream recently refused or lost a call or was
    #: unreachable, and its ejection has not ended.
    ejected: bool


class CallProfile(NamedTuple):
    """Properties of a call that affect the choice of its upstream."""

    rank: int
    #: Time within which it should be answered, seconds.
    target_s: float
    #: Smoothed latency of calls on its route, seconds.
    typical_latency_s: float


def make_profile(route: _model.Route, typical_latency_s: float) -> CallProfile:
    """Returns the profile of a call on a route.

    A time-out that is shorter than the latency target replaces it, since there
    is no answer after the time-out.
    """
    return CallProfile(
        route.rank,
        min(route.target_latency_s, route.timeout_s),
        typical_latency_s,
    )


def cost_of(
    candidate: Candidate, profile: CallProfile, mean_hold_s: float
) -> float:
    """Returns the cost of an upstream, in latency targets.

    Args:
        candidate: the upstream.
        profile: the call.
        mean_hold_s: mean hold time of the service.
    """
    load = candidate.load
    cost = 0.0 if candidate.own_zone else ZONE_COST
    delay_s = 0.0 if candidate.own_zone else 2 * ZONE_DELAY_S
    limit = max(candidate.upstream.slots, 1)
    in_flight = max(
        float(candidate.outstanding), candidate.expected_load * limit
    )
    # An upstream without a load report is assumed to have the mean speed.
    slowness = 1.0
    if load is not None:
        limit = max(load.limit, 1)
        report_weight = max(1.0 - candidate.age_s / MAX_REPORT_AGE_S, 0.0)
        ahead = sum(load.waiting[: profile.rank + 1])
        expected = candidate.expected_load * limit
        reported = (
            expected
            + (load.running + ahead - expected) * report_weight
            + candidate.sent_since_report
        )
        in_flight = max(reported, float(candidate.outstanding))
        slowness = load.hold_s / mean_hold_s
        cost += FAILURE_COST * load.failure_ratio**2
    wait_s = max(in_flight + 1.0 - limit, 0.0) * slowness * mean_hold_s / limit
    latency_s = profile.typical_latency_s * slowness + wait_s + delay_s
    relative_latency = latency_s / max(profile.target_s, 0.001)
    cost += max(relative_latency - FREE_LATENCY_FRACTION, 0.0)
    cost += LOAD_COST * min(in_flight / limit, 1.0) * min(slowness, 2.0)
    return cost + OVERLOAD_COST * max(in_flight / limit - SPILLOVER_LOAD, 0.0)


class Choice(NamedTuple):
    """The candidate with the lowest cost."""

    upstream: _model.Upstream
    #: Cost in latency targets.
    cost: float
    ejected: bool


def find_best(
    candidates: Sequence[Candidate],
    profile: CallProfile,
    mean_hold_s: float,
    rng: random.Random,
) -> Choice | None:
    """Returns the candidate with the lowest cost, None without candidates.

    An ejected one is chosen only if all are ejected.
    """
    best: Choice | None = None
    for candidate in candidates:
        ejected = candidate.ejected
        if best is not None and ejected and not best.ejected:
            continue
        cost = (
            cost_of(candidate, profile, mean_hold_s)
            + COST_JITTER * rng.random()
        )
        better = best is None or cost < best.cost
        if better or (best is not None and best.ejected > ejected):
            best = Choice(candidate.upstream, cost, ejected)
    return best


def choose(
    own_zone: Sequence[Candidate],
    other_zones: Callable[[], Sequence[Candidate]],
    profile: CallProfile,
    mean_hold_s: float,
    rng: random.Random,
) -> _model.Upstream | None:
    """Returns the upstream for the next offer, None when none is left.

    Args:
        own_zone: upstreams of the node's own zone that accept calls and to
            which the request has not been offered.
        other_zones: returns such upstreams of other zones; called only when
            the own zone has none that is cheaper than any of them can be.
        profile: the call.
        mean_hold_s: mean hold time of the service.
        rng: source of the random part of costs.
    """
    best = find_best(own_zone, profile, mean_hold_s, rng)
    if best is not None and not best.ejected and best.cost < ZONE_COST:
        return best.upstream
    other = find_best(other_zones(), profile, mean_hold_s, rng)
    if best is None or other is None:
        only = best or other
        return only.upstream if only else None
    if best.ejected != other.ejected:
        return other.upstream if best.ejected else best.upstream
    return best.upstream if best.cost <= other.cost else other.upstream
