"""The whole path: callers, two nodes, backend servers and the store."""

import logging
import unittest
from collections.abc import Callable

import gevent

from flamingolug import errors
from flamingolug import http1
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _gate
from flamingolug.platform.tests import deployment
from flamingolug_standins import documents

_ROUTES = [
    documents.make_route("read", "shelf"),
    documents.make_route("pay", "till", Kind="non_idempotent"),
]


class PathTest(unittest.TestCase):
    """One deployment for all cases; each uses request ids of its own."""

    fleet: deployment.Deployment

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = deployment.Deployment(("front", "shelf", "till"), _ROUTES)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.fleet.stop()

    def setUp(self) -> None:
        self.front, self.shelf, self.till = self.fleet.machines
        for machine in self.fleet.machines:
            machine.server.refuse = False
            machine.server.fail = False
            machine.server.answer = None
            machine.server.service_s = 0.005

    def test_an_answer_comes_whole_with_seal_and_id(self) -> None:
        response = deployment.ask(self.front, "read", "a1")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b"body of a1")
        self.assertEqual(response.header(b"x-response-seal"), b"seal-a1")
        self.assertEqual(response.header(b"x-attempt-id"), b"a1")
        self.assertEqual(response.header(b"x-server-load"), b"")

    def test_the_upstream_sees_caller_instance_and_time_left(self) -> None:
        deployment.ask(self.front, "read", "b1")
        seen = self.shelf.server.seen[-1]
        self.assertEqual(seen.header(b"x-caller-service"), b"front")
        self.assertEqual(
            seen.header(b"x-expected-instance").decode(), self.shelf.server.id
        )
        left_ms = int(seen.header(b"x-deadline-ms"))
        self.assertGreater(left_ms, 0)
        self.assertLessEqual(left_ms, 1500)

    def test_pipelined_answers_come_in_order(self) -> None:
        conn = self.front.connect()
        names = [f"c{number}" for number in range(6)]
        conn.send(b"".join(deployment.request("read", each) for each in names))
        got = b""
        while got.count(b"body of") < len(names):
            got += conn._stream.recv(65536)
        order = [got.index(f"body of {each}".encode()) for each in names]
        self.assertEqual(order, sorted(order))
        conn.close()

    def test_a_chunked_request_body_arrives_whole(self) -> None:
        conn = self.front.connect()
        conn.send(
            b"POST /pay/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"x-attempt-id: d1\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(conn.receive(False, 4096).status, 200)
        self.assertEqual(self.till.server.seen[-1].body, b"abcde")
        conn.close()

    def test_unknown_routes_get_404_and_missing_ids_400(self) -> None:
        cases = {
            "no route": (deployment.request("none", "e1"), 404),
            "no id": (
                b"GET /read/x HTTP/1.1\r\nhost: shop.example\r\n\r\n",
                400,
            ),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                conn = self.front.connect()
                conn.send(data)
                self.assertEqual(conn.receive(False, 4096).status, status)
                conn.close()

    def test_a_refusal_says_when_to_return(self) -> None:
        self.till.server.refuse = True
        response = deployment.ask(self.front, "pay", "f1", b"POST")
        self.assertEqual(response.status, 503)
        delay_s = float(response.header(b"retry-after"))
        self.assertGreater(delay_s, 0.0)
        self.assertLessEqual(delay_s, 1.0)
        self.assertNotIn("f1", self.till.server.ran)

    def test_a_lost_answer_of_unrepeatable_work_is_unknown(self) -> None:
        self.till.server.answer = _cut_and_close(self.till)
        response = deployment.ask(self.front, "pay", "g1", b"POST")
        self.assertIn(response.status, (502, 504))
        self.assertEqual(self.till.server.ran.count("g1"), 1)

    def test_an_answer_to_another_request_is_not_delivered(self) -> None:
        foreign = http1.format_response(
            200,
            [(b"x-attempt-id", b"other"), (b"x-response-seal", b"s")],
            b"not yours",
            False,
        )
        self.shelf.server.answer = lambda req, data: foreign + data
        response = deployment.ask(self.front, "read", "h1")
        self.assertEqual(response.body, b"body of h1")

    def test_an_unsealed_success_is_not_delivered(self) -> None:
        self.till.server.answer = lambda req, data: data.replace(
            b"x-response-seal", b"x-other"
        )
        response = deployment.ask(self.front, "pay", "i1", b"POST")
        self.assertEqual(response.status, 502)

    def test_bytes_behind_an_answer_close_the_connection(self) -> None:
        self.shelf.server.answer = lambda req, data: data + b"stray"
        self.assertEqual(
            deployment.ask(self.front, "read", "j1").body, b"body of j1"
        )
        self.shelf.server.answer = None
        self.assertEqual(
            deployment.ask(self.front, "read", "j2").body, b"body of j2"
        )

    def test_a_leaving_caller_stops_its_work(self) -> None:
        self.shelf.server.service_s = 60.0
        gate = self.shelf.node.parts.get("gateway.gate", _gate.Gate)
        conn = self.front.connect()
        conn.send(deployment.request("read", "k1"))
        deployment.wait_until(lambda: gate.busy, "the call runs")
        conn.close()
        deployment.wait_until(lambda: not gate.busy, "the call is given up")

    def test_a_route_timeout_is_kept(self) -> None:
        self.shelf.server.service_s = 60.0
        response = deployment.ask(self.front, "read", "l1")
        self.assertEqual(response.status, 504)


def _cut_and_close(
    machine: deployment.Machine,
) -> Callable[[http1.Request, bytes], bytes]:
    def answer(req: http1.Request, data: bytes) -> bytes:
        del req
        machine.server.answer = None
        raise OSError("answer lost")

    return answer


class LeavingTest(unittest.TestCase):
    """Upstreams that drain, leave, return or lie."""

    def setUp(self) -> None:
        self.fleet = deployment.Deployment(("front", "shelf"), _ROUTES)
        self.front, self.shelf = self.fleet.machines

    def tearDown(self) -> None:
        self.fleet.stop()

    def test_no_work_after_a_drain_is_acknowledged(self) -> None:
        for action in ("drain", "leave"):
            with self.subTest(action):
                before = len(self.shelf.server.seen)
                if action == "drain":
                    self.assertEqual(self.shelf.server.report("draining"), 200)
                else:
                    self.assertEqual(self.shelf.server.leave(), 200)
                response = deployment.ask(self.front, "read", f"m-{action}")
                self.assertEqual(response.status, 503)
                self.assertEqual(len(self.shelf.server.seen), before)

    def test_a_late_report_does_not_undo_a_leave(self) -> None:
        self.shelf.server.leave()
        self.shelf.server.report("ready")
        response = deployment.ask(self.front, "read", "n1")
        self.assertEqual(response.status, 503)

    def test_a_run_that_drains_does_not_come_back(self) -> None:
        self.shelf.server.report("draining")
        self.shelf.server.report("ready")
        response = deployment.ask(self.front, "read", "n2")
        self.assertEqual(response.status, 503)
        self.assertNotIn("n2", self.shelf.server.ran)

    def test_a_run_after_a_leave_counts_though_the_clock_went_back(
        self,
    ) -> None:
        server = self.shelf.server
        server.leave()
        server.id += "-next"
        server.start_time_ms -= 120_000
        server.sequence = 0
        self.assertEqual(server.report(), 200)
        deployment.wait_until(
            lambda: deployment.ask(self.front, "read", "n3").status == 200,
            "the next run serves",
        )

    def test_a_leave_holds_while_the_store_is_away(self) -> None:
        self.fleet.store.down = True
        self.assertEqual(self.shelf.server.report("draining"), 200)
        before = len(self.shelf.server.seen)
        deployment.ask(self.front, "read", "o1")
        self.assertEqual(len(self.shelf.server.seen), before)

    def test_a_forged_report_hides_nobody(self) -> None:
        cases = {
            "other service": b'{"Service":"x","Slots":4,"State":"ready",'
            b'"Sequence":99,"born":1}',
            "not json": b"\xff\xfe",
            "wrong types": b'{"Service":1,"Slots":"a","State":[]}',
            "unknown state": b'{"Service":"shelf","Slots":4,"State":"odd",'
            b'"Sequence":99,"born":1}',
        }
        for name, body in cases.items():
            with self.subTest(name):
                self.shelf.server.post("heartbeat", body)
                response = deployment.ask(self.front, "read", f"p-{name[:3]}")
                self.assertEqual(response.status, 200)

    def test_a_forged_entry_hides_nobody(self) -> None:
        store = self.fleet.store
        store.put("fl/upstreams/i-forged", b"\xff not json")
        store.put("fl/upstreams/i-odd", b'{"id":"i-odd","service":5}')
        gevent.sleep(0.2)
        self.assertEqual(deployment.ask(self.front, "read", "q1").status, 200)

    def test_entries_are_back_after_leases_lapse(self) -> None:
        store = self.fleet.store
        key = f"fl/upstreams/{self.shelf.server.id}"
        store.drop_leases()
        self.assertIsNone(store.get(key))
        deployment.wait_until(
            lambda: store.get(key) is not None, "entry is back"
        )
        self.assertEqual(deployment.ask(self.front, "read", "r1").status, 200)

    def test_another_upstream_at_the_address_runs_nothing(self) -> None:
        self.shelf.server.id = "i-another"
        response = deployment.ask(self.front, "read", "s1")
        self.assertEqual(response.status, 503)
        self.assertNotIn("s1", self.shelf.server.ran)


class LogsTest(unittest.TestCase):
    """Failed requests can be explained from the lines of all nodes."""

    def setUp(self) -> None:
        self.fleet = deployment.Deployment(("front", "shelf", "till"), _ROUTES)
        self.front, self.shelf, self.till = self.fleet.machines
        # The test run switches logs off.
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.root.manager.disable)

    def tearDown(self) -> None:
        self.fleet.stop()

    def _lines_of(self, request_id: str, name: str) -> list[str]:
        """Sends a request; returns the lines that carry its id."""
        method = b"POST" if name == "pay" else b"GET"
        with self.assertLogs("flamingolug.gateway") as logs:
            deployment.ask(self.front, name, request_id, method)
        lines = [record.getMessage() for record in logs.records]
        return [line for line in lines if f"id={request_id} " in line]

    def test_each_failure_leaves_its_decisions(self) -> None:
        cases: dict[str, tuple[str, Callable[[], None], tuple[str, ...]]] = {
            "refused under load": (
                "pay",
                self._refuse,
                (
                    "event=gate.unanswered .*reason=upstream-refused .*limit=",
                    "event=request.refused .*status=503 .*final=",
                ),
            ),
            "tried again, then failed": (
                "read",
                self._fail,
                ("event=request.answered .*status=500 .*arrivals=1",),
            ),
            "lost at the upstream": (
                "pay",
                self._lose,
                (
                    "event=upstream.lost .*upstream=",
                    "event=gate.unanswered .*verdict=unknown",
                    "event=request.failed .*status=502 .*final=not-idempotent",
                ),
            ),
            "another upstream came": (
                "read",
                self._replace,
                (
                    "event=gate.unanswered .*reason=not-here",
                    "event=request.retried|event=request.refused",
                ),
            ),
        }
        for number, (name, case) in enumerate(cases.items()):
            route, cause, expected = case
            with self.subTest(name):
                cause()
                lines = "\n".join(self._lines_of(f"log{number}", route))
                for pattern in expected:
                    self.assertRegex(lines, pattern)
                self.till.server.refuse = False
                self.till.server.answer = None
                self.shelf.server.fail = False

    def _refuse(self) -> None:
        self.till.server.refuse = True

    def _fail(self) -> None:
        self.shelf.server.fail = True

    def _lose(self) -> None:
        self.till.server.answer = _cut_and_close(self.till)

    def _replace(self) -> None:
        self.shelf.server.id = "i-another"


class ConfigurationTest(unittest.TestCase):
    """The configuration in force."""

    def setUp(self) -> None:
        self.fleet = deployment.Deployment(("front", "shelf"), _ROUTES)
        self.front, self.shelf = self.fleet.machines

    def tearDown(self) -> None:
        self.fleet.stop()

    def _put(self, version: int, name: str) -> None:
        routes = [documents.make_route(name, "shelf")]
        self.fleet.store.put(
            "op/config", documents.make_document(version, routes)
        )

    def _wait_for(self, version: int) -> None:
        watcher = self.front.node.parts.get(
            "gateway.holder", _configuration_watcher.ConfigurationWatcher
        )
        deployment.wait_until(
            lambda: watcher.version == version, f"version {version} in force"
        )

    def test_a_newer_version_is_in_force_and_an_older_one_never(self) -> None:
        self._put(9, "fresh")
        self._wait_for(9)
        self.assertEqual(deployment.ask(self.front, "fresh", "t1").status, 200)
        self._put(8, "stale")
        self._put(10, "fresh")
        self._wait_for(10)
        self.assertEqual(deployment.ask(self.front, "fresh", "t2").status, 200)
        self.assertEqual(deployment.ask(self.front, "stale", "t3").status, 404)

    def test_a_version_arrives_after_history_was_lost(self) -> None:
        self.fleet.store.forget_history()
        self._put(12, "later")
        self._wait_for(12)
        self.assertEqual(deployment.ask(self.front, "later", "u1").status, 200)

    def test_the_fleet_serves_while_the_store_is_away(self) -> None:
        self.fleet.store.down = True
        gevent.sleep(0.7)
        self.assertEqual(deployment.ask(self.front, "read", "v1").status, 200)


class RestartTest(unittest.TestCase):
    """A node that starts again while the store is away."""

    def test_a_restarted_node_learns_from_its_peers(self) -> None:
        fleet = deployment.Deployment(
            ("front", "shelf"),
            [*_ROUTES, documents.make_route("home", "front")],
        )
        front, shelf = fleet.machines
        fleet.store.down = True
        front.restart_node()
        front.server.report()

        def serves_again() -> bool:
            # Opens the link over which the restarted node asks.
            deployment.ask(shelf, "home", "x0")
            return deployment.ask(front, "read", "x1").status == 200

        deployment.wait_until(serves_again, "the restarted node serves")
        fleet.stop()


class StopTest(unittest.TestCase):
    """A planned stop of a node."""

    def test_a_stop_interrupts_nothing(self) -> None:
        fleet = deployment.Deployment(("front", "shelf"), _ROUTES)
        front, shelf = fleet.machines
        shelf.server.service_s = 0.3
        conn = front.connect()
        conn.send(deployment.request("read", "w1"))
        gevent.sleep(0.05)
        stopping = gevent.spawn(front.node.stop)
        gevent.sleep(0.05)
        self.assertEqual(front.ask_ready(), 503)
        response = conn.receive(False, 4096)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header(b"connection"), b"close")
        conn.close()
        self.assertEqual(deployment.ask(front, "read", "w2").status, 200)
        stopping.join()
        with self.assertRaises(errors.BackendError):
            front.connect()
        fleet.stop()
