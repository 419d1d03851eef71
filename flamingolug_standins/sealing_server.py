"""Stand-in of a backend server that seals its answers and reports itself."""

import time
from collections.abc import Callable

import gevent
import msgspec
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1

_LIMITS = http1.MessageLimits(65536, 64 * 1024 * 1024)


class SealingServer:
    """Answers requests and keeps a ledger of what it ran.

    Attributes:
        ran: identities of the requests that ran, in order.
        service_s: seconds that a request takes.
        refuse: requests get 503 with the promise that they have not run.
        fail: requests run and get 500.
        answer: replaces the bytes of the next answers, given the request.
    """

    def __init__(
        self, service: str, host: str, port: int, control: tuple[str, int]
    ) -> None:
        """Starts to listen; it reports nothing yet."""
        self.id = f"i-{service}-{port}"
        self.service = service
        self.ran: list[str] = []
        self.seen: list[http1.Request] = []
        self.service_s = 0.005
        self.refuse = False
        self.fail = False
        self.answer: Callable[[http1.Request, bytes], bytes] | None = None
        self.running = 0
        self.most_running = 0
        self.slots = 8
        self.sequence = 0
        self.state = "ready"
        self.start_time_ms = int(time.time() * 1000)
        self._control = control
        self._server = gevent_server.StreamServer(
            http1.listen(host, port), self._serve
        )
        self._server.start()

    def stop(self) -> None:
        """Ends as a crash does."""
        self._server.stop(timeout=0)

    def report(self, state: str = "") -> int:
        """Reports itself to its node; returns the status.

        Args:
            state: `ready` or `draining`; empty for the one told last.
        """
        self.sequence += 1
        self.state = state or self.state
        body = {
            "Service": self.service,
            "Address": f"{self._server.server_host}:{self._server.server_port}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.start_time_ms,
        }
        return self.post("heartbeat", msgspec.json.encode(body))

    def leave(self) -> int:
        """Says that it leaves for good; returns the status."""
        return self.post("deregister", b"")

    def post(self, action: str, body: bytes) -> int:
        """Sends a call to its node; returns the status, 0 for no answer."""
        try:
            conn = http1.open_connection(*self._control, timeout_s=1.0)
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
        reader = http1.RequestReader(_LIMITS)
        try:
            while True:
                data = stream.recv(65536)
                if not data:
                    return
                reader.feed(data)
                while reader.ready:
                    stream.send_all(self._answer(reader.ready.popleft()))
        except OSError:
            return
        finally:
            stream.close()

    def _answer(self, req: http1.Request) -> bytes:
        self.seen.append(req)
        request_id = req.header(b"x-attempt-id")
        echo = (b"x-attempt-id", request_id)
        expected = req.header(b"x-expected-instance")
        if expected and expected.decode() != self.id:
            return http1.format_response(
                421, [echo, (b"x-not-executed", b"1")], b"", False
            )
        if self.refuse:
            return http1.format_response(
                503, [echo, (b"x-not-executed", b"1")], b"", False
            )
        self.ran.append(request_id.decode())
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        gevent.sleep(self.service_s)
        self.running -= 1
        status = 500 if self.fail else 200
        body = b"body of " + request_id
        answer = http1.format_response(
            status,
            [
                echo,
                (b"x-response-seal", b"seal-" + request_id),
                (b"x-server-load", b"1,0,8"),
            ],
            body,
            False,
        )
        if self.answer is not None:
            return self.answer(req, answer)
        return answer
