"""The rule for the right to run, as functions over plain values.

A member may run a key that it owns while it holds the right of its view: votes
of a majority of the view's members, each asked for less than
`OWNERSHIP_LEASE_S` ago by the member's own clock. A voter votes only in the
latest view that it has adopted, and after adopting a new one it waits
`VOTE_HOLD_S` since its last vote in an earlier one, unless every member of the
earlier view has adopted the new one. Majorities of neighbouring views meet in
some voter, so when a view has the votes of a majority, every right under the
view before it has run out.

A view may follow only one that once had a majority. Keys belong to runs of
nodes, votes to nodes: a node that starts again owns nothing of what its last
run owned, but votes in its place. It has forgotten its votes, so it holds them
back for `VOTE_HOLD_S` too.
"""

from collections.abc import Mapping
from typing import NamedTuple

from flamingolug.ownership import _view

#: Seconds that a right lasts, from when the votes were asked for.
OWNERSHIP_LEASE_S = 3.0
#: Seconds that a voter waits between votes of two views; the excess covers
#: clocks that run at different speeds.
VOTE_HOLD_S = 3.3


class Voter(NamedTuple):
    """What one node must remember to vote."""

    #: Latest view adopted, and the one adopted before it.
    view: _view.View
    previous: _view.View
    #: When it last voted in `view`, monotonic seconds; None for never.
    voted_at: float | None
    #: Before this it does not vote in `view`.
    vote_hold_until: float
    #: Highest epoch that each other member is known to have adopted.
    adopted: Mapping[str, int]


def new_voter(now: float) -> Voter:
    """Returns the state of a node that has just started."""
    return Voter(_view.NO_VIEW, _view.NO_VIEW, None, now + VOTE_HOLD_S, {})


def adopt(voter: Voter, view: _view.View, own_name: str) -> Voter:
    """Takes over a later view; an earlier or equal one changes nothing."""
    if view.epoch <= voter.view.epoch:
        return voter
    vote_hold_until = voter.vote_hold_until
    if voter.voted_at is not None:
        vote_hold_until = max(vote_hold_until, voter.voted_at + VOTE_HOLD_S)
    adopted = {**voter.adopted, own_name: view.epoch}
    changed = Voter(view, voter.view, None, vote_hold_until, adopted)
    return _release(changed, 0.0)


def record_adoption(voter: Voter, name: str, epoch: int, now: float) -> Voter:
    """Takes note that a member has adopted an epoch."""
    if voter.adopted.get(name, 0) >= epoch:
        return voter
    changed = voter._replace(adopted={**voter.adopted, name: epoch})
    return _release(changed, now)


def vote(voter: Voter, epoch: int, now: float) -> tuple[Voter, bool]:
    """Returns whether to vote for a member's right in `epoch`."""
    if epoch != voter.view.epoch or now < voter.vote_hold_until:
        return voter, False
    if any(known > epoch for known in voter.adopted.values()):
        # A later view exists; a vote here could outlast its release.
        return voter, False
    return voter._replace(voted_at=now), True


def lease_expires_at(view: _view.View, asked_at: Mapping[str, float]) -> float:
    """Returns when the right of a view runs out.

    Args:
        view: the view.
        asked_at: when each vote that was given had been asked for, by name.

    Returns:
        Monotonic seconds; minus infinity without a majority.
    """
    times = sorted(
        (
            asked_at[name]
            for name in map(_view.name_of, view.members)
            if name in asked_at
        ),
        reverse=True,
    )
    majority = len(view.members) // 2 + 1
    if len(times) < majority or not view.members:
        return float("-inf")
    return times[majority - 1] + OWNERSHIP_LEASE_S


def may_run(
    own_id: str,
    key: str,
    now: float,
    current: tuple[_view.View, float],
    previous: tuple[_view.View, float],
) -> bool:
    """Returns whether a node may run a key now.

    A key that it owns under both views may run under the right of either, so
    that a change of members does not interrupt the keys that stay.

    Args:
        own_id: the run of the node.
        key: the idempotency key.
        now: monotonic seconds of this node.
        current: the adopted view and when its right runs out.
        previous: the same of the view before it.
    """
    view, until = current
    if _view.owner_in(view, key) != own_id:
        return False
    if now < until:
        return True
    old_view, old_until = previous
    return (
        old_view.epoch == view.epoch - 1
        and _view.owner_in(old_view, key) == own_id
        and now < old_until
    )


def _release(voter: Voter, now: float) -> Voter:
    """Ends the hold when nobody can act under the previous view.

    It applies to holds between two views only: a node that starts does not
    know in which view it last voted.
    """
    previous = voter.previous
    if previous.epoch != voter.view.epoch - 1 or previous.epoch == 0:
        return voter
    for name in map(_view.name_of, previous.members):
        if voter.adopted.get(name, 0) < voter.view.epoch:
            return voter
    return voter._replace(vote_hold_until=min(voter.vote_hold_until, now))
