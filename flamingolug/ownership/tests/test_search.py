"""Explicit state search over the rule for the right to run.

Every order of these steps is tried, up to a depth: a second passes, a member
gets another's vote, a node learns what another has adopted, a node changes the
view in the store, a node adopts a view, a node restarts and forgets. A paused
node is one that takes no step while others do. No state may let two nodes run
the same key. Known-bad variants of the rule must be caught by the same search.
"""

import itertools
import random
import unittest
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from flamingolug import ownership

_NAMES = ("a", "b", "c")
_FIRST = ownership.View(1, ("a", "b"))
#: Seconds of one step of time; a right lasts 2 steps and a hold 3.
_TICK_S = 1.1
_MAX_EPOCH = 4
_MAX_TICKS = 5
_MAX_RESTARTS = 1


class _Node(NamedTuple):
    voter: ownership.Voter
    asked_at: tuple[tuple[str, float], ...]
    previous_until: float
    had_majority: bool

    def until(self) -> float:
        """Returns when the node's right runs out."""
        return ownership.lease_expires_at(self.voter.view, dict(self.asked_at))


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
    """The functions under test; bad variants replace some."""

    adopt: Callable[[ownership.Voter, ownership.View, str], ownership.Voter]
    record: Callable[[ownership.Voter, str, int, float], ownership.Voter]
    start: Callable[[float], ownership.Voter]
    may_change: Callable[[_Node], bool]
    next_views: Callable[[ownership.View], Iterator[ownership.View]]


def _single_changes(view: ownership.View) -> Iterator[ownership.View]:
    """Yields every view that `next_view` can give."""
    seen: set[ownership.View] = set()
    for size in range(len(_NAMES) + 1):
        for gone in itertools.combinations(_NAMES, size):
            present = [name for name in _NAMES if name not in gone]
            found = ownership.next_view(view, present, gone)
            if found is not None and found not in seen:
                seen.add(found)
                yield found


_GOOD = _Rules(
    ownership.adopt,
    ownership.record_adoption,
    ownership.new_voter,
    lambda node: node.had_majority,
    _single_changes,
)


def _key_owned_in_turn() -> str:
    """Returns a key owned by c before a, and by a before b."""
    for number in range(1_000):
        key = f"key-{number}"
        owners = [
            ownership.owner_in(ownership.View(1, names), key)
            for names in (("a", "b"), ("a", "b", "c"), ("b", "c"))
        ]
        if owners == ["a", "c", "c"]:
            return key
    raise AssertionError


_KEY = _key_owned_in_turn()


def _first_state() -> _State:
    """Returns the state in which a and b have adopted the first view."""
    voter = ownership.Voter(
        _FIRST, ownership.View(0, ()), None, 0.0, {"a": 1, "b": 1}
    )
    member = _Node(voter, (), float("-inf"), True)
    outside = _Node(
        ownership.Voter(
            ownership.View(0, ()), ownership.View(0, ()), None, 0.0, {}
        ),
        (),
        float("-inf"),
        False,
    )
    return _State(0, 0, (_FIRST,), (member, member, outside))


def _runners(state: _State) -> list[str]:
    """Returns the nodes that may run the key now."""
    found: list[str] = []
    for name, node in zip(_NAMES, state.nodes, strict=True):
        if ownership.may_run(
            name,
            _KEY,
            state.now,
            (node.voter.view, node.until()),
            (node.voter.previous, node.previous_until),
        ):
            found.append(name)
    return found


def _with(state: _State, index: int, node: _Node) -> _State:
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=tuple(nodes))


def _steps(state: _State, rules: _Rules) -> Iterator[_State]:
    """Yields every state that one step leads to."""
    if state.ticks < _MAX_TICKS:
        yield state._replace(ticks=state.ticks + 1)
    for asker, voter in itertools.product(range(3), range(3)):
        yield from _vote(state, asker, voter)
        if asker != voter:
            yield from _learn(state, asker, voter, rules)
    for index in range(3):
        yield from _change_view(state, index, rules)
        yield from _adopt(state, index, rules)
        yield from _restart(state, index, rules)


def _vote(state: _State, asker: int, voter: int) -> Iterator[_State]:
    node = state.nodes[asker]
    view = node.voter.view
    if _NAMES[voter] not in view.members:
        return
    changed, granted = ownership.vote(
        state.nodes[voter].voter, view.epoch, state.now
    )
    if not granted:
        return
    state = _with(state, voter, state.nodes[voter]._replace(voter=changed))
    node = state.nodes[asker]
    asked_at = {**dict(node.asked_at), _NAMES[voter]: state.now}
    node = node._replace(asked_at=tuple(sorted(asked_at.items())))
    if node.until() > state.now:
        node = node._replace(had_majority=True)
    yield _with(state, asker, node)


