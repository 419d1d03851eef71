"""When a node that the store does not answer knows enough of departures.

The pattern is a read from a quorum: one current answer suffices, otherwise as
many as are unlikely to be all outdated.
"""

import random
import types
import unittest
from typing import Any
from unittest import mock

import gevent
from gevent import event

from flamingolug import errors
from flamingolug import store
from flamingolug import timing
from flamingolug.gateway import _directory
from flamingolug.gateway import _peer_inquiry

_OWN = ("h", 0)
_NOTHING = _directory.KnownEntries([], [])


class InquiryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.asked: list[tuple[str, int]] = []
        self.current: set[tuple[str, int]] = set()
        self.silent: set[tuple[str, int]] = set()
        self.unreachable: set[tuple[str, int]] = set()
        self.informed = event.Event()
        patcher = mock.patch.object(_peer_inquiry, "ANSWER_TIMEOUT_S", 0.6)
        patcher.start()
        self.addCleanup(patcher.stop)

    def start(self, node_count: int) -> None:
        """Handles the answer of a first node, which opened a link itself."""
        directory: Any = types.SimpleNamespace(
            informed=self.informed,
            synced=event.Event(),
            merge_from_peer=self.merge,
            node_addresses=lambda: [("h", n) for n in range(node_count)],
            nodes_by_distance=lambda: [
                ("h", n) for n in reversed(range(node_count))
            ],
            complete_position=store.NO_POSITION,
        )
        links: Any = types.SimpleNamespace(link_to=self.link_to)
        self.inquiry = _peer_inquiry.PeerInquiry(
            _peer_inquiry.Dependencies(
                _OWN, timing.GeventTimers(), random.Random(1), links, directory
            )
        )
        self.inquiry.handle_answer(_NOTHING, None)

    def merge(self, known: _directory.KnownEntries) -> None:
        if known.is_current:
            self.informed.set()

    def link_to(self, address: tuple[str, int], wait_s: float) -> Any:
        del wait_s
        self.asked.append(address)
        if address in self.unreachable:
            raise errors.PeerUnreachableError("t", step="t", peer="t")
        return types.SimpleNamespace(send=lambda frame: self.answer(address))

    def answer(self, address: tuple[str, int]) -> None:
        if address in self.silent:
            return
        known = _NOTHING._replace(is_current=address in self.current)
        self.inquiry.handle_answer(known, address)

    # Guards against a peer that the store has turned away and that is believed.
    def test_one_answer_that_is_not_current_does_not_inform(self) -> None:
        self.silent = {("h", 2)}
        self.start(3)
        self.assertFalse(self.informed.wait(0.3))
        self.assertEqual(set(self.asked), {("h", 1), ("h", 2)})

    def test_current_answer_informs_at_once(self) -> None:
        self.silent = {("h", n) for n in range(20)}
        self.current = {("h", 7)}
        self.silent -= self.current
        self.start(20)
        self.assertTrue(self.informed.wait(3.0))
        self.assertIn(("h", 7), self.asked)

    # Guards against a fleet that takes no restarted node in while the store is
    # away for all.
    def test_many_answers_inform_though_none_is_current(self) -> None:
        self.start(100)
        self.assertTrue(self.informed.wait(2.0))
        self.assertGreaterEqual(len(self.asked), _peer_inquiry.MIN_ANSWERS)
        self.assertLess(len(self.asked), 2 * _peer_inquiry.MIN_ANSWERS)

    def test_all_answers_of_a_small_fleet_inform(self) -> None:
        self.start(4)
        self.assertTrue(self.informed.wait(1.0))
        self.assertEqual(len(self.asked), 3)

    # Guards against a node that waits for others that have ended.
    def test_nodes_that_do_not_answer_are_not_waited_for_long(self) -> None:
        self.silent = {("h", 1)}
        self.unreachable = {("h", 2)}
        self.start(4)
        gevent.sleep(0)
        self.assertFalse(self.informed.is_set())
        self.assertTrue(self.informed.wait(2.0))

    # Guards against a process that reads a copy of the store and does not learn
    # what the other nodes know beside it.
    def test_few_near_nodes_are_asked_after_the_first_list(self) -> None:
        self.informed.set()
        self.start(4)
        self.inquiry.ask_some()
        gevent.sleep(0.01)
        self.assertEqual(self.asked, [("h", 3), ("h", 2)])

    def test_nobody_is_asked_once_the_node_is_informed(self) -> None:
        self.informed.set()
        self.start(4)
        gevent.sleep(0.1)
        self.assertEqual(self.asked, [])
