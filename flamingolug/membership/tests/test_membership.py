"""Precedence of member records, refutation, missed changes, suspicion."""

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


#: Changed fields of a record, and whether the changed record replaces the
#: unchanged one.
_RECORDS: dict[str, tuple[dict[str, object], bool]] = {
    "later incarnation": ({"incarnation": 2, "version": 0}, True),
    "earlier incarnation": ({"incarnation": 0, "version": 9}, False),
    "higher version": ({"version": 2}, True),
    "lower version": ({"version": 0, "state": "dead"}, False),
    "later state": ({"state": membership.MemberState.SUSPECT}, True),
    "equal record": ({}, False),
}


class _Network:
    """Delivers heartbeats between nodes immediately, or drops them."""

    def __init__(self) -> None:
        self.nodes: dict[str, membership.Membership] = {}
        self.drops_heartbeats = False

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

    def link_to(self, address: str) -> "_Link":
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
        if self._network.drops_heartbeats:
            raise errors.PeerLostError("dropped", step="test")
        pong = self._network.nodes[self._address].make_pong(ping)
        answer = unittest.mock.Mock()
        answer.message = pong
        return answer


class TableTest(unittest.TestCase):
    def test_record_replaces_another_only_if_it_takes_precedence(self) -> None:
        for name, (changes, expected) in _RECORDS.items():
            with self.subTest(name):
                record = _member("a", **changes)
                self.assertEqual(
                    _table.replaces(record, _member("a")), expected
                )

    def test_merging_in_any_order_gives_the_same_checksum(self) -> None:
        records = [
            _member("a", **changes) for changes, _ in _RECORDS.values()
        ] + [_member("b", version=3)]
        checksums: set[int] = set()
        for order in itertools.permutations(records):
            table = membership.MemberTable(_member("own"))
            for record in order:
                table.merge(record)
            checksums.add(table.checksum)
        self.assertEqual(len(checksums), 1)

    def test_record_that_this_node_is_dead_is_refuted(self) -> None:
        table = membership.MemberTable(_member("own"))
        record = _member("own", version=5, state=membership.MemberState.DEAD)
        self.assertTrue(table.merge(record))
        self.assertEqual(table.own.state, membership.MemberState.ALIVE)
        self.assertGreater(table.own.version, 5)

    def test_record_of_an_earlier_incarnation_is_not_refuted(self) -> None:
        table = membership.MemberTable(_member("own", incarnation=2))
        self.assertFalse(table.merge(_member("own", incarnation=1)))


class GossipTest(unittest.TestCase):
    def test_missed_change_is_repaired_when_checksums_differ(self) -> None:
        """A change arrives although each heartbeat that carried it was lost."""
        timers = timing.ManualTimers()
        network = _Network()
        one = network.add("one", timers)
        two = network.add("two", timers)
        one.request_members("two")
        # Empties the queues of changes of both nodes: each call of `make_ping`
        # counts the changes in the heartbeat as sent.
        for _ in range(20):
            one.make_ping()
            two.make_ping()
        one.update_own(service="other")
        network.drops_heartbeats = True
        # These heartbeats are not delivered, but count the change as sent.
        for _ in range(20):
            one.make_ping()
        network.drops_heartbeats = False
        one._send_heartbeat("two")
        two._send_heartbeat("one")
        import gevent

        gevent.sleep(0)
        record = two.table.get("one")
        assert record is not None
        self.assertEqual(record.service, "other")

    def test_unanswered_member_is_suspect_then_dead_then_alive_on_answer(
        self,
    ) -> None:
        timers = timing.ManualTimers()
        network = _Network()
        one = network.add("one", timers)
        network.add("two", timers)
        one.request_members("two")
        network.drops_heartbeats = True
        one._send_heartbeat("two")
        records = [one.table.get("two")]
        timers.advance(_gossip.SUSPICION_TIMEOUT_S + 1.0)
        one._expire_suspicions()
        records.append(one.table.get("two"))
        network.drops_heartbeats = False
        one._send_heartbeat("two")
        records.append(one.table.get("two"))
        self.assertEqual(
            [record and str(record.state) for record in records],
            ["suspect", "dead", "alive"],
        )
