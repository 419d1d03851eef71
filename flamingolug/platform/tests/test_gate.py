"""Behaviour of a node's gate as observed over a link."""

import time
import unittest
from typing import NamedTuple
from unittest import mock

import gevent

from flamingolug import http1
from flamingolug.gateway import _frames
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _program
from flamingolug.platform.tests import deployment
from flamingolug_standins import documents


class Case(NamedTuple):
    """A call that must not run, and the expected reason."""

    upstream_id: str
    remaining_ms: int
    reason: str


class _LinkTestCase(unittest.TestCase):
    """A link to the node beside a backend server."""

    def setUp(self) -> None:
        self.deployment = deployment.Deployment(
            ("shelf",), [documents.make_route("read", "shelf")]
        )
        self.shelf = self.deployment.instances[0]
        self.stream = http1.open_stream(
            *self.shelf.settings.link, timeout_s=1.0
        )
        self.decoder = _frames.FrameDecoder()
        self.frames: list[_frames.Frame] = []

    def tearDown(self) -> None:
        self.stream.close()
        self.deployment.stop()

    def make_call(self, number: int, **changes: object) -> _frames.CallFrame:
        """Returns a call that may run, with fields replaced by `changes`."""
        fields: dict[str, object] = {
            "number": number,
            "request_id": f"id-{number}",
            "upstream_id": self.shelf.server.id.encode(),
            "origin_service": b"front",
            "method": b"GET",
            "target": b"/read/x",
            "headers": [(b"host", b"shop.example")],
            "body": b"",
            "remaining_ms": 1000,
            "wait_ms": 500,
            "rank": 1,
            "idempotent": False,
            "route": b"read",
        }
        fields.update(changes)
        return _frames.CallFrame(**fields)  # type: ignore[arg-type]

    def send(self, *frames: _frames.Frame) -> None:
        """Sends frames in one packet."""
        self.stream.send_all(b"".join(map(_frames.encode, frames)))

    def wait_for_result(self, number: int) -> _frames.ResultFrame:
        """Returns the result of a call; waits up to 3 s for it."""
        with gevent.Timeout(3.0):
            while True:
                for frame in self.frames:
                    if not isinstance(frame, _frames.ResultFrame):
                        continue
                    if frame.number == number:
                        return frame
                self.frames += self.decoder.feed(self.stream.recv(65536))


class GateTest(_LinkTestCase):
    """Calls that run, are refused, or are cancelled before they run."""

    def test_misdirected_or_expired_call_does_not_run(self) -> None:
        cases = {
            "another upstream": Case("i-other", 1000, "not-here"),
            "no time left": Case(self.shelf.server.id, 0, "deadline"),
        }
        for number, (name, case) in enumerate(cases.items()):
            with self.subTest(name):
                self.send(
                    self.make_call(
                        number,
                        upstream_id=case.upstream_id.encode(),
                        remaining_ms=case.remaining_ms,
                    )
                )
                result = self.wait_for_result(number)
                self.assertEqual(result.verdict, _model.Verdict.NOT_RUN.value)
                self.assertEqual(result.reason, case.reason)
        self.assertEqual(self.shelf.server.executed_ids, [])

    def test_call_read_together_with_its_cancellation_does_not_run(
        self,
    ) -> None:
        self.send(self.make_call(1), _frames.CancelFrame(1), self.make_call(2))
        self.wait_for_result(2)
        self.assertEqual(self.shelf.server.executed_ids, ["id-2"])

    def test_call_runs_once_and_its_response_is_returned(self) -> None:
        self.send(self.make_call(1))
        result = self.wait_for_result(1)
        self.assertEqual(result.status, 200)
        self.assertEqual(result.body, b"body of id-1")
        self.assertEqual(self.shelf.server.executed_ids, ["id-1"])

    # Guards against an exit that resets a link whose peer still reads.
    def test_stopping_node_half_closes_its_links(self) -> None:
        with mock.patch.object(_program, "ACCEPT_AFTER_STOP_S", 0.1):
            stopping = gevent.spawn(self.shelf.node.stop)
            with gevent.Timeout(3.0):
                while self.stream.recv(65536):
                    pass
            self.assertFalse(stopping.ready())
            self.stream.close()
            stopping.join()

    # Guards against a call on a connection to an upstream that was replaced.
    def test_connection_of_a_replaced_upstream_is_not_reused(self) -> None:
        server = self.shelf.server
        server.service_s = 0.3
        self.send(self.make_call(1))
        deployment.wait_until(lambda: server.running > 0, "call runs")
        server.id += "-next"
        server.start_time_ms += 1
        server.sequence = 0
        self.assertEqual(server.report(), 200)
        self.wait_for_result(1)
        self.send(self.make_call(2))
        result = self.wait_for_result(2)
        self.assertEqual(result.verdict, _model.Verdict.ANSWERED.value)
        metrics = self.shelf.node.parts.get("gateway.metrics", _metrics.Metrics)
        rows = metrics.counters.snapshot()[_metrics.CONNECTIONS]
        self.assertEqual([row["value"] for row in rows], [2])

    def test_concurrent_calls_never_exceed_the_slots(self) -> None:
        self.shelf.server.service_s = 0.02
        numbers = range(1, 40)
        self.send(*(self.make_call(number) for number in numbers))
        for number in numbers:
            self.wait_for_result(number)
        self.assertLessEqual(
            self.shelf.server.max_running, self.shelf.server.slots
        )

    def test_busy_link_receives_status_frames(self) -> None:
        """Links that carry results are not probed, but still get the status."""
        with gevent.Timeout(10.0):
            number = 0
            statuses: list[_frames.Status] = []
            while len(statuses) < 2:
                number += 1
                self.send(self.make_call(number))
                self.wait_for_result(number)
                gevent.sleep(0.1)
                statuses = [
                    frame
                    for frame in self.frames
                    if isinstance(frame, _frames.Status)
                ]
        self.assertEqual(statuses[-1].version, 3)
        self.assertGreater(statuses[-1].entries_revision, 0)

    def test_malformed_frame_closes_only_its_link(self) -> None:
        self.stream.send_all(b"\x00\x00\x00\x03abc")
        with gevent.Timeout(3.0):
            while self.stream.recv(65536):
                pass
        response = deployment.send_request(self.shelf, "read", "after")
        self.assertEqual(response.status, 200)