def _learn(
    state: _State, learner: int, other: int, rules: _Rules
) -> Iterator[_State]:
    node = state.nodes[learner]
    epoch = state.nodes[other].voter.view.epoch
    voter = rules.record(node.voter, _NAMES[other], epoch, state.now)
    if voter != node.voter:
        yield _with(state, learner, node._replace(voter=voter))


def _change_view(state: _State, index: int, rules: _Rules) -> Iterator[_State]:
    node = state.nodes[index]
    latest = state.views[-1]
    if node.voter.view != latest or latest.epoch >= _MAX_EPOCH:
        return
    if not rules.may_change(node) or _NAMES[index] not in latest.members:
        return
    for view in rules.next_views(latest):
        yield state._replace(views=(*state.views, view))


def _adopt(state: _State, index: int, rules: _Rules) -> Iterator[_State]:
    node = state.nodes[index]
    for view in state.views:
        if view.epoch <= node.voter.view.epoch:
            continue
        yield _with(
            state,
            index,
            _Node(
                rules.adopt(node.voter, view, _NAMES[index]),
                (),
                node.until(),
                False,
            ),
        )


def _restart(state: _State, index: int, rules: _Rules) -> Iterator[_State]:
    if state.restarts >= _MAX_RESTARTS:
        return
    node = _Node(rules.start(state.now), (), float("-inf"), False)
    yield _with(state._replace(restarts=state.restarts + 1), index, node)


def _freeze(state: _State) -> object:
    """Returns a hashable form of a state."""
    nodes = tuple(
        (
            node.voter._replace(
                adopted=tuple(sorted(node.voter.adopted.items()))  # type: ignore[arg-type]
            ),
            node.asked_at,
            node.previous_until,
            node.had_majority,
        )
        for node in state.nodes
    )
    return state.ticks, state.restarts, state.views, nodes


def _search(rules: _Rules, depth: int) -> tuple[int, _State | None]:
    """Returns the number of states seen, and one with two runners."""
    level = [_first_state()]
    seen: set[object] = {_freeze(level[0])}
    for _ in range(depth):
        following: list[_State] = []
        for state in level:
            for reached in _steps(state, rules):
                frozen = _freeze(reached)
                if frozen in seen:
                    continue
                seen.add(frozen)
                if len(_runners(reached)) > 1:
                    return len(seen), reached
                following.append(reached)
        level = following
    return len(seen), None


def _adopt_without_hold(
    voter: ownership.Voter, view: ownership.View, own_name: str
) -> ownership.Voter:
    return ownership.adopt(voter, view, own_name)._replace(vote_hold_until=0.0)


def _record_and_release(
    voter: ownership.Voter, name: str, epoch: int, now: float
) -> ownership.Voter:
    """Ends the hold as soon as one other member has adopted the view."""
    noted = ownership.record_adoption(voter, name, epoch, now)
    if noted != voter and epoch >= voter.view.epoch:
        return noted._replace(vote_hold_until=min(noted.vote_hold_until, now))
    return noted


def _any_views(view: ownership.View) -> Iterator[ownership.View]:
    for size in (1, 2, 3):
        for names in itertools.combinations(_NAMES, size):
            if names != view.members:
                yield ownership.View(view.epoch + 1, names)


def _walk(rules: _Rules, walks: int, length: int) -> _State | None:
    """Returns a state with two runners met on seeded random walks."""
    for seed in range(walks):
        rng = random.Random(seed)
        state = _first_state()
        for _ in range(length):
            reached = list(_steps(state, rules))
            if not reached:
                break
            state = rng.choice(reached)
            if len(_runners(state)) > 1:
                return state
    return None


_BAD = {
    "no hold after adopting": _GOOD._replace(adopt=_adopt_without_hold),
    "no hold after a restart": _GOOD._replace(
        start=lambda now: ownership.new_voter(now)._replace(vote_hold_until=0.0)
    ),
    "hold ends when one member has adopted": _GOOD._replace(
        record=_record_and_release
    ),
    "views that differ by several members": _GOOD._replace(
        next_views=_any_views
    ),
    "view follows one without a majority": _GOOD._replace(
        may_change=lambda node: True
    ),
}
_DEPTH = 5
_WALKS = 400
_WALK_LENGTH = 60


class SearchTest(unittest.TestCase):
    def test_no_order_of_steps_lets_two_nodes_run_a_key(self) -> None:
        count, found = _search(_GOOD, _DEPTH)
        self.assertIsNone(found)
        self.assertGreater(count, 10_000)

    def test_long_walks_let_no_two_nodes_run_a_key(self) -> None:
        self.assertIsNone(_walk(_GOOD, _WALKS, _WALK_LENGTH))

    def test_known_bad_variants_are_caught(self) -> None:
        for name, rules in _BAD.items():
            with self.subTest(name):
                found = _walk(rules, 20 * _WALKS, _WALK_LENGTH)
                self.assertIsNotNone(found)
