"""Emulated backend server of the platform with sealed responses and reports."""

import time
from collections.abc import Callable
from typing import NoReturn

import gevent
import msgspec
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1

_MESSAGE_LIMITS = http1.MessageLimits(65536, 64 * 1024 * 1024)


class SealingServer:
    """Answers requests and records them; `report` sends its state to its node.

    Each response to a request that ran carries a seal, a header derived from
    the identity of the request. A request for another instance is answered with
    421 and marked as not executed.

    Attributes:
        id: identity of the instance.
        service: name of the service.
        executed_ids: identities of the requests that ran, in order.
        received_requests: all requests received, in order.
        service_s: service time of a request, seconds.
        refuse: requests are answered with 503 and marked as not executed.
        fail: requests run and are answered with 500.
        rewrite_response: called with each request that ran and the bytes of its
            response; returns the bytes to send instead. None sends them
            unchanged. An `OSError` that it raises closes the connection
            without a response.
        closing: the connection is closed behind each response.
        endless: beginning of an answer, and the bytes that follow it until the
            connection is closed; sent instead of the response to a request that
            ran. None sends responses.
        max_accepted: requests beyond this number hang, which means they are
            never answered, nor are later ones on their connection; also the
            slots in responses. None for no limit.
        must_hang: called with each request; returns whether it hangs.
        late_answer_s: seconds after which a hung request is run and answered
            after all, None for never.
        hung_ids: identities of the requests that hung, in order.
        running: number of requests that are running.
        max_running: maximum number of requests that ran at once.
        slots: number of slots in the reports; not enforced.
        sequence: number of the latest report.
        state: state in the latest report.
        start_time_ms: Unix time of the start in the reports, milliseconds.
    """

    def __init__(
        self,
        service: str,
        host: str,
        port: int,
        control_address: tuple[str, int],
    ) -> None:
        """Starts listening without reporting to the node.

        Args:
            service: name of the service.
            host: address to listen on.
            port: port to listen on.
            control_address: host and port at which the node receives reports.
        """
        self.id = f"i-{service}-{port}"
        self.service = service
        self.executed_ids: list[str] = []
        self.received_requests: list[http1.Request] = []
        self.service_s = 0.005
        self.refuse = False
        self.fail = False
        self.rewrite_response: (
            Callable[[http1.Request, bytes], bytes] | None
        ) = None
        self.closing = False
        self.endless: tuple[bytes, bytes] | None = None
        self.max_accepted: int | None = None
        self.must_hang: Callable[[http1.Request], bool] = lambda req: False
        self.late_answer_s: float | None = None
        self.hung_ids: list[str] = []
        self.running = 0
        self.max_running = 0
        self.slots = 8
        self.sequence = 0
        self.state = "ready"
        self.start_time_ms = int(time.time() * 1000)
        self._control_address = control_address
        self._server = gevent_server.StreamServer(
            http1.listen(host, port), self._serve
        )
        self._server.start()

    def stop(self) -> None:
        """Stops listening without notifying the node.

        Open connections are still served.
        """
        self._server.stop(timeout=0)

    def report(self, state: str = "") -> int:
        """Sends a status report to the node; returns the HTTP status.

        Args:
            state: `ready` or `draining`; empty for the state in the latest
                report.
        """
        self.sequence += 1
        self.state = state or self.state
        return self.post("heartbeat", self.make_report(self.state))

    def make_report(self, state: str) -> bytes:
        """Returns the body of a report with the latest sequence number."""
        body = {
            "Service": self.service,
            "Address": f"{self._server.server_host}:{self._server.server_port}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.start_time_ms,
        }
        return msgspec.json.encode(body)

    def deregister(self) -> int:
        """Deregisters from the node; returns the HTTP status."""
        return self.post("deregister", b"")

    def post(self, action: str, body: bytes) -> int:
        """Sends a request about this instance to the node.

        Returns:
            The HTTP status, 0 if there was no response.
        """
        try:
            conn = http1.open_connection(*self._control_address, timeout_s=1.0)
            conn.send(
                http1.format_request(
                    b"POST",
                    f"/v1/instances/{self.id}/{action}".encode(),
                    [(b"host", b"control")],
                    body,
                )
            )
            status = conn.receive(False, 65536).status
            conn.close()
        except errors.BackendError:
            return 0
        return status

    def _serve(self, sock: gevent_socket.socket, peer: object) -> None:
        del peer
        stream = http1.Stream(sock)
        reader = http1.RequestReader(_MESSAGE_LIMITS)
        try:
            while True:
                data = stream.recv(65536)
                if not data:
                    return
                reader.feed(data)
                while reader.ready:
                    req = reader.ready.popleft()
                    if self._is_full() or self.must_hang(req):
                        self._hang(stream, req)
                    response = self._respond(req)
                    if self.endless is not None:
                        _send_endlessly(stream, *self.endless)
                    stream.send_all(response)
                    if self.closing:
                        return
        except OSError:
            return
        finally:
            stream.close()

    def _is_full(self) -> bool:
        """Returns whether no further request is accepted."""
        return (
            self.max_accepted is not None and self.running >= self.max_accepted
        )

    def _hang(self, stream: http1.Stream, req: http1.Request) -> None:
        """Waits for the late answer, or for the end of the connection.

        Raises:
            OSError: the other side has closed the connection.
        """
        self.hung_ids.append(req.header(b"x-attempt-id").decode())
        if self.late_answer_s is not None:
            gevent.sleep(self.late_answer_s)
            return
        while stream.recv(65536):
            pass
        raise ConnectionResetError("closed by the other side")

    def _respond(self, req: http1.Request) -> bytes:
        self.received_requests.append(req)
        request_id = req.header(b"x-attempt-id")
        id_header = (b"x-attempt-id", request_id)
        expected_id = req.header(b"x-expected-instance")
        if expected_id and expected_id.decode() != self.id:
            return http1.format_response(
                421, [id_header, (b"x-not-executed", b"1")], b"", False
            )
        if self.refuse:
            return http1.format_response(
                503, [id_header, (b"x-not-executed", b"1")], b"", False
            )
        self.executed_ids.append(request_id.decode())
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            status, body = self._run(req)
        finally:
            self.running -= 1
        slots = self.max_accepted or self.slots
        response = http1.format_response(
            status,
            [
                id_header,
                (b"x-response-seal", b"seal-" + request_id),
                (
                    b"x-server-load",
                    f"{self.running},0,{slots},100".encode(),
                ),
            ],
            body,
            False,
        )
        if self.rewrite_response is not None:
            return self.rewrite_response(req, response)
        return response

    def _run(self, req: http1.Request) -> tuple[int, bytes]:
        """Runs a request; returns the status and the body of its response."""
        gevent.sleep(self.service_s)
        status = 500 if self.fail else 200
        return status, b"body of " + req.header(b"x-attempt-id")


def _send_endlessly(
    stream: http1.Stream, begin: bytes, repeated: bytes
) -> NoReturn:
    """Sends until the other side closes the connection.

    Raises:
        OSError: the other side has closed the connection.
    """
    stream.send_all(begin)
    data = repeated * (65536 // len(repeated) + 1)
    while True:
        stream.send_all(data)
