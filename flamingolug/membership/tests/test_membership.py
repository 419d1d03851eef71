"""Members: which report wins, refutation, missed changes."""

import itertools
import random
import unittest
import unittest.mock

from flamingolug import membership
from flamingolug import peers
from flamingolug import timing
from flamingolug.membership import _gossip
from flamingolug.membership import _table
from flamingolug.tests import doubles


def _member(name: str, **changes: object) -> membership.Member:
    member = membership.Member(
        name=name,
        incarnation=1,
        zone="z",
        region="r",
        http="h",
        peer=name,
        service="s",
        state=membership.MemberState.ALIVE,
        version=1,
    )
    return member._replace(**changes)  # type: ignore[arg-type]


_REPORTS: dict[str, tuple[dict[str, object], bool]] = {
    "later incarnation": ({"incarnation": 2, "version": 0}, True),
    "earlier incarnation": ({"incarnation": 0, "version": 9}, False),
    "higher version": ({"version": 2}, True),
    "lower version": ({"version": 0, "state": "dead"}, False),
    "worse state": ({"state": membership.MemberState.SUSPECT}, True),
    "the same": ({}, False),
}


class _Network:
    """Delivers heartbeats between memberships at once, or drops them."""

    def __init__(self) -> None:
        self.nodes: dict[str, membership.Membership] = {}
        self.dropped = False

    def add(self, name: str, timers: timing.Timers) -> membership.Membership:
        """Adds a node."""
        node = membership.Membership(
            _member(name),
            membership.Dependencies(
                links=_Links(self),  # type: ignore[arg-type]
                loads=membership.PeerLoads(
                    lambda: membership.new_report(name, 1), timers.now
                ),
                timers=timers,
                counters=doubles.make_counters(),
                next_id=itertools.count(1).__next__,
                rng=random.Random(name),
            ),
        )
        self.nodes[name] = node
        return node


class _Links:
    """Links of one node."""

    def __init__(self, network: _Network) -> None:
        self._network = network

    def to(self, address: str) -> "_Link":
        """Returns the link to a node."""
        return _Link(self._network, address)


class _Link:
    """Link to one node."""

    def __init__(self, network: _Network, address: str) -> None:
        self._network = network
        self._address = address

    def request(self, *arguments: object) -> object:
        """Delivers a heartbeat."""
        from flamingolug import errors

        ping: peers.PingMessage = arguments[1]  # type: ignore[assignment]
        if self._network.dropped:
            raise errors.PeerLostError("dropped", step="test")
        pong = self._network.nodes[self._address].make_pong(ping)
        answer = unittest.mock.Mock()
        answer.message = pong
        return answer


class TableTest(unittest.TestCase):
    def test_which_report_replaces_which(self) -> None:
        for name, (changes, expected) in _REPORTS.items():
            with self.subTest(name):
                report = _member("a", **changes)
                self.assertEqual(
                    _table.replaces(report, _member("a")), expected
                )

    def test_merging_in_any_order_gives_the_same_table(self) -> None:
        reports = [
            _member("a", **changes) for changes, _ in _REPORTS.values()
        ] + [_member("b", version=3)]
        sums: set[int] = set()
        for order in itertools.permutations(reports):
            table = membership.MemberTable(_member("own"))
            for report in order:
                table.merge(report)
            sums.add(table.checksum)
        self.assertEqual(len(sums), 1)

    def test_a_node_refutes_reports_that_it_is_gone(self) -> None:
        table = membership.MemberTable(_member("own"))
        report = _member("own", version=5, state=membership.MemberState.DEAD)
        self.assertTrue(table.merge(report))
        self.assertEqual(table.own.state, membership.MemberState.ALIVE)
        self.assertGreater(table.own.version, 5)

    def test_a_report_of_an_earlier_run_is_not_refuted(self) -> None:
        table = membership.MemberTable(_member("own", incarnation=2))
        self.assertFalse(table.merge(_member("own", incarnation=1)))


class GossipTest(unittest.TestCase):
    def test_a_missed_change_is_found_by_checksum(self) -> None:
        """A change that was passed on to nobody still reaches the others."""
        timers = timing.ManualTimers()
        network = _Network()
        one = network.add("one", timers)
        two = network.add("two", timers)
        one.contact("two")
        for _ in range(20):
            one.make_ping()
            two.make_ping()
        one.update_own(service="other")
        network.dropped = True
        for _ in range(20):
            one.make_ping()
        network.dropped = False
        one._heartbeat("two")
        two._heartbeat("one")
        import gevent

        gevent.sleep(0)
        known = two.table.get("one")
        assert known is not None
        self.assertEqual(known.service, "other")

    def test_silence_is_suspected_then_dead_then_alive_again(self) -> None:
        timers = timing.ManualTimers()
        network = _Network()
        one = network.add("one", timers)
        network.add("two", timers)
        one.contact("two")
        network.dropped = True
        one._heartbeat("two")
        states = [one.table.get("two")]
        timers.advance(_gossip.SUSPICION_S + 1.0)
        one._end_suspicions()
        states.append(one.table.get("two"))
        network.dropped = False
        one._heartbeat("two")
        states.append(one.table.get("two"))
        self.assertEqual(
            [state and str(state.state) for state in states],
            ["suspect", "dead", "alive"],
        )
