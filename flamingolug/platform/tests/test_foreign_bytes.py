"""Entries, reports and frames that no node or backend server has written."""

import itertools
import time
import unittest

import gevent
import msgspec
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1
from flamingolug.gateway import _directory
from flamingolug.gateway import _frames
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.platform import _configuration
from flamingolug.platform import _reports
from flamingolug.platform import _store
from flamingolug.platform.tests import deployment
from flamingolug.platform.tests import processes
from flamingolug_standins import documents

_ROUTES = [documents.make_route("read", "shelf")]
_DEEP = b"[" * 100_000 + b"]" * 100_000
_KEY = _directory.PREFIX + "i-odd"


def _entry(**changes: object) -> bytes:
    """Returns a valid entry of upstream `i-odd` with some fields changed."""
    upstream = _model.Upstream(
        id="i-odd",
        service="shelf",
        zone="z1",
        host="127.0.0.9",
        port=9,
        slots=8,
        state=_model.UpstreamState.READY,
        start_time_ms=1,
        sequence=1,
    )
    fields = upstream._asdict() | changes
    # The standard encoder rejects integers of more than 64 bits.
    parts = [
        str(value).encode()
        if isinstance(value, int)
        else value
        if isinstance(value, bytes)
        else msgspec.json.encode(value)
        for value in fields.values()
    ]
    return b"[" + b",".join(parts) + b"]"


_ODD_ENTRIES = {
    "nested deeply": _DEEP,
    "field nested deeply": _entry(zone=_DEEP),
    "further field nested deeply": _entry()[:-1] + b"," + _DEEP + b"]",
    "port too large": _entry(port=70_000),
    "port zero": _entry(port=0),
    "port negative": _entry(port=-1),
    "port of 100 bits": _entry(port=10**30),
    "slots of 1300 bits": _entry(slots=10**400),
    "slots zero": _entry(slots=0),
    "slots negative": _entry(slots=-8),
    "start of 100 bits": _entry(start_time_ms=10**30),
    "start negative": _entry(start_time_ms=-1),
    "sequence of 100 bits": _entry(sequence=10**30),
    "sequence negative": _entry(sequence=-1),
    "number beyond all bounds": _entry(port=b"1e999"),
    "no host": _entry(host=""),
    "host with a null": _entry(host="127.0.0.1\0"),
    "host that is a name": _entry(host="no-such-host"),
    "host that is no text": _entry(host=b"5"),
    "no service": _entry(service=""),
    "no bytes": b"",
    "no text": b"\xff\xfe",
}


class EntryTest(unittest.TestCase):
    # Guards against an entry that names an upstream that can't be called, or
    # that can't be passed on to a peer.
    def test_odd_entry_names_no_upstream(self) -> None:
        self.assertIsNotNone(_directory.decode_entry(_KEY, _entry()))
        for name, value in _ODD_ENTRIES.items():
            with self.subTest(name):
                self.assertIsNone(_directory.decode_entry(_KEY, value))

    # Guards against an odd entry that delays or fails the requests of others,
    # and against a node that no longer follows the list.
    def test_other_upstreams_stay_in_use_beside_odd_entries(self) -> None:
        test_deployment = deployment.Deployment(("front", "shelf"), _ROUTES)
        self.addCleanup(test_deployment.stop)
        front = processes.NodeProcess("front", test_deployment)
        self.addCleanup(front.close)
        for number, value in enumerate(_ODD_ENTRIES.values()):
            upstream_id = f"i-odd{number}"
            test_deployment.store.put(
                _directory.PREFIX + upstream_id,
                value.replace(b"i-odd", upstream_id.encode()),
            )
        gevent.sleep(0.5)
        for number in range(20):
            began_at = time.monotonic()
            status = processes.ask_once(
                front.outbound, b"/read/x", f"beside-{number}"
            )
            self.assertEqual(status, 200)
            self.assertLess(time.monotonic() - began_at, 0.5)
        shelf = test_deployment.instances[1]
        self.assertEqual(shelf.server.report("draining"), 200)
        gevent.sleep(1.0)
        statuses = {
            processes.ask_once(front.outbound, b"/read/x", f"after-{number}")
            for number in range(3)
        }
        self.assertEqual(statuses, {503})
        self.assertIsNone(front.process.poll())


