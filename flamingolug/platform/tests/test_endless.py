"""A backend server that sends bytes without end, on the whole path."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
from typing import NamedTuple

import gevent

from flamingolug import platform
from flamingolug.gateway import _gate
from flamingolug.platform.tests import deployment
from flamingolug_standins import documents

_CALLS = 6
#: Time within which a caller must have an answer; its deadline is 3 s.
_ANSWER_S = 2.0
_MEMORY_MB = 240
_SETTINGS = """\
NodeName = "n"
Ip = "{host}"
Zone = "z1"
InternalPorts = [{link}, {metrics}]
AppAddr = "{host}:{app}"
Service = "shelf"
[ListenAddrs]
Outbound = "{host}:{outbound}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
MemoryMb = {memory}
[Platform]
Address = "{store}"
"""
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
    "empty lines": Case(b"", b"\r\n"),
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

    # Guards against foreign answers without end, each read with the
    # limit of a whole response.
    def test_foreign_answers_in_one_exchange_are_limited(self) -> None:
        nodes = deployment.Deployment(("shelf",), _ROUTES)
        self.addCleanup(nodes.stop)
        (shelf,) = nodes.instances
        cases = {"most": (16, 200), "too many": (17, 502)}
        for name, (foreign_answers, status) in cases.items():
            with self.subTest(name):
                foreign = _FOREIGN * foreign_answers
                shelf.server.rewrite_response = (
                    lambda req, data, foreign=foreign: foreign + data
                )
                response = deployment.send_request(shelf, "read", name, b"POST")
                self.assertEqual(response.status, status)

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


class MemoryTest(unittest.TestCase):
    """Memory of a node process whose backend server sends without end."""

    # Guards against a node that its platform kills because each of its running
    # calls may hold a response of the largest size.
    def test_memory_of_a_node_stays_below_its_limit(self) -> None:
        nodes = deployment.Deployment(("shelf",), _ROUTES)
        self.addCleanup(nodes.stop)
        (shelf,) = nodes.instances
        shelf.server.slots = 40
        shelf.node.close()
        process = self._start_process(shelf, nodes.store.address)
        deployment.wait_until(
            lambda: shelf.server.report() == 200, "the node accepts reports"
        )
        shelf.wait_ready()
        deployment.wait_until(
            lambda: self._send(shelf, "first") == 200, "a call is answered"
        )
        shelf.server.endless = _CASES["body without length"]
        calls = [
            gevent.spawn(self._send, shelf, f"c{index}") for index in range(30)
        ]
        gevent.joinall(calls, raise_error=True)
        self.assertEqual([call.get() for call in calls], [502] * len(calls))
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        self.assertLess(_peak_memory_kb(status), _MEMORY_MB * 1000)

    def _send(self, shelf: deployment.Instance, request_id: str) -> int:
        return deployment.send_request(
            shelf, "read", request_id, b"POST"
        ).status

    def _start_process(
        self, instance: deployment.Instance, store: tuple[str, int]
    ) -> "subprocess.Popen[bytes]":
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "settings.toml"
        cfg = instance.settings
        text = _SETTINGS.format(
            host=instance.host,
            link=cfg.link[1],
            metrics=cfg.link[1] + 10,
            app=cfg.app[1],
            outbound=cfg.outbound[1],
            ready=cfg.ready[1],
            control=cfg.control[1],
            memory=_MEMORY_MB,
            store=f"{store[0]}:{store[1]}",
        )
        path.write_text(text, encoding="utf-8")
        self.assertEqual(
            platform.load_settings(str(path)).memory_bytes,
            _MEMORY_MB * 1_000_000,
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "flamingolug.launcher"],
            env=os.environ | {platform.SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process


def _peak_memory_kb(status: str) -> int:
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError("no VmHWM")
