"""Chooses the upstream at which a call is expected to finish first.

Pattern: least expected latency, with a preference for the own availability
zone that gives way once its upstreams are full.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug.gateway import _model

#: Seconds that a call to another availability zone must save: its round trip
#: and the dearer bytes.
ZONE_COST_S = 0.06
#: Seconds added for a certainly failing upstream; scaled by its share.
FAILING_COST_S = 1.0
#: Part of the hold time added at full load, which spreads calls while there
#: are free slots.
FILL_SHARE = 0.3
#: Age in seconds at which a load report says nothing any more.
REPORT_AGE_S = 2.0
#: Hold time assumed of an upstream that nothing is known of, seconds.
UNKNOWN_HOLD_S = 0.1
#: Random part of a cost, so that equal upstreams share work.
JITTER = 0.05


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
    suspended: bool


def cost_s(candidate: Candidate, rank: int) -> float:
    """Returns the expected time to an answer, seconds, with penalties."""
    load = candidate.load
    cost = 0.0 if candidate.own_zone else ZONE_COST_S
    if load is None:
        limit = max(candidate.upstream.slots, 1)
        return cost + UNKNOWN_HOLD_S * (
            1.0 + FILL_SHARE * candidate.outstanding / limit
        )
    limit = max(load.limit, 1)
    trust = max(1.0 - candidate.age_s / REPORT_AGE_S, 0.0)
    ahead = sum(load.waiting[: rank + 1]) if load.waiting else 0
    busy = max(
        (load.running + ahead) * trust + candidate.sent_since,
        float(candidate.outstanding),
    )
    hold_s = max(load.hold_s, 0.001)
    wait_s = max(busy + 1.0 - limit, 0.0) * hold_s / limit
    fill_s = FILL_SHARE * hold_s * min(busy / limit, 1.0)
    return cost + hold_s + wait_s + fill_s + FAILING_COST_S * load.failing**2


def choose(
    candidates: Sequence[Candidate],
    rank: int,
    tried: frozenset[str],
    rng: random.Random,
) -> _model.Upstream | None:
    """Returns the upstream for the next attempt, None when none is left.

    Args:
        candidates: upstreams of the service that take work.
        rank: urgency of the call.
        tried: identities that this request has been offered to.
        rng: source of the random part.
    """
    best: _model.Upstream | None = None
    best_cost = 0.0
    for allow_suspended in (False, True):
        for candidate in candidates:
            if candidate.upstream.id in tried:
                continue
            if candidate.suspended and not allow_suspended:
                continue
            cost = cost_s(candidate, rank) * (1.0 + JITTER * rng.random())
            if best is None or cost < best_cost:
                best = candidate.upstream
                best_cost = cost
        if best is not None:
            return best
    return None