class ReportTest(unittest.TestCase):
    def make_request(self, **changes: object) -> http1.Request:
        fields: dict[str, object] = {
            "Service": "shelf",
            "Slots": 4,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 4,
            "born": 5,
        }
        body = b",".join(
            msgspec.json.encode(name)
            + b":"
            + (
                value
                if isinstance(value, bytes)
                else msgspec.json.encode(value)
            )
            for name, value in (fields | changes).items()
        )
        return http1.Request(
            b"POST",
            b"/v1/instances/i-1/heartbeat",
            [],
            b"{" + body + b"}",
            True,
        )

    # Guards against a report that ends what reads it.
    def test_report_out_of_range_is_none(self) -> None:
        self.assertIsNotNone(
            _reports.decode_report(self.make_request(), "shelf")
        )
        large = b"1" + b"0" * 30
        cases: dict[str, dict[str, object]] = {
            "nested deeply": {"Zone": _DEEP},
            "slots of 100 bits": {"Slots": large},
            "sequence of 100 bits": {"Sequence": large},
            "sequence negative": {"Sequence": -1},
            "start of 100 bits": {"born": large},
            "start negative": {"born": -1},
            "warm-up of centuries": {"ColdRemainingMs": large},
            "warm-up negative": {"ColdRemainingMs": -1},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                req = self.make_request(**changes)
                self.assertIsNone(_reports.decode_report(req, "shelf"))

    # Guards against a node that no longer announces its upstream.
    def test_upstream_is_announced_after_an_odd_report(self) -> None:
        test_deployment = deployment.Deployment(("shelf",), _ROUTES)
        self.addCleanup(test_deployment.stop)
        shelf = test_deployment.instances[0]
        odd = self.make_request(born=b"1" + b"0" * 30)
        shelf.server.post("heartbeat", odd.body)
        gevent.sleep(0.2)
        self.assertEqual(shelf.server.report("draining"), 200)
        key = _directory.PREFIX + shelf.server.id
        stored = test_deployment.store.get(key)
        assert stored is not None
        self.assertIn(b"draining", stored)

    def test_id_that_is_no_key_names_no_upstream(self) -> None:
        for upstream_id in ("i" * 200, "i%00", "i\xe9"):
            with self.subTest(upstream_id[:5]):
                target = f"/v1/instances/{upstream_id}/deregister"
                req = http1.Request(
                    b"POST", target.encode("latin-1"), [], b"", True
                )
                self.assertIsNone(_reports.decode_leave(req))


class ConfigurationTest(unittest.TestCase):
    # Guards against a document that ends the watch that reads it.
    def test_deeply_nested_document_is_a_configuration_error(self) -> None:
        document = (
            b'{"Version":"r9","Resources":[{"ResourceType":"Routes","Spec":'
            + _DEEP
            + b"}]}"
        )
        with self.assertRaises(errors.ConfigurationError):
            _configuration.decode_configuration(document)


class StoreTest(unittest.TestCase):
    # Guards against a response of another form that ends the task that reads.
    def test_response_of_another_form_counts_as_unavailable(self) -> None:
        host = deployment.next_host()
        bodies = {
            "no object": b"[]",
            "no fields": b"{}",
            "no revision": b'{"items":[{"Key":"k"}],"AsOf":1}',
            "revision of another type": b'{"items":[],"AsOf":[]}',
            "value that is not base64": b'{"items":[{"Key":"k","Value":"!",'
            b'"Revision":1}],"AsOf":1}',
            "nested deeply": _DEEP,
        }
        answers: list[bytes] = []
        server = gevent_server.StreamServer(
            http1.listen(host, deployment._BASE_PORT + 26),
            lambda sock, peer: http1.serve_connection(
                sock, peer, lambda req: (200, [], answers[0])
            ),
        )
        server.start()
        self.addCleanup(server.stop)
        client = _store.PlatformStore(
            (host, deployment._BASE_PORT + 26), lambda name: None
        )
        for name, body in bodies.items():
            with self.subTest(name):
                answers[:] = [body]
                with self.assertRaises(errors.StoreUnavailableError):
                    client.read("k")


class LinkTest(unittest.TestCase):
    """The calling side of a link whose peer sends what no node sends."""

    # Guards against a link that stays in use after its reader has ended.
    def test_link_ends_with_a_frame_of_another_form(self) -> None:
        load = _frames.LoadFrame(0, 1, [], 0, 0, 0)
        frames = {
            "unknown verdict": _frames.encode(
                _frames.ResultFrame(1, 99, "", True, False, load)
            ),
            "nested deeply": b"\x00\x01\x00\x00" + b"\x91" * 65536,
            "no message": b"\x00\x00\x00\x02\xc1\xc1",
        }
        for name, data in frames.items():
            with self.subTest(name):
                self.assertEqual(self.call(data), "link-lost")

    def call(self, data: bytes) -> str:
        """Returns the reason for the outcome of a call answered by `data`."""

        def serve(sock: gevent_socket.socket, peer: object) -> None:
            del peer
            sock.recv(65536)
            sock.sendall(data)
            gevent.sleep(60.0)

        host = deployment.next_host()
        server = gevent_server.StreamServer((host, 0), serve)
        server.start()
        self.addCleanup(server.stop)
        test_deployment = deployment.Deployment(("front",), _ROUTES)
        self.addCleanup(test_deployment.stop)
        port = server.server_port
        assert port is not None
        links = test_deployment.instances[0].node.parts.get(
            "gateway.links", _link.Links
        )
        link = links.link_to((host, port), 1.0)
        now = time.monotonic()
        pending = link.call(
            _model.Call(
                "id",
                "i-1",
                "front",
                b"GET",
                b"/",
                [],
                b"",
                now + 5.0,
                now,
                1,
                True,
                "read",
            )
        )
        outcome = pending.result.get(timeout=1.0)
        assert outcome is not None
        return outcome.reason


class DeadlineTest(unittest.TestCase):
    # Guards against a request that fails since its deadline is no float.
    def test_request_with_a_deadline_of_any_length_is_served(self) -> None:
        test_deployment = deployment.Deployment(("shelf",), _ROUTES)
        self.addCleanup(test_deployment.stop)
        address = test_deployment.instances[0].settings.outbound
        for digits in (12, 400, 5000):
            with self.subTest(digits=digits):
                caller = processes.Caller(address)
                self.addCleanup(caller.close)
                caller.send_bytes(
                    deployment.make_request("read", f"d{digits}").replace(
                        b"3000", b"9" * digits
                    )
                )
                answers = caller.read()
                self.assertEqual([each.status for each in answers], [200])


class StatusTest(unittest.TestCase):
    """Answers of a backend server whose status HTTP does not have."""

    # Guards against an answer with status 000, which held the request and its
    # slot until the deadline, and against one that is passed on as an answer.
    def test_answer_with_an_impossible_status_is_no_answer(self) -> None:
        test_deployment = deployment.Deployment(
            ("front", "shelf"),
            [documents.make_route("read", "shelf", Kind="non_idempotent")],
        )
        self.addCleanup(test_deployment.stop)
        front, shelf = test_deployment.instances
        gate = shelf.node.parts.get("gateway.gate", _gate.Gate)

        def rewrite(status: bytes, is_framed: bool) -> None:
            def change(req: http1.Request, data: bytes) -> bytes:
                del req
                data = data.replace(b"200 OK", status + b" OK")
                if is_framed:
                    return data
                return data.replace(b"content-length", b"x-length")

            shelf.server.rewrite_response = change

        cases = itertools.product(
            (b"000", b"001", b"099", b"600", b"999"), (True, False)
        )
        for status, is_framed in cases:
            name = f"s{status.decode()}-{is_framed}"
            with self.subTest(name):
                # A server without recent reports gets no calls.
                shelf.server.report()
                rewrite(status, is_framed)
                began_at = time.monotonic()
                answer = deployment.send_request(front, "read", name, b"POST")
                self.assertEqual(answer.status, 502)
                self.assertLess(time.monotonic() - began_at, 1.0)
                self.assertEqual(gate.slots.running, 0)
                self.assertEqual(shelf.server.executed_ids.count(name), 1)
        shelf.server.report()
        shelf.server.rewrite_response = None
        sound = deployment.send_request(front, "read", "sound", b"POST")
        self.assertEqual(sound.body, b"body of sound")


class ConnectTest(unittest.TestCase):
    # Guards against an exception that callers of a connection don't expect.
    def test_address_that_is_none_can_not_be_opened(self) -> None:
        for address in (("127.0.0.1", 70_000), ("127.0.0.1\0", 80)):
            with self.subTest(address), self.assertRaises(OSError):
                http1.open_stream(*address, timeout_s=0.5)
