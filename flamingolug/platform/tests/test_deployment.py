"""Requests, reports, logs, configuration, restart and stop in a deployment."""

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


def _put_before(extra: bytes) -> Callable[[http1.Request, bytes], bytes]:
    """Returns a function that puts bytes in front of each response."""
    return lambda req, data: extra + data


class RequestTest(unittest.TestCase):
    """Tests that share one deployment; each uses its own request ids."""

    deployment: deployment.Deployment

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = deployment.Deployment(
            ("front", "shelf", "till"), _ROUTES
        )

    @classmethod
    def tearDownClass(cls) -> None:
        cls.deployment.stop()

    def setUp(self) -> None:
        self.front, self.shelf, self.till = self.deployment.instances
        for instance in self.deployment.instances:
            instance.server.refuse = False
            instance.server.fail = False
            instance.server.rewrite_response = None
            instance.server.closing = False
            instance.server.service_s = 0.005

    def test_response_has_body_seal_and_request_id_but_no_load_header(
        self,
    ) -> None:
        response = deployment.send_request(self.front, "read", "a1")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b"body of a1")
        self.assertEqual(response.header(b"x-response-seal"), b"seal-a1")
        self.assertEqual(response.header(b"x-attempt-id"), b"a1")
        self.assertEqual(response.header(b"x-server-load"), b"")

    def test_upstream_receives_caller_instance_and_remaining_time(self) -> None:
        deployment.send_request(self.front, "read", "b1")
        request = self.shelf.server.received_requests[-1]
        self.assertEqual(request.header(b"x-caller-service"), b"front")
        self.assertEqual(
            request.header(b"x-expected-instance").decode(),
            self.shelf.server.id,
        )
        remaining_ms = int(request.header(b"x-deadline-ms"))
        self.assertGreater(remaining_ms, 0)
        self.assertLessEqual(remaining_ms, 1500)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        conn = self.front.connect()
        request_ids = [f"c{number}" for number in range(6)]
        conn.send(
            b"".join(
                deployment.make_request("read", each) for each in request_ids
            )
        )
        received = b""
        while received.count(b"body of") < len(request_ids):
            received += conn._stream.recv(65536)
        order = [
            received.index(f"body of {each}".encode()) for each in request_ids
        ]
        self.assertEqual(order, sorted(order))
        conn.close()

    def test_chunked_request_body_is_forwarded_completely(self) -> None:
        conn = self.front.connect()
        conn.send(
            b"POST /pay/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"x-attempt-id: d1\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(conn.receive(False, 4096).status, 200)
        self.assertEqual(self.till.server.received_requests[-1].body, b"abcde")
        conn.close()

    def test_unknown_route_gets_404_and_missing_id_gets_400(self) -> None:
        cases = {
            "no route": (deployment.make_request("none", "e1"), 404),
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

    def test_refusal_has_a_retry_after_header(self) -> None:
        self.till.server.refuse = True
        response = deployment.send_request(self.front, "pay", "f1", b"POST")
        self.assertEqual(response.status, 503)
        delay_s = float(response.header(b"retry-after"))
        self.assertGreater(delay_s, 0.0)
        self.assertLessEqual(delay_s, 1.0)
        self.assertNotIn("f1", self.till.server.executed_ids)

    # Guards against refusals at the entry of requests that waste no work.
    def test_refusals_of_the_upstream_do_not_lower_admission(self) -> None:
        self.till.server.refuse = True
        for number in range(60):
            deployment.send_request(self.front, "pay", f"x{number}", b"POST")
            gevent.sleep(0.03)
        self.till.server.refuse = False
        # The upstream is ejected for a moment after it has refused a call.
        statuses = [
            deployment.send_request(
                self.front, "pay", f"y{number}", b"POST"
            ).status
            for number in range(20)
        ]
        self.assertEqual(statuses, [200] * 20)

    def test_lost_answer_of_a_non_idempotent_call_is_not_retried(self) -> None:
        self.till.server.rewrite_response = _make_answer_loss(self.till)
        response = deployment.send_request(self.front, "pay", "g1", b"POST")
        self.assertIn(response.status, (502, 504))
        self.assertEqual(self.till.server.executed_ids.count("g1"), 1)

    def test_answer_to_another_request_is_not_delivered(self) -> None:
        foreign = http1.format_response(
            200,
            [(b"x-attempt-id", b"other"), (b"x-response-seal", b"s")],
            b"not yours",
            False,
        )
        self.shelf.server.rewrite_response = lambda req, data: foreign + data
        response = deployment.send_request(self.front, "read", "h1")
        self.assertEqual(response.body, b"body of h1")

    # Guards against a second run, or a false "not run", after a refusal that a
    # faulty upstream writes once more.
    def test_earlier_refusal_is_no_answer_to_the_next_request(self) -> None:
        not_run = (b"x-not-executed", b"1")
        cases = {"with its id": [(b"x-attempt-id", b"p1")], "without id": []}
        for number, (name, id_headers) in enumerate(cases.items()):
            with self.subTest(name):
                refusal = http1.format_response(
                    503, [*id_headers, not_run], b"", False
                )
                self.till.server.rewrite_response = None
                deployment.send_request(
                    self.front, "pay", f"p{number}0", b"POST"
                )
                self.till.server.rewrite_response = _put_before(refusal)
                request_id = f"p{number}1"
                response = deployment.send_request(
                    self.front, "pay", request_id, b"POST"
                )
                self.assertEqual(response.status, 200)
                self.assertEqual(
                    response.body, f"body of {request_id}".encode()
                )
                self.assertEqual(
                    self.till.server.executed_ids.count(request_id), 1
                )

    # Guards against a short answer that is framed as a complete one.
    def test_answer_that_ends_in_its_head_or_body_is_not_delivered(
        self,
    ) -> None:
        self.till.server.closing = True
        sizes: list[int] = []

        def cut(req: http1.Request, data: bytes) -> bytes:
            del req
            return data[: sizes[-1]]

        self.till.server.rewrite_response = cut
        # The beginning of the status line, its end, within fields, before the
        # empty line, within the body.
        for size in (5, 17, 30, 60, -16, -14, -12, -1):
            with self.subTest(size=size):
                sizes.append(size)
                request_id = f"q{len(sizes)}"
                response = deployment.send_request(
                    self.front, "pay", request_id, b"POST"
                )
                self.assertEqual(response.status, 502)
                self.assertEqual(
                    self.till.server.executed_ids.count(request_id), 1
                )

    def test_success_without_seal_is_not_delivered(self) -> None:
        self.till.server.rewrite_response = lambda req, data: data.replace(
            b"x-response-seal", b"x-other"
        )
        response = deployment.send_request(self.front, "pay", "i1", b"POST")
        self.assertEqual(response.status, 502)

    def test_bytes_after_a_response_do_not_reach_the_next_request(self) -> None:
        self.shelf.server.rewrite_response = lambda req, data: data + b"stray"
        self.assertEqual(
            deployment.send_request(self.front, "read", "j1").body,
            b"body of j1",
        )
        self.shelf.server.rewrite_response = None
        self.assertEqual(
            deployment.send_request(self.front, "read", "j2").body,
            b"body of j2",
        )

    def test_call_is_cancelled_when_its_caller_disconnects(self) -> None:
        self.shelf.server.service_s = 60.0
        gate = self.shelf.node.parts.get("gateway.gate", _gate.Gate)
        conn = self.front.connect()
        conn.send(deployment.make_request("read", "k1"))
        deployment.wait_until(lambda: gate.busy, "the call runs")
        conn.close()
        deployment.wait_until(lambda: not gate.busy, "the call is cancelled")

    def test_slow_call_ends_at_the_route_timeout(self) -> None:
        self.shelf.server.service_s = 60.0
        response = deployment.send_request(self.front, "read", "l1")
        self.assertEqual(response.status, 504)


def _make_answer_loss(
    instance: deployment.Instance,
) -> Callable[[http1.Request, bytes], bytes]:
    """Returns a `rewrite_response` callback that loses one response.

    It removes itself and raises OSError, so that no response is sent.
    """

    def answer(req: http1.Request, data: bytes) -> bytes:
        del req
        instance.server.rewrite_response = None
        raise OSError("answer lost")

    return answer


class LeavingTest(unittest.TestCase):
    """Upstreams that drain, leave or return, and invalid reports or entries."""

    def setUp(self) -> None:
        self.deployment = deployment.Deployment(("front", "shelf"), _ROUTES)
        self.front, self.shelf = self.deployment.instances

    def tearDown(self) -> None:
        self.deployment.stop()

    def test_no_call_runs_after_an_acknowledged_drain_or_leave(self) -> None:
        for action in ("drain", "leave"):
            with self.subTest(action):
                before = len(self.shelf.server.received_requests)
                if action == "drain":
                    self.assertEqual(self.shelf.server.report("draining"), 200)
                else:
                    self.assertEqual(self.shelf.server.deregister(), 200)
                response = deployment.send_request(
                    self.front, "read", f"m-{action}"
                )
                self.assertEqual(response.status, 503)
                self.assertEqual(
                    len(self.shelf.server.received_requests), before
                )

    def test_report_after_a_leave_is_ignored(self) -> None:
        self.shelf.server.deregister()
        self.shelf.server.report("ready")
        response = deployment.send_request(self.front, "read", "n1")
        self.assertEqual(response.status, 503)

    def test_ready_report_after_draining_is_ignored(self) -> None:
        self.shelf.server.report("draining")
        self.shelf.server.report("ready")
        response = deployment.send_request(self.front, "read", "n2")
        self.assertEqual(response.status, 503)
        self.assertNotIn("n2", self.shelf.server.executed_ids)

    def test_new_incarnation_after_a_leave_serves_despite_an_earlier_start(
        self,
    ) -> None:
        """The clock of the host may have been set back in between."""
        server = self.shelf.server
        server.deregister()
        server.id += "-next"
        server.start_time_ms -= 120_000
        server.sequence = 0
        self.assertEqual(server.report(), 200)
        deployment.wait_until(
            lambda: (
                deployment.send_request(self.front, "read", "n3").status == 200
            ),
            "the next incarnation serves",
        )

    def test_drain_takes_effect_while_the_store_is_down(self) -> None:
        self.deployment.store.down = True
        # Not acknowledged, since no record can be written.
        self.assertEqual(self.shelf.server.report("draining"), 503)
        before = len(self.shelf.server.received_requests)
        deployment.send_request(self.front, "read", "o1")
        self.assertEqual(len(self.shelf.server.received_requests), before)

    def test_upstream_stays_in_use_after_an_invalid_report(self) -> None:
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
                response = deployment.send_request(
                    self.front, "read", f"p-{name[:3]}"
                )
                self.assertEqual(response.status, 200)

    def test_upstreams_stay_in_use_when_the_store_has_invalid_entries(
        self,
    ) -> None:
        store = self.deployment.store
        store.put("fl/upstreams/i-forged", b"\xff not json")
        store.put("fl/upstreams/i-odd", b'{"id":"i-odd","service":5}')
        gevent.sleep(0.2)
        self.assertEqual(
            deployment.send_request(self.front, "read", "q1").status, 200
        )

    def test_entry_is_written_again_after_its_lease_expired(self) -> None:
        store = self.deployment.store
        key = f"fl/upstreams/{self.shelf.server.id}"
        store.end_all_leases()
        self.assertIsNone(store.get(key))
        deployment.wait_until(
            lambda: store.get(key) is not None, "the entry is written again"
        )
        self.assertEqual(
            deployment.send_request(self.front, "read", "r1").status, 200
        )

    def test_call_does_not_run_on_another_upstream_at_the_address(self) -> None:
        self.shelf.server.id = "i-another"
        response = deployment.send_request(self.front, "read", "s1")
        self.assertEqual(response.status, 503)
        self.assertNotIn("s1", self.shelf.server.executed_ids)


class LogsTest(unittest.TestCase):
    """The logs of all nodes explain failed requests."""

    def setUp(self) -> None:
        self.deployment = deployment.Deployment(
            ("front", "shelf", "till"), _ROUTES
        )
        self.front, self.shelf, self.till = self.deployment.instances
        # The test run disables logging.
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.root.manager.disable)

    def tearDown(self) -> None:
        self.deployment.stop()

    def _send_and_collect_log_lines(
        self, request_id: str, route: str
    ) -> list[str]:
        """Sends a request; returns the log lines that contain its id."""
        method = b"POST" if route == "pay" else b"GET"
        with self.assertLogs("flamingolug.gateway") as logs:
            deployment.send_request(self.front, route, request_id, method)
        lines = [record.getMessage() for record in logs.records]
        return [line for line in lines if f"id={request_id} " in line]

    def test_each_failure_is_logged_with_its_decisions(self) -> None:
        cases: dict[str, tuple[str, Callable[[], None], tuple[str, ...]]] = {
            "refused under load": (
                "pay",
                self._refuse,
                (
                    "event=gate.unanswered .*reason=upstream-refused .*limit=",
                    "event=request.refused .*status=503 .*final=",
                ),
            ),
            "failed at the upstream": (
                "read",
                self._fail,
                ("event=request.answered .*status=500 .*arrivals=1",),
            ),
            "lost at the upstream": (
                "pay",
                self._lose_answer,
                (
                    "event=upstream.lost .*upstream=",
                    "event=gate.unanswered .*verdict=unknown",
                    "event=request.failed .*status=502 .*final=not-idempotent",
                ),
            ),
            "another upstream at the address": (
                "read",
                self._change_upstream_id,
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
                lines = "\n".join(
                    self._send_and_collect_log_lines(f"log{number}", route)
                )
                for pattern in expected:
                    self.assertRegex(lines, pattern)
                self.till.server.refuse = False
                self.till.server.rewrite_response = None
                self.shelf.server.fail = False

    def _refuse(self) -> None:
        self.till.server.refuse = True

    def _fail(self) -> None:
        self.shelf.server.fail = True

    def _lose_answer(self) -> None:
        self.till.server.rewrite_response = _make_answer_loss(self.till)

    def _change_upstream_id(self) -> None:
        self.shelf.server.id = "i-another"


class ConfigurationTest(unittest.TestCase):
    """Updates of the configuration, lost history, and a store that is down."""

    def setUp(self) -> None:
        self.deployment = deployment.Deployment(("front", "shelf"), _ROUTES)
        self.front, self.shelf = self.deployment.instances

    def tearDown(self) -> None:
        self.deployment.stop()

    def _put(self, version: int, route: str) -> None:
        routes = [documents.make_route(route, "shelf")]
        self.deployment.store.put(
            "op/config", documents.make_document(version, routes)
        )

    def _wait_for(self, version: int) -> None:
        watcher = self.front.node.parts.get(
            "gateway.holder", _configuration_watcher.ConfigurationWatcher
        )
        deployment.wait_until(
            lambda: watcher.version == version, f"version {version} is active"
        )

    def test_newer_version_is_applied_and_older_one_is_ignored(self) -> None:
        self._put(9, "fresh")
        self._wait_for(9)
        self.assertEqual(
            deployment.send_request(self.front, "fresh", "t1").status, 200
        )
        self._put(8, "stale")
        self._put(10, "fresh")
        self._wait_for(10)
        self.assertEqual(
            deployment.send_request(self.front, "fresh", "t2").status, 200
        )
        self.assertEqual(
            deployment.send_request(self.front, "stale", "t3").status, 404
        )

    def test_new_version_is_applied_after_the_store_lost_its_history(
        self,
    ) -> None:
        self.deployment.store.drop_history()
        self._put(12, "later")
        self._wait_for(12)
        self.assertEqual(
            deployment.send_request(self.front, "later", "u1").status, 200
        )

    def test_requests_are_served_while_the_store_is_down(self) -> None:
        self.deployment.store.down = True
        gevent.sleep(0.7)
        self.assertEqual(
            deployment.send_request(self.front, "read", "v1").status, 200
        )


class RestartTest(unittest.TestCase):
    """Restart of a node while the store is down."""

    def test_restarted_node_gets_configuration_and_entries_from_its_peers(
        self,
    ) -> None:
        test_deployment = deployment.Deployment(
            ("front", "shelf"),
            [*_ROUTES, documents.make_route("home", "front")],
        )
        front, shelf = test_deployment.instances
        test_deployment.store.down = True
        front.restart_node()
        front.server.report()

        def serves_again() -> bool:
            # Opens the link over which the restarted node asks its peer.
            deployment.send_request(shelf, "home", "x0")
            return deployment.send_request(front, "read", "x1").status == 200

        deployment.wait_until(serves_again, "the restarted node serves")
        test_deployment.stop()


class StopTest(unittest.TestCase):
    """Planned stop of a node."""

    def test_planned_stop_completes_running_and_arriving_requests(self) -> None:
        test_deployment = deployment.Deployment(("front", "shelf"), _ROUTES)
        front, shelf = test_deployment.instances
        shelf.server.service_s = 0.3
        conn = front.connect()
        conn.send(deployment.make_request("read", "w1"))
        gevent.sleep(0.05)
        stopping = gevent.spawn(front.node.stop)
        gevent.sleep(0.05)
        self.assertEqual(front.readiness_status(), 503)
        response = conn.receive(False, 4096)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header(b"connection"), b"close")
        conn.close()
        self.assertEqual(
            deployment.send_request(front, "read", "w2").status, 200
        )
        stopping.join()
        with self.assertRaises(errors.BackendError):
            front.connect()
        test_deployment.stop()

    def test_interrupted_requests_are_logged_with_their_ids(self) -> None:
        test_deployment = deployment.Deployment(
            ("front", "shelf"), _ROUTES, grace_s=1.0
        )
        front, shelf = test_deployment.instances
        shelf.server.service_s = 30.0
        conn = front.connect()
        conn.send(
            deployment.make_request("read", "w1")
            + deployment.make_request("read", "w2")
        )
        gevent.sleep(0.1)
        # The test run disables logging.
        self.addCleanup(logging.disable, logging.root.manager.disable)
        logging.disable(logging.NOTSET)
        with self.assertLogs("flamingolug.gateway") as logs:
            front.node.stop()
        conn.close()
        log = "\n".join(record.getMessage() for record in logs.records)
        for pattern in (
            "event=node.stopping .*pending=2 .*gate_calls=0 ",
            "event=request.failed id=w1 status=502 reason=interrupted "
            ".*offers=1 ",
            "event=request.failed id=w2 status=502 reason=interrupted "
            ".*offers=1 ",
            "event=node.stopped interrupted=True .*refused_after_s=- "
            ".*pending=2 ",
        ):
            self.assertRegex(log, pattern)
        self.assertNotIn("caller.cut", log)
        test_deployment.stop()
