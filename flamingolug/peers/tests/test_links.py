"""Links over real sockets: answers, lost connections, settling, keys."""

import itertools
import time
import unittest
from collections.abc import Callable

import gevent
import zmq

from flamingolug import errors
from flamingolug import peers
from flamingolug.tests import doubles
from flamingolug.tests import scenario

_WAIT_S = 10.0
#: Rounds after which a thread of the library that blocks on a closed monitor
#: has shown itself; without an end to monitoring it took two.
_CLOSING_ROUNDS = 25


def _call(number: int) -> peers.CallMessage:
    return {
        "id": number,
        "org": 1,
        "to": 2,
        "root": "r",
        "rkind": "k",
        "kind": "k",
        "depth": 0,
        "spread": 0,
        "method": "GET",
        "path": "/",
        "headers": [],
        "key": "",
        "born": 0.0,
        "caller": "c",
        "left": 1000.0,
        "share": 1,
        "rev": 1,
    }


def _answer(number: int) -> peers.AnswerMessage:
    return {
        "id": number,
        "verdict": "answered",
        "reason": "",
        "step": "",
        "peer": "",
        "status": 200,
        "headers": [],
        "used": 1,
    }


class _Side:
    """A listening side whose reaction to calls is set by the test."""

    def __init__(self, address: str, secret: str) -> None:
        self.counters = doubles.make_counters()
        self.endpoint = peers.Endpoint(
            zmq.Context.instance(),
            address,
            peers.derive_keys(secret),
            self.counters,
            now=time.monotonic,
            traffic=peers.Traffic(),
        )
        self.settle_states: list[str] = []
        self.endpoint.on(peers.MessageType.SETTLE, self._settle)
        self.endpoint.on(peers.MessageType.PING, lambda inbound: None)
        self.endpoint.start()

    def on_call(self, react: Callable[[peers.InboundMessage], None]) -> None:
        """Sets the reaction to calls."""
        self.endpoint.on(peers.MessageType.CALL, react)

    def _settle(self, inbound: peers.InboundMessage) -> None:
        self.endpoint.reply(
            inbound.route,
            peers.MessageType.SETTLED,
            {"id": inbound.message["id"], "state": self.settle_states.pop(0)},
        )


def _links(secret: str) -> peers.Links:
    return peers.Links(
        peers.LinkOptions(
            context=zmq.Context.instance(),
            keys=peers.derive_keys(secret),
            incarnation=1,
            now=time.monotonic,
            next_id=itertools.count(1_000).__next__,
            counters=doubles.make_counters(),
            traffic=peers.Traffic(),
            make_probe=lambda: {
                "id": 0,
                "load": {
                    "name": "n",
                    "inc": 1,
                    "limit": 1,
                    "run": 0,
                    "wait": 0,
                    "cut": 0,
                    "rev": 0,
                    "leaving": False,
                    "deep": {},
                },
                "rev": 0,
                "digest": "",
                "members": [],
                "sum": 0,
            },
            on_pong=lambda pong: None,
        )
    )


class LinkTest(unittest.TestCase):
    def setUp(self) -> None:
        """Starts a listening side and a link to it."""
        self.address = scenario.free_address()
        self.side = _Side(self.address, "the shared secret")
        self.links = _links("the shared secret")
        self.addCleanup(self.side.endpoint.stop)
        self.addCleanup(self.links.stop)

    def _request(self, number: int) -> peers.AnswerMessage:
        answer = self.links.to(self.address).request(
            peers.MessageType.CALL, _call(number), b"body", _WAIT_S
        )
        message: peers.AnswerMessage = answer.message
        self.assertEqual(answer.body, b"whole")
        return message

    def _reply(self, inbound: peers.InboundMessage) -> None:
        self.side.endpoint.reply(
            inbound.route,
            peers.MessageType.ANSWER,
            _answer(inbound.message["id"]),
            b"whole",
        )

    def test_answers_out_of_order_reach_their_own_calls(self) -> None:
        held: list[peers.InboundMessage] = []

        def react(inbound: peers.InboundMessage) -> None:
            held.append(inbound)
            if len(held) == 3:
                for each in reversed(held):
                    self._reply(each)

        self.side.on_call(react)
        tasks = [gevent.spawn(self._request, number) for number in (1, 2, 3)]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual([task.get()["id"] for task in tasks], [1, 2, 3])

    def test_a_silent_call_ends_as_the_receiver_says(self) -> None:
        """The link is replaced and the receiver's word decides."""
        cases = {
            "barred": errors.PeerUnreachableError,
            "foreign": errors.PeerLostError,
        }
        self.side.on_call(lambda inbound: None)
        for state, expected in cases.items():
            with self.subTest(state):
                self.side.settle_states = [state]
                with self.assertRaises(expected):
                    self._request(10)

    def test_a_late_answer_after_a_settled_call_is_dropped(self) -> None:
        held: list[peers.InboundMessage] = []
        self.side.on_call(held.append)
        self.side.settle_states = ["foreign"]
        with self.assertRaises(errors.PeerLostError):
            self._request(20)
        self.side.on_call(self._reply)
        self._reply(held[0])
        self.assertEqual(self._request(21)["id"], 21)

    def test_nobody_listening_is_unreachable(self) -> None:
        link = self.links.to(scenario.free_address())
        with self.assertRaises(errors.PeerUnreachableError):
            link.request(peers.MessageType.CALL, _call(1), b"", _WAIT_S)

    def test_a_peer_with_another_key_is_refused_and_counted(self) -> None:
        stranger = _links("another secret")
        self.addCleanup(stranger.stop)
        with self.assertRaises(errors.PeerUnreachableError):
            stranger.to(self.address).request(
                peers.MessageType.CALL, _call(1), b"", _WAIT_S
            )
        name = "flamingolug.peer.messages.refused"
        with gevent.Timeout(_WAIT_S):
            while not self.side.counters.snapshot()[name]:
                gevent.sleep(0.01)
        self.side.on_call(self._reply)
        self.assertEqual(self._request(5)["id"], 5)

    def test_links_that_close_while_they_fail_leave_the_others_working(
        self,
    ) -> None:
        for number in range(_CLOSING_ROUNDS):
            address = scenario.free_address()
            side = _Side(address, "the shared secret")
            side.on_call(lambda inbound: None)
            many = [_links("the shared secret") for _ in range(4)]
            for each in many:
                each.to(address).send(
                    peers.MessageType.CANCEL, {"id": number, "org": 1}
                )
            gevent.sleep(0.01)
            side.endpoint.stop()
            gevent.sleep((0.0, 0.001, 0.003, 0.1)[number % 4])
            for each in many:
                each.stop()
        self.side.on_call(self._reply)
        self.assertEqual(self._request(30)["id"], 30)
