"""A backend server that sends bytes without end, on the whole path."""

import time
import unittest
from typing import NamedTuple

import gevent

from flamingolug.gateway import _gate
from flamingolug.platform.tests import deployment
from flamingolug_standins import documents

_CALLS = 6
#: Time within which a caller must have an answer; its deadline is 3 s.
_ANSWER_S = 2.0
_ROUTES = [
    documents.make_route(
        "read", "shelf", Kind="non_idempotent", TimeoutMs=5000
    ),
    documents.make_route("lend", "loans"),
]
_OK = b"HTTP/1.1 200 OK\r\n"


class Case(NamedTuple):
    """What the backend server sends: a beginning, then bytes without end."""

    begin: bytes
    repeated: bytes


_FOREIGN = _OK + b"x-attempt-id: other\r\ncontent-length: 2\r\n\r\nno"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
_CASES = {
    "field": Case(_OK + b"x: ", b"y"),
    "fields": Case(_OK, b"x: y\r\n"),
    "interim": Case(_INTERIM, _INTERIM),
    "foreign answers": Case(_FOREIGN, _FOREIGN),
    "large foreign answers": Case(
        b"", _FOREIGN.replace(b": 2", b": 100000") + b"o" * 99_998
    ),
    "chunk extension": Case(
        _OK + b"transfer-encoding: chunked\r\n\r\n2;", b"e"
    ),
    "body without length": Case(_OK + b"\r\n", b"z"),
    "body with length": Case(
        _OK + b"content-length: 99999999999\r\n\r\n", b"z"
    ),
    "chunked body": Case(
        _OK + b"transfer-encoding: chunked\r\n\r\n", b"2\r\nok\r\n"
    ),
}


class EndlessAnswerTest(unittest.TestCase):
    """Calls to a server that sends without end, and others meanwhile."""

    # Guards against calls that held their slot and their memory until their
    # deadline because the backend server sent without end.
    def test_endless_answer_fails_at_once_and_others_are_served(self) -> None:
        for name, case in _CASES.items():
            with self.subTest(name):
                self._check(case)

    def _check(self, case: Case) -> None:
        nodes = deployment.Deployment(("shelf", "loans"), _ROUTES)
        self.addCleanup(nodes.stop)
        shelf, loans = nodes.instances
        gate = shelf.node.parts.get("gateway.gate", _gate.Gate)
        shelf.server.endless = case
        started = time.monotonic()
        calls = [
            gevent.spawn(
                deployment.send_request, loans, "read", f"c{index}", b"POST"
            )
            for index in range(_CALLS)
        ]
        gevent.sleep(0.05)
        other = deployment.send_request(loans, "lend", "other")
        self.assertEqual(other.status, 200)
        gevent.joinall(calls, raise_error=True)
        self.assertLess(time.monotonic() - started, _ANSWER_S)
        answers = [(call.get().status, call.get().body) for call in calls]
        self.assertEqual(answers, [(502, b"response-too-large\n")] * _CALLS)
        self.assertEqual(gate.slots.running, 0)
        self.assertEqual(len(shelf.server.executed_ids), _CALLS)
        shelf.server.endless = None
        # The admission control of the node beside `loans` may refuse calls to a
        # service that failed.
        sound = deployment.send_request(shelf, "read", "sound", b"POST")
        self.assertEqual(sound.body, b"body of sound")
