"""Explicit-state search of the ownership lease protocol.

The search tries every order of these steps up to a depth: the clock advances
by one tick, a node receives a vote from a member of its view, a node records
the epoch that another has adopted, a node writes the next view to the store, a
node adopts a view, a node restarts and loses its state. A paused node is
covered as one that takes no step while others do. No reachable state may allow
two nodes to run the same key.
Random walks with the same steps must find such a state for each of several
faulty variants of the protocol.
"""

import itertools
import random
import unittest
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from flamingolug import ownership

_NAMES = ("a", "b", "c")
_FIRST_VIEW = ownership.View(1, ("a", "b"))
#: Seconds that the clock advances in one step; a lease covers 2 full steps and
#: a vote hold exactly 3.
_TICK_S = 1.1
_MAX_EPOCH = 4
_MAX_TICKS = 5
_MAX_RESTARTS = 1


class _Node(NamedTuple):
    voter: ownership.Voter
    requested_at: tuple[tuple[str, float], ...]
    previous_lease_expires_at: float
    had_majority: bool

    def lease_expires_at(self) -> float:
        """Returns when the lease of the node's view expires."""
        return ownership.lease_expires_at(
            self.voter.view, dict(self.requested_at)
        )


class _State(NamedTuple):
    ticks: int
    restarts: int
    views: tuple[ownership.View, ...]
    nodes: tuple[_Node, ...]

    @property
    def now(self) -> float:
        """Monotonic seconds, the same for all nodes."""
        return self.ticks * _TICK_S


class _Rules(NamedTuple):
    """Functions under test; faulty variants replace some of them."""

    adopt: Callable[[ownership.Voter, ownership.View, str], ownership.Voter]
    record: Callable[[ownership.Voter, str, int, float], ownership.Voter]
    start: Callable[[float], ownership.Voter]
    may_replace_view: Callable[[_Node], bool]
    next_views: Callable[[ownership.View], Iterator[ownership.View]]


def _single_changes(view: ownership.View) -> Iterator[ownership.View]:
    """Yields every view that `next_view` returns for some set of gone nodes.

    Nodes are named without incarnations, so that no view replaces the previous
    incarnation of a node.
    """
    visited: set[ownership.View] = set()
    for size in range(len(_NAMES) + 1):
        for gone in itertools.combinations(_NAMES, size):
            present = [name for name in _NAMES if name not in gone]
            following = ownership.next_view(view, present, gone)
            if following is not None and following not in visited:
                visited.add(following)
                yield following


_CORRECT = _Rules(
    ownership.adopt,
    ownership.record_adoption,
    ownership.new_voter,
    lambda node: node.had_majority,
    _single_changes,
)


def _find_key_that_changes_owner() -> str:
    """Returns a key owned by a in (a, b), and by c in (a, b, c) and (b, c)."""
    for number in range(1_000):
        key = f"key-{number}"
        owners = [
            ownership.owner_in(ownership.View(1, names), key)
            for names in (("a", "b"), ("a", "b", "c"), ("b", "c"))
        ]
        if owners == ["a", "c", "c"]:
            return key
    raise AssertionError


_KEY = _find_key_that_changes_owner()


def _first_state() -> _State:
    """Returns the state in which only a and b have adopted the first view."""
    voter = ownership.Voter(
        _FIRST_VIEW, ownership.View(0, ()), None, 0.0, {"a": 1, "b": 1}
    )
    member = _Node(voter, (), float("-inf"), True)
    non_member = _Node(
        ownership.Voter(
            ownership.View(0, ()), ownership.View(0, ()), None, 0.0, {}
        ),
        (),
        float("-inf"),
        False,
    )
    return _State(0, 0, (_FIRST_VIEW,), (member, member, non_member))


def _names_that_may_run_key(state: _State) -> list[str]:
    """Returns the nodes that may run the key now."""
    names: list[str] = []
    for name, node in zip(_NAMES, state.nodes, strict=True):
        if ownership.may_run(
            name,
            _KEY,
            state.now,
            (node.voter.view, node.lease_expires_at()),
            (node.voter.previous_view, node.previous_lease_expires_at),
        ):
            names.append(name)
    return names


def _replace_node(state: _State, index: int, node: _Node) -> _State:
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=tuple(nodes))


def _steps(state: _State, rules: _Rules) -> Iterator[_State]:
    """Yields every state that is one step away."""
    if state.ticks < _MAX_TICKS:
        yield state._replace(ticks=state.ticks + 1)
    for node_index, other_index in itertools.product(range(3), range(3)):
        yield from _vote(state, node_index, other_index)
        if node_index != other_index:
            yield from _record_adoption(state, node_index, other_index, rules)
    for index in range(3):
        yield from _write_next_view(state, index, rules)
        yield from _adopt(state, index, rules)
        yield from _restart(state, index, rules)


def _vote(
    state: _State, requester_index: int, voter_index: int
) -> Iterator[_State]:
    node = state.nodes[requester_index]
    view = node.voter.view
    if _NAMES[voter_index] not in view.members:
        return
    changed, granted = ownership.handle_vote_request(
        state.nodes[voter_index].voter, view.epoch, state.now
    )
    if not granted:
        return
    state = _replace_node(
        state, voter_index, state.nodes[voter_index]._replace(voter=changed)
    )
    node = state.nodes[requester_index]
    requested_at = {**dict(node.requested_at), _NAMES[voter_index]: state.now}
    node = node._replace(requested_at=tuple(sorted(requested_at.items())))
    if node.lease_expires_at() > state.now:
        node = node._replace(had_majority=True)
    yield _replace_node(state, requester_index, node)


