"""Chooses the upstream for a call."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug.telemetry import _names

#: Load over its limit at which an upstream counts as busy.
BUSY_LOAD = 1.0
#: How much less loaded another zone must be before work spills over.
SPILL_MARGIN = 0.25
#: Part of a service's upstreams that is never ejected.
EJECTION_FLOOR = 0.5


class Candidate(NamedTuple):
    """One upstream as the caller's node sees it."""

    name: str
    own_zone: bool
    #: Calls in flight and waiting, over the concurrency limit.
    load: float
    #: Highest level that it admits.
    cutoff: int
    #: Whether it failed or fell silent lately.
    ejected: bool
    leaving: bool


class Choice(NamedTuple):
    """The chosen upstream, or why there is none."""

    name: str | None
    refusal: _names.Refusal | None


def choose_upstream(
    candidates: Sequence[Candidate],
    level: int,
    tried: frozenset[str],
    rng: random.Random,
) -> Choice:
    """Returns the upstream for a call of `level`.

    Own zone first; two random choices, the less loaded wins; another zone
    when the own zone's choice is busy and the other's is clearly less so.

    Args:
        candidates: all known upstreams of the service.
        level: the call's shedding level, lower is more important.
        tried: upstreams that this call has been sent to already.
        rng: source of the random choices.
    """
    staying = [each for each in candidates if not each.leaving]
    untried = [each for each in staying if each.name not in tried]
    if not untried:
        return Choice(None, _names.Refusal.NO_UPSTREAM)
    healthy = _without_ejected(untried, len(staying))
    admitting = [each for each in healthy if level <= each.cutoff]
    if not admitting:
        return Choice(None, _names.Refusal.LEVEL)
    own = [each for each in admitting if each.own_zone]
    other = [each for each in admitting if not each.own_zone]
    if not own:
        return Choice(_less_loaded(other, rng).name, None)
    best = _less_loaded(own, rng)
    if best.load < BUSY_LOAD or not other:
        return Choice(best.name, None)
    spill = _less_loaded(other, rng)
    if spill.load + SPILL_MARGIN < best.load:
        return Choice(spill.name, None)
    return Choice(best.name, None)


def _without_ejected(
    untried: Sequence[Candidate], total: int
) -> Sequence[Candidate]:
    """Returns the healthy upstreams, all of them below the floor."""
    healthy = [each for each in untried if not each.ejected]
    ejected = len(untried) - len(healthy)
    if not healthy or ejected > total * (1.0 - EJECTION_FLOOR):
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
