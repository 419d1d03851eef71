"""Links over real sockets: answers, lost connections, call states, keys."""

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
#: Rounds of opening and closing links. When monitoring was not disabled before
#: its socket was closed, ZeroMQ's I/O thread blocked within two rounds.
_CLOSING_ROUNDS = 25


def _make_call(number: int) -> peers.CallMessage:
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


def _make_answer(number: int) -> peers.AnswerMessage:
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


class _Server:
    """An endpoint whose call handler is set by the test."""

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

    def on_call(self, handler: Callable[[peers.InboundMessage], None]) -> None:
        """Sets the handler of calls."""
        self.endpoint.on(peers.MessageType.CALL, handler)

    def _settle(self, inbound: peers.InboundMessage) -> None:
        self.endpoint.reply(
            inbound.routing_id,
            peers.MessageType.SETTLED,
            {"id": inbound.message["id"], "state": self.settle_states.pop(0)},
        )


def _make_links(secret: str) -> peers.Links:
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
        """Starts an endpoint and links to reach it."""
        self.address = scenario.free_address()
        self.server = _Server(self.address, "the shared secret")
        self.links = _make_links("the shared secret")
        self.addCleanup(self.server.endpoint.stop)
        self.addCleanup(self.links.stop)

    def _request(self, number: int) -> peers.AnswerMessage:
        answer = self.links.link_to(self.address).request(
            peers.MessageType.CALL, _make_call(number), b"body", _WAIT_S
        )
        message: peers.AnswerMessage = answer.message
        self.assertEqual(answer.body, b"whole")
        return message

    def _reply(self, inbound: peers.InboundMessage) -> None:
        self.server.endpoint.reply(
            inbound.routing_id,
            peers.MessageType.ANSWER,
            _make_answer(inbound.message["id"]),
            b"whole",
        )

    def test_answers_in_another_order_are_matched_to_their_calls(self) -> None:
        received: list[peers.InboundMessage] = []

        def handler(inbound: peers.InboundMessage) -> None:
            received.append(inbound)
            if len(received) == 3:
                for each in reversed(received):
                    self._reply(each)

        self.server.on_call(handler)
        tasks = [gevent.spawn(self._request, number) for number in (1, 2, 3)]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual([task.get()["id"] for task in tasks], [1, 2, 3])

    def test_unanswered_call_raises_the_error_that_matches_the_reported_state(
        self,
    ) -> None:
        """The link replaces the connection and then requests the call state."""
        cases = {
            "barred": errors.PeerUnreachableError,
            "foreign": errors.PeerLostError,
        }
        self.server.on_call(lambda inbound: None)
        for state, expected in cases.items():
            with self.subTest(state):
                self.server.settle_states = [state]
                with self.assertRaises(expected):
                    self._request(10)

    def test_late_answer_to_a_settled_call_is_dropped(self) -> None:
        received: list[peers.InboundMessage] = []
        self.server.on_call(received.append)
        self.server.settle_states = ["foreign"]
        with self.assertRaises(errors.PeerLostError):
            self._request(20)
        self.server.on_call(self._reply)
        self._reply(received[0])
        self.assertEqual(self._request(21)["id"], 21)

    def test_call_without_a_listening_peer_is_unreachable(self) -> None:
        link = self.links.link_to(scenario.free_address())
        with self.assertRaises(errors.PeerUnreachableError):
            link.request(peers.MessageType.CALL, _make_call(1), b"", _WAIT_S)

    def test_peer_with_another_key_is_refused_and_counted(self) -> None:
        other_links = _make_links("another secret")
        self.addCleanup(other_links.stop)
        with self.assertRaises(errors.PeerUnreachableError):
            other_links.link_to(self.address).request(
                peers.MessageType.CALL, _make_call(1), b"", _WAIT_S
            )
        name = "flamingolug.peer.messages.refused"
        with gevent.Timeout(_WAIT_S):
            while not self.server.counters.snapshot()[name]:
                gevent.sleep(0.01)
        self.server.on_call(self._reply)
        self.assertEqual(self._request(5)["id"], 5)

    def test_links_closed_while_their_connections_fail_do_not_block_others(
        self,
    ) -> None:
        """Closing a monitor in use would block the I/O thread of all links."""
        for round_number in range(_CLOSING_ROUNDS):
            address = scenario.free_address()
            server = _Server(address, "the shared secret")
            server.on_call(lambda inbound: None)
            failing = [_make_links("the shared secret") for _ in range(4)]
            for each in failing:
                each.link_to(address).send(
                    peers.MessageType.CANCEL, {"id": round_number, "org": 1}
                )
            gevent.sleep(0.01)
            server.endpoint.stop()
            # Closes the links at different stages of their reconnection.
            gevent.sleep((0.0, 0.001, 0.003, 0.1)[round_number % 4])
            for each in failing:
                each.stop()
        self.server.on_call(self._reply)
        self.assertEqual(self._request(30)["id"], 30)
