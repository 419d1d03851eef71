"""Chooses the upstream of a call."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug.telemetry import _names

#: Load, relative to the limit, from which an upstream counts as busy.
BUSY_LOAD = 1.0
#: Difference in load above which calls leave a busy upstream for another zone.
SPILL_MARGIN = 0.25
#: Ejections are ignored if more than 1 minus this fraction of a service's
#: upstreams are both ejected and still untried by the call. Upstreams that are
#: leaving do not count. Ejections are also ignored if all untried upstreams are
#: ejected.
MIN_HEALTHY_FRACTION = 0.5


class Candidate(NamedTuple):
    """State of one upstream as seen by the caller's node."""

    name: str
    own_zone: bool
    #: Calls in flight and queued, relative to the concurrency limit.
    load: float
    #: Highest shedding level that the upstream admits.
    cutoff: int
    #: Whether the upstream recently failed or stopped responding.
    ejected: bool
    leaving: bool


class Choice(NamedTuple):
    """The chosen upstream, or the reason why there is none."""

    name: str | None
    refusal: _names.Refusal | None


def choose_upstream(
    candidates: Sequence[Candidate],
    level: int,
    tried: frozenset[str],
    rng: random.Random,
) -> Choice:
    """Returns the upstream for a call of `level`.

    Of the upstreams in the caller's own zone, and likewise of those in all
    other zones together, only the less loaded of two random ones is considered.
    The one in the own zone is preferred. The other one is chosen when no
    upstream of the own zone admits the call, or when the one in the own zone
    is busy and the other one is less loaded by more than `SPILL_MARGIN`.

    Args:
        candidates: all known upstreams of the service.
        level: shedding level of the call; lower is more important.
        tried: names of upstreams that this call has been sent to.
        rng: source of the random choices.
    """
    not_leaving = [each for each in candidates if not each.leaving]
    untried = [each for each in not_leaving if each.name not in tried]
    if not untried:
        return Choice(None, _names.Refusal.NO_UPSTREAM)
    healthy = _without_ejected(untried, len(not_leaving))
    admitting = [each for each in healthy if level <= each.cutoff]
    if not admitting:
        return Choice(None, _names.Refusal.LEVEL)
    same_zone = [each for each in admitting if each.own_zone]
    other_zones = [each for each in admitting if not each.own_zone]
    if not same_zone:
        return Choice(_less_loaded(other_zones, rng).name, None)
    best = _less_loaded(same_zone, rng)
    if best.load < BUSY_LOAD or not other_zones:
        return Choice(best.name, None)
    spill = _less_loaded(other_zones, rng)
    if spill.load + SPILL_MARGIN < best.load:
        return Choice(spill.name, None)
    return Choice(best.name, None)


def _without_ejected(
    untried: Sequence[Candidate], total: int
) -> Sequence[Candidate]:
    """Returns the candidates that are not ejected.

    Returns all of them if ejections are ignored, see `MIN_HEALTHY_FRACTION`.

    Args:
        untried: candidates that the call has not been sent to.
        total: number of all upstreams of the service that are not leaving.
    """
    healthy = [each for each in untried if not each.ejected]
    ejected = len(untried) - len(healthy)
    if not healthy or ejected > total * (1.0 - MIN_HEALTHY_FRACTION):
        return untried
    return healthy


def _less_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Returns the less loaded of two random candidates."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(range(len(candidates)), 2)
    if candidates[second].load < candidates[first].load:
        return candidates[second]
    return candidates[first]
