"""Client side of the peer links.

A link detects by itself that its peer does not respond. If requests are pending
and nothing has been received for `PROBE_AFTER_S`, it sends a probe. After
`REPLACE_AFTER_S` it opens a new connection and settles the pending calls, that
is, requests the state of each call from the peer. Only this state decides: a
call is reported as not run only if the peer has barred it, that is, drops it if
it still arrives.
"""

import itertools
from collections.abc import Callable
from typing import Any
from typing import cast
from typing import NamedTuple

import gevent
import zmq
from gevent import event
from zmq.utils import monitor as zmq_monitor

from flamingolug import errors
from flamingolug import telemetry
from flamingolug.peers import _keys
from flamingolug.peers import _messages
from flamingolug.peers import _socket
from flamingolug.peers import _traffic

#: Seconds for which a request waits until the link is connected.
CONNECT_WAIT_S = 0.5
#: Seconds between two checks of all links.
CHECK_INTERVAL_S = 0.2
#: Seconds without a received message after which a link with pending requests
#: is probed.
PROBE_AFTER_S = 0.5
#: Seconds without a received message after which a link with pending requests
#: replaces its connection.
REPLACE_AFTER_S = 1.1
#: Seconds within which the new connection must be established; otherwise the
#: pending requests fail.
RECONNECT_TIMEOUT_S = 0.7
#: Seconds after which an unused link is closed.
MAX_IDLE_S = 60.0
#: Maximum number of messages that ZeroMQ queues for sending on one link.
LINK_QUEUE_MESSAGES = 256
LINK_RESETS = "flamingolug.peer.links.reset"
LATE_ANSWERS = "flamingolug.peer.answers.late"

_MONITORED = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CONNECT_RETRIED
)


class Answer(NamedTuple):
    """Answer of a peer to a request."""

    message_type: _messages.MessageType
    message: Any
    body: bytes


class _PendingRequest(NamedTuple):
    """A request that waits for its answer."""

    result: "event.AsyncResult[Answer]"
    #: Incarnation that a call is addressed to; None for other requests.
    target_incarnation: int | None


class LinkOptions(NamedTuple):
    """Options that all links of a node share."""

    context: "zmq.Context[zmq.Socket[bytes]]"
    keys: _keys.PeerKeys
    #: Incarnation of this node.
    incarnation: int
    #: Returns monotonic seconds.
    now: Callable[[], float]
    #: Returns the identifier of the next message.
    next_id: Callable[[], int]
    counters: telemetry.Counters
    traffic: _traffic.Traffic
    #: Returns the heartbeat with which a link is probed.
    make_probe: Callable[[], _messages.PingMessage]
    #: Called with each answer to a heartbeat.
    on_pong: Callable[[_messages.PingMessage], None]


