"""Ownership leases and votes, as pure functions over immutable values.

A node may run the keys that it owns in a view while it holds the ownership
lease of that view: votes from a majority of the view's members, each requested
less than `OWNERSHIP_LEASE_S` ago by the node's own clock. A voter votes only in
the latest view that it has adopted. After adopting a view it does not vote
until `VOTE_HOLD_S` after its last vote in an earlier view, unless every member
of the previous view has adopted the new one. Majorities of consecutive views
share at least one voter, so once a view has received votes from a majority,
every lease of the previous view has expired or is used only for keys that keep
their owner.

A view may be replaced only if it has received votes from a majority. Keys
belong to incarnations of nodes, whereas votes belong to nodes: a restarted node
owns none of the keys of its previous incarnation, but votes in its place. It
has no record of earlier votes, so it does not vote until `VOTE_HOLD_S` after
its start.
"""

from collections.abc import Mapping
from typing import NamedTuple

from flamingolug.ownership import _view

#: Seconds that an ownership lease lasts, from when its votes were requested.
OWNERSHIP_LEASE_S = 3.0
#: Minimum seconds between a voter's votes in two views, unless all members of
#: the previous view have adopted the new one. The excess over the lease allows
#: for clocks that run at different speeds.
VOTE_HOLD_S = 3.3


class Voter(NamedTuple):
    """State of one node as a voter."""

    #: Latest adopted view.
    view: _view.View
    #: View adopted before `view`.
    previous_view: _view.View
    #: Monotonic seconds of the last vote in `view`; None if there was none.
    voted_at: float | None
    #: Monotonic seconds before which the node does not vote in `view`.
    vote_hold_until: float
    #: Highest epoch that each node is known to have adopted, by node name.
    adopted: Mapping[str, int]


def new_voter(now: float) -> Voter:
    """Returns the voter state of a node that has just started."""
    return Voter(_view.NO_VIEW, _view.NO_VIEW, None, now + VOTE_HOLD_S, {})


def adopt(voter: Voter, view: _view.View, own_name: str) -> Voter:
    """Returns the voter after adopting `view`, unchanged if it is not later."""
    if view.epoch <= voter.view.epoch:
        return voter
    vote_hold_until = voter.vote_hold_until
    if voter.voted_at is not None:
        vote_hold_until = max(vote_hold_until, voter.voted_at + VOTE_HOLD_S)
    adopted = {**voter.adopted, own_name: view.epoch}
    changed = Voter(view, voter.view, None, vote_hold_until, adopted)
    # The current time is not known here. A hold that ends at time 0 has ended.
    return _end_hold_if_adopted(changed, 0.0)


def record_adoption(voter: Voter, name: str, epoch: int, now: float) -> Voter:
    """Returns the voter after a node reported the epoch that it adopted."""
    if voter.adopted.get(name, 0) >= epoch:
        return voter
    changed = voter._replace(adopted={**voter.adopted, name: epoch})
    return _end_hold_if_adopted(changed, now)


def handle_vote_request(
    voter: Voter, epoch: int, now: float
) -> tuple[Voter, bool]:
    """Returns the voter after a vote request, and whether it is granted."""
    if epoch != voter.view.epoch or now < voter.vote_hold_until:
        return voter, False
    if any(adopted_epoch > epoch for adopted_epoch in voter.adopted.values()):
        # A later view exists. Its members may end their vote hold early, so a
        # vote granted here could still be valid when they vote.
        return voter, False
    return voter._replace(voted_at=now), True


def lease_expires_at(
    view: _view.View, requested_at: Mapping[str, float]
) -> float:
    """Returns when the ownership lease of a view expires.

    Args:
        view: the view in which the votes were requested.
        requested_at: monotonic seconds when each granted vote was requested,
            by name of the voter.

    Returns:
        Monotonic seconds; minus infinity without a majority of votes.
    """
    request_times = sorted(
        (
            requested_at[name]
            for name in map(_view.name_of, view.members)
            if name in requested_at
        ),
        reverse=True,
    )
    majority = len(view.members) // 2 + 1
    if len(request_times) < majority or not view.members:
        return float("-inf")
    return request_times[majority - 1] + OWNERSHIP_LEASE_S


def may_run(
    own_id: str,
    key: str,
    now: float,
    current: tuple[_view.View, float],
    previous: tuple[_view.View, float],
) -> bool:
    """Returns whether a node may run calls with a key now.

    A key that the node owns in both views may run under the lease of either,
    so that a change of members does not interrupt keys that keep their owner.

    Args:
        own_id: incarnation identifier of the node.
        key: the idempotency key.
        now: monotonic seconds of this node.
        current: the adopted view and when its lease expires.
        previous: the view adopted before it and when that lease expires.
    """
    view, expires_at = current
    if _view.owner_in(view, key) != own_id:
        return False
    if now < expires_at:
        return True
    previous_view, previous_expires_at = previous
    return (
        previous_view.epoch == view.epoch - 1
        and _view.owner_in(previous_view, key) == own_id
        and now < previous_expires_at
    )


def _end_hold_if_adopted(voter: Voter, now: float) -> Voter:
    """Ends the vote hold once all previous members have adopted the view.

    No node then runs keys that it owns only in the previous view. The hold of a
    node that has adopted only one view since its start does not end early,
    because the node has no record of the view in which it last voted.
    """
    previous_view = voter.previous_view
    if previous_view.epoch != voter.view.epoch - 1 or previous_view.epoch == 0:
        return voter
    for name in map(_view.name_of, previous_view.members):
        if voter.adopted.get(name, 0) < voter.view.epoch:
            return voter
    return voter._replace(vote_hold_until=min(voter.vote_hold_until, now))