class HangingUpstreamTest(_LinkTestCase):
    """An upstream that never answers what it cannot queue, or a part of all.

    Pattern: detection of lost calls by the load that the upstream reports. A
    call that the upstream neither runs nor queues occupies no slot, and is
    ended early if it may be repeated.
    """

    #: Deadline of the calls, seconds.
    DEADLINE_S = 10.0

    def setUp(self) -> None:
        super().setUp()
        self.server = self.shelf.server
        self.server.service_s = 0.06
        self.results: dict[int, _frames.ResultFrame] = {}
        self.sent = 0

    def run_load(self, duration_s: float, idempotent: bool) -> None:
        """Keeps three slots busy, and collects the results of its calls."""
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            self.sent += 1
            self.send(
                self.make_call(
                    self.sent,
                    remaining_ms=int(self.DEADLINE_S * 1000),
                    wait_ms=int(self.DEADLINE_S * 1000),
                    idempotent=idempotent,
                )
            )
            gevent.sleep(0.02)
            self.read_results()

    def read_results(self) -> None:
        """Reads the results that have arrived."""
        while self.stream.has_input():
            self.frames += self.decoder.feed(self.stream.recv(65536))
        for frame in self.frames:
            if isinstance(frame, _frames.ResultFrame):
                self.results[frame.number] = frame
        self.frames = []

    def results_with(self, reason: str) -> list[_frames.ResultFrame]:
        """Returns the results with a reason."""
        return [each for each in self.results.values() if each.reason == reason]

    def hang_every_tenth(self, req: http1.Request) -> bool:
        number = int(req.header(b"x-attempt-id").rpartition(b"-")[2])
        return number % 10 == 0

    def test_reported_slots_below_the_declared_ones_limit_the_calls(
        self,
    ) -> None:
        self.server.max_accepted = 3
        self.server.service_s = 0.1
        self.send(self.make_call(0))
        self.wait_for_result(0)
        self.run_load(1.0, False)
        self.assertEqual(self.server.hung_ids, [])

    def test_idempotent_hung_calls_end_early_with_an_unknown_outcome(
        self,
    ) -> None:
        self.server.must_hang = self.hang_every_tenth
        self.run_load(3.0, True)
        hung = self.results_with("hung")
        self.assertGreater(len(hung), 2)
        verdicts = {each.verdict for each in hung}
        self.assertEqual(verdicts, {_model.Verdict.UNKNOWN.value})
        hung_numbers = {each.number for each in hung}
        self.assertTrue(
            hung_numbers
            <= {int(each.rpartition("-")[2]) for each in self.server.hung_ids}
        )

    def test_slots_of_hung_calls_serve_other_calls(self) -> None:
        """Calls that must not be repeated wait on, without a slot."""
        self.server.must_hang = self.hang_every_tenth
        self.run_load(2.0, False)
        served_before = len(self.server.executed_ids)
        self.run_load(1.0, False)
        served = len(self.server.executed_ids) - served_before
        # Two thirds of what is sent, less what hangs.
        self.assertGreater(served, 30)
        self.assertEqual(self.results_with("hung"), [])

    def test_late_answer_of_a_hung_call_reaches_no_other_call(self) -> None:
        self.server.must_hang = self.hang_every_tenth
        self.server.late_answer_s = 2.0
        self.run_load(3.0, True)
        self.assertGreater(len(self.results_with("hung")), 0)
        for number, result in self.results.items():
            if result.status:
                self.assertEqual(result.body, f"body of id-{number}".encode())