def _record_adoption(
    state: _State, recorder_index: int, other_index: int, rules: _Rules
) -> Iterator[_State]:
    node = state.nodes[recorder_index]
    epoch = state.nodes[other_index].voter.view.epoch
    voter = rules.record(node.voter, _NAMES[other_index], epoch, state.now)
    if voter != node.voter:
        yield _replace_node(state, recorder_index, node._replace(voter=voter))


def _write_next_view(
    state: _State, index: int, rules: _Rules
) -> Iterator[_State]:
    node = state.nodes[index]
    latest = state.views[-1]
    if node.voter.view != latest or latest.epoch >= _MAX_EPOCH:
        return
    if not rules.may_replace_view(node) or _NAMES[index] not in latest.members:
        return
    for view in rules.next_views(latest):
        yield state._replace(views=(*state.views, view))


def _adopt(state: _State, index: int, rules: _Rules) -> Iterator[_State]:
    node = state.nodes[index]
    for view in state.views:
        if view.epoch <= node.voter.view.epoch:
            continue
        yield _replace_node(
            state,
            index,
            _Node(
                rules.adopt(node.voter, view, _NAMES[index]),
                (),
                node.lease_expires_at(),
                False,
            ),
        )


def _restart(state: _State, index: int, rules: _Rules) -> Iterator[_State]:
    if state.restarts >= _MAX_RESTARTS:
        return
    node = _Node(rules.start(state.now), (), float("-inf"), False)
    yield _replace_node(
        state._replace(restarts=state.restarts + 1), index, node
    )


def _freeze(state: _State) -> object:
    """Returns a hashable form of a state."""
    nodes = tuple(
        (
            node.voter._replace(
                adopted=tuple(sorted(node.voter.adopted.items()))  # type: ignore[arg-type]
            ),
            node.requested_at,
            node.previous_lease_expires_at,
            node.had_majority,
        )
        for node in state.nodes
    )
    return state.ticks, state.restarts, state.views, nodes


def _search_exhaustively(
    rules: _Rules, depth: int
) -> tuple[int, _State | None]:
    """Searches all states up to a depth.

    Returns:
        The number of visited states, and a state in which two nodes may run
        the key, None if none was found.
    """
    level = [_first_state()]
    visited: set[object] = {_freeze(level[0])}
    for _ in range(depth):
        following: list[_State] = []
        for state in level:
            for reached in _steps(state, rules):
                frozen = _freeze(reached)
                if frozen in visited:
                    continue
                visited.add(frozen)
                if len(_names_that_may_run_key(reached)) > 1:
                    return len(visited), reached
                following.append(reached)
        level = following
    return len(visited), None


def _adopt_without_hold(
    voter: ownership.Voter, view: ownership.View, own_name: str
) -> ownership.Voter:
    return ownership.adopt(voter, view, own_name)._replace(vote_hold_until=0.0)


def _end_hold_after_one_adoption(
    voter: ownership.Voter, name: str, epoch: int, now: float
) -> ownership.Voter:
    """Ends the vote hold once a single other member has adopted the view."""
    recorded = ownership.record_adoption(voter, name, epoch, now)
    if recorded != voter and epoch >= voter.view.epoch:
        return recorded._replace(
            vote_hold_until=min(recorded.vote_hold_until, now)
        )
    return recorded


def _arbitrary_changes(view: ownership.View) -> Iterator[ownership.View]:
    for size in (1, 2, 3):
        for names in itertools.combinations(_NAMES, size):
            if names != view.members:
                yield ownership.View(view.epoch + 1, names)


def _random_walks(rules: _Rules, walks: int, length: int) -> _State | None:
    """Returns a state in which two nodes may run the key, or None.

    The state is searched by seeded random walks.
    """
    for seed in range(walks):
        rng = random.Random(seed)
        state = _first_state()
        for _ in range(length):
            reached = list(_steps(state, rules))
            if not reached:
                break
            state = rng.choice(reached)
            if len(_names_that_may_run_key(state)) > 1:
                return state
    return None


_FAULTY = {
    "no vote hold after adopting a view": _CORRECT._replace(
        adopt=_adopt_without_hold
    ),
    "no vote hold after a restart": _CORRECT._replace(
        start=lambda now: ownership.new_voter(now)._replace(vote_hold_until=0.0)
    ),
    "vote hold ends when one member has adopted the view": _CORRECT._replace(
        record=_end_hold_after_one_adoption
    ),
    "views that differ by several members": _CORRECT._replace(
        next_views=_arbitrary_changes
    ),
    "view replaced before it had a majority of votes": _CORRECT._replace(
        may_replace_view=lambda node: True
    ),
}
_DEPTH = 5
_WALKS = 400
_WALK_LENGTH = 60


class SearchTest(unittest.TestCase):
    def test_exhaustive_search_finds_no_state_in_which_two_nodes_may_run_a_key(
        self,
    ) -> None:
        count, violation = _search_exhaustively(_CORRECT, _DEPTH)
        self.assertIsNone(violation)
        # Detects a search that no longer reaches most states.
        self.assertGreater(count, 10_000)

    def test_long_random_walks_find_no_state_in_which_two_nodes_may_run_a_key(
        self,
    ) -> None:
        self.assertIsNone(_random_walks(_CORRECT, _WALKS, _WALK_LENGTH))

    def test_random_walks_find_a_violation_in_each_faulty_variant(
        self,
    ) -> None:
        for name, rules in _FAULTY.items():
            with self.subTest(name):
                violation = _random_walks(rules, 20 * _WALKS, _WALK_LENGTH)
                self.assertIsNotNone(violation)