class Link:
    """Sends requests to one peer and replaces connections that fail."""

    def __init__(self, address: str, options: LinkOptions) -> None:
        """Opens the link; it connects in the background."""
        self.address = address
        self._options = options
        self._pending: dict[int, _PendingRequest] = {}
        self._connected = event.Event()
        self._last_received_at = options.now()
        self.last_used_at = options.now()
        self._closed = False
        self._sock: _socket.GreenSocket
        self._monitor: _socket.GreenSocket
        self._replacing = False
        self._open()

    def request(
        self,
        message_type: _messages.MessageType,
        message: _messages.Message,
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Sends a request and returns its answer.

        Raises:
            PeerUnreachableError: the request was not sent, or the peer has
                barred it.
            PeerLostError: there was no answer, but the peer may have received
                the request.
        """
        if not self._connected.wait(min(CONNECT_WAIT_S, timeout_s)):
            raise self._unreachable("no connection")
        request_id: int = message["id"]
        target_incarnation = message.get("to")
        pending = _PendingRequest(
            event.AsyncResult(), cast("int | None", target_incarnation)
        )
        if not self._pending:
            self._last_received_at = self._options.now()
        if not self._sock.send(_messages.encode(message_type, message, body)):
            raise self._unreachable("send queue is full")
        self._pending[request_id] = pending
        self.last_used_at = self._options.now()
        completed = False
        try:
            answer = cast(Answer, pending.result.get(timeout=timeout_s))
            completed = True
            return answer
        except gevent.Timeout as exc:
            raise errors.PeerLostError(
                f"no answer within {timeout_s:.3f} s",
                step="link.request",
                peer=self.address,
            ) from exc
        except errors.FlamingolugError:
            completed = True
            raise
        finally:
            self._pending.pop(request_id, None)
            # If neither an answer nor an error of the link has ended the
            # request, the peer may still run the call.
            if not completed and pending.target_incarnation is not None:
                self.send(
                    _messages.MessageType.CANCEL,
                    {"id": request_id, "org": self._options.incarnation},
                )

    def send(
        self, message_type: _messages.MessageType, message: _messages.Message
    ) -> bool:
        """Sends a message without waiting for an answer.

        Returns:
            Whether ZeroMQ accepted the message.
        """
        return self._sock.send(_messages.encode(message_type, message))

    def close(self) -> None:
        """Closes the link and fails its pending requests."""
        self._closed = True
        self._sock.close_with_monitor(self._monitor)
        self._fail_pending("link closed")

    def is_idle(self) -> bool:
        """Returns whether the link has been unused for over `MAX_IDLE_S`."""
        idle_s = self._options.now() - self.last_used_at
        return not self._pending and idle_s > MAX_IDLE_S

    def _open(self) -> None:
        options = self._options
        sock = options.context.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, 0)
        # ZeroMQ queues no messages before the connection is established.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.SNDHWM, LINK_QUEUE_MESSAGES)
        # Minimum and maximum reconnection interval, in milliseconds.
        sock.setsockopt(zmq.RECONNECT_IVL, 100)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        sock.setsockopt(zmq.CURVE_SERVERKEY, options.keys.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, options.keys.secret)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, options.keys.public)
        monitor = sock.get_monitor_socket(_MONITORED)
        sock.connect(f"tcp://{self.address}")
        self._connected.clear()
        self._sock = _socket.GreenSocket(sock, options.traffic)
        self._monitor = _socket.GreenSocket(monitor, _traffic.Traffic())
        gevent.spawn(self._receive, self._sock)
        gevent.spawn(self._track_connection, self._monitor)

    def _receive(self, sock: _socket.GreenSocket) -> None:
        while True:
            frames = sock.receive()
            if frames is None:
                return
            try:
                answer = Answer(*_messages.decode(frames))
            except errors.CodecError:
                continue
            self._last_received_at = self._options.now()
            self._handle_answer(answer)

    def _handle_answer(self, answer: Answer) -> None:
        if answer.message_type is _messages.MessageType.PONG:
            self._options.on_pong(answer.message)
        pending = self._pending.get(answer.message["id"])
        if answer.message_type is _messages.MessageType.SETTLED:
            self._handle_settled(pending, answer.message["state"])
            return
        if pending is None:
            if answer.message_type is _messages.MessageType.ANSWER:
                self._options.counters.add(LATE_ANSWERS)
            return
        pending.result.set(answer)

    def _handle_settled(
        self, pending: _PendingRequest | None, state: str
    ) -> None:
        """Completes a call according to the state that the peer reported."""
        if pending is None or state == "running":
            return
        if state == "barred":
            pending.result.set_exception(self._unreachable("barred"))
            return
        pending.result.set_exception(self._lost("its node was replaced"))

    def _track_connection(self, monitor: _socket.GreenSocket) -> None:
        """Tracks the state of the connection by events of ZeroMQ."""
        was_connected = False
        while True:
            frames = monitor.receive()
            if frames is None:
                return
            monitor_event = zmq_monitor.parse_monitor_message(frames)
            if monitor_event["event"] == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                self._last_received_at = self._options.now()
                self._connected.set()
                if was_connected:
                    self._settle_pending()
                was_connected = True
                continue
            if monitor_event["event"] == zmq.EVENT_DISCONNECTED:
                self._connected.clear()
                continue
            self._fail_pending("connection refused")

    def supervise(self) -> None:
        """Probes the peer or replaces the connection if no messages arrive.

        Does nothing without pending requests.
        """
        if not self._pending or self._closed or self._replacing:
            return
        elapsed_s = self._options.now() - self._last_received_at
        if elapsed_s >= REPLACE_AFTER_S:
            self._replacing = True
            gevent.spawn(self._replace)
            return
        if elapsed_s >= PROBE_AFTER_S:
            self.send(_messages.MessageType.PING, self._options.make_probe())

    def _replace(self) -> None:
        """Opens a new connection and settles the pending requests on it."""
        self._options.counters.add(LINK_RESETS)
        self._sock.close_with_monitor(self._monitor)
        self._open()
        connected = self._connected.wait(RECONNECT_TIMEOUT_S)
        self._replacing = False
        if not connected:
            self._fail_pending("silent, and no fresh connection")
            return
        self._last_received_at = self._options.now()
        self._settle_pending()

    def _settle_pending(self) -> None:
        """Requests the states of pending calls and fails other requests."""
        for request_id, pending in list(self._pending.items()):
            if pending.target_incarnation is None:
                pending.result.set_exception(self._lost("connection replaced"))
                continue
            self.send(
                _messages.MessageType.SETTLE,
                {
                    "id": request_id,
                    "org": self._options.incarnation,
                    "to": pending.target_incarnation,
                },
            )

    def _fail_pending(self, reason: str) -> None:
        for pending in list(self._pending.values()):
            pending.result.set_exception(self._lost(reason))

    def _lost(self, reason: str) -> errors.PeerLostError:
        """Returns the error of a request that the peer may have received.

        Callers receive `reason` as the reason of an unknown outcome.
        """
        return errors.PeerLostError(reason, step="link", peer=self.address)

    def _unreachable(self, reason: str) -> errors.PeerUnreachableError:
        return errors.PeerUnreachableError(
            reason, step="link", peer=self.address
        )


class Links:
    """Links of a node to its peers, opened at first use."""

    def __init__(self, options: LinkOptions) -> None:
        """Starts without links."""
        options.counters.declare(LINK_RESETS, "Silent links replaced")
        options.counters.declare(LATE_ANSWERS, "Answers dropped as late")
        self._options = options
        self._links: dict[str, Link] = {}
        self._closed = False
        # A single task checks all links. With one task per link, the process
        # would wake up once per link in each interval.
        gevent.spawn(self._supervise)

    def link_to(self, address: str) -> Link:
        """Returns the link to a peer address and opens it if necessary."""
        link = self._links.get(address)
        if link is None:
            link = Link(address, self._options)
            self._links[address] = link
        return link

    def close_idle(self) -> None:
        """Closes links that have been unused for over `MAX_IDLE_S`."""
        for address, link in list(self._links.items()):
            if link.is_idle():
                del self._links[address]
                link.close()

    def _supervise(self) -> None:
        while not self._closed:
            gevent.sleep(CHECK_INTERVAL_S)
            for link in list(self._links.values()):
                link.supervise()

    def stop(self) -> None:
        """Closes all links."""
        self._closed = True
        for link in self._links.values():
            link.close()
        self._links.clear()


def make_id_source() -> Callable[[], int]:
    """Returns a function that returns successive integers from 1."""
    return itertools.count(1).__next__
