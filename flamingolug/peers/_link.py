"""Calling side of the peer links: one task per peer.

A link notices silence by itself. While requests are pending and nothing was
heard for a while it probes; when the probe stays unanswered it opens a fresh
connection and asks there what became of each call. The answer is the
receiver's own word, so that a call is reported as not run only when the
receiver has barred it.
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

#: Seconds that a request waits for the first connection.
CONNECT_WAIT_S = 0.5
#: Seconds between two looks at a link.
CHECK_INTERVAL_S = 0.2
#: Seconds without a sign of life after which a pending link is probed.
QUIET_S = 0.5
#: Seconds without a sign of life after which a link counts as silent.
SILENT_S = 1.1
#: Seconds that a fresh connection has to settle what was pending.
SETTLE_S = 0.7
#: Seconds after which an unused link is closed.
MAX_IDLE_S = 60.0
SEND_QUEUE_MESSAGES = 256
LINK_RESETS = "flamingolug.peer.links.reset"
LATE_ANSWERS = "flamingolug.peer.answers.late"

_MONITORED = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CONNECT_RETRIED
)


class Answer(NamedTuple):
    """What a peer answered to a request."""

    kind: _messages.MessageType
    message: Any
    body: bytes


class _Pending(NamedTuple):
    """A request that waits for its answer."""

    fut: "event.AsyncResult[Answer]"
    #: Incarnation that a call was meant for, None for other requests.
    call_to: int | None


class LinkOptions(NamedTuple):
    """What all links of a node share."""

    context: "zmq.Context[zmq.Socket[bytes]]"
    keys: _keys.PeerKeys
    #: Incarnation of this node.
    incarnation: int
    now: Callable[[], float]
    next_id: Callable[[], int]
    counters: telemetry.Counters
    traffic: _traffic.Traffic
    #: Makes the message that probes a quiet link.
    make_probe: Callable[[], _messages.PingMessage]
    #: Receives every heartbeat answer.
    on_pong: Callable[[_messages.PingMessage], None]


class Link:
    """Connection to one peer."""

    def __init__(self, address: str, options: LinkOptions) -> None:
        """Opens the link; the connection is made in the background."""
        self.address = address
        self._options = options
        self._pending: dict[int, _Pending] = {}
        self._ready = event.Event()
        self._heard_at = options.now()
        self.used_at = options.now()
        self._closed = False
        self._sock: _socket.GreenSocket
        self._monitor: _socket.GreenSocket
        self._replacing = False
        self._open()

    def request(
        self,
        kind: _messages.MessageType,
        message: _messages.Message,
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Sends a request and returns its answer.

        Raises:
            PeerUnreachableError: it was never handed to the peer, or the
                peer has barred it.
            PeerLostError: no answer, and it may have been received.
        """
        if not self._ready.wait(min(CONNECT_WAIT_S, timeout_s)):
            raise self._unreachable("no connection")
        number: int = message["id"]
        call_to = message.get("to")
        pending = _Pending(event.AsyncResult(), cast("int | None", call_to))
        if not self._pending:
            self._heard_at = self._options.now()
        if not self._sock.send(_messages.encode(kind, message, body)):
            raise self._unreachable("send queue is full")
        self._pending[number] = pending
        self.used_at = self._options.now()
        answered = False
        try:
            answer = cast(Answer, pending.fut.get(timeout=timeout_s))
            answered = True
            return answer
        except gevent.Timeout as exc:
            raise errors.PeerLostError(
                f"no answer within {timeout_s:.3f} s",
                step="link.request",
                peer=self.address,
            ) from exc
        except errors.FlamingolugError:
            answered = True
            raise
        finally:
            self._pending.pop(number, None)
            if not answered and pending.call_to is not None:
                self.send(
                    _messages.MessageType.CANCEL,
                    {"id": number, "org": self._options.incarnation},
                )

    def send(
        self, kind: _messages.MessageType, message: _messages.Message
    ) -> bool:
        """Sends a message that needs no answer."""
        return self._sock.send(_messages.encode(kind, message))

    def close(self) -> None:
        """Closes the link and fails what is pending."""
        self._closed = True
        self._sock.close_with(self._monitor)
        self._fail_pending("link closed")

    def is_idle(self) -> bool:
        """Returns whether the link has not been used for long."""
        idle_s = self._options.now() - self.used_at
        return not self._pending and idle_s > MAX_IDLE_S

    def _open(self) -> None:
        options = self._options
        sock = options.context.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, 0)
        # Nothing is queued for a connection that does not exist.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        sock.setsockopt(zmq.RECONNECT_IVL, 100)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        sock.setsockopt(zmq.CURVE_SERVERKEY, options.keys.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, options.keys.secret)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, options.keys.public)
        monitor = sock.get_monitor_socket(_MONITORED)
        sock.connect(f"tcp://{self.address}")
        self._ready.clear()
        self._sock = _socket.GreenSocket(sock, options.traffic)
        self._monitor = _socket.GreenSocket(monitor, _traffic.Traffic())
        gevent.spawn(self._receive, self._sock)
        gevent.spawn(self._follow_connection, self._monitor)

    def _receive(self, sock: _socket.GreenSocket) -> None:
        while True:
            frames = sock.receive()
            if frames is None:
                return
            try:
                answer = Answer(*_messages.decode(frames))
            except errors.CodecError:
                continue
            self._heard_at = self._options.now()
            self._handle(answer)

    def _handle(self, answer: Answer) -> None:
        if answer.kind is _messages.MessageType.PONG:
            self._options.on_pong(answer.message)
        pending = self._pending.get(answer.message["id"])
        if answer.kind is _messages.MessageType.SETTLED:
            self._settled(pending, answer.message["state"])
            return
        if pending is None:
            if answer.kind is _messages.MessageType.ANSWER:
                self._options.counters.add(LATE_ANSWERS)
            return
        pending.fut.set(answer)

    def _settled(self, pending: _Pending | None, state: str) -> None:
        """Applies the receiver's word on a call."""
        if pending is None or state == "running":
            return
        if state == "barred":
            pending.fut.set_exception(self._unreachable("barred"))
            return
        pending.fut.set_exception(self._lost("its node was replaced"))

    def _follow_connection(self, monitor: _socket.GreenSocket) -> None:
        """Tracks the connection by the library's events."""
        was_ready = False
        while True:
            frames = monitor.receive()
            if frames is None:
                return
            notice = zmq_monitor.parse_monitor_message(frames)
            if notice["event"] == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                self._heard_at = self._options.now()
                self._ready.set()
                if was_ready:
                    self._ask_to_settle()
                was_ready = True
                continue
            if notice["event"] == zmq.EVENT_DISCONNECTED:
                self._ready.clear()
                continue
            self._fail_pending("connection refused")

    def supervise(self) -> None:
        """Probes a quiet link and replaces a silent one."""
        if not self._pending or self._closed or self._replacing:
            return
        quiet_s = self._options.now() - self._heard_at
        if quiet_s >= SILENT_S:
            self._replacing = True
            gevent.spawn(self._replace)
            return
        if quiet_s >= QUIET_S:
            self.send(_messages.MessageType.PING, self._options.make_probe())

    def _replace(self) -> None:
        """Opens a fresh connection and settles what is pending there."""
        self._options.counters.add(LINK_RESETS)
        self._sock.close_with(self._monitor)
        self._open()
        came = self._ready.wait(SETTLE_S)
        self._replacing = False
        if not came:
            self._fail_pending("silent, and no fresh connection")
            return
        self._heard_at = self._options.now()
        self._ask_to_settle()

    def _ask_to_settle(self) -> None:
        for number, pending in list(self._pending.items()):
            if pending.call_to is None:
                pending.fut.set_exception(self._lost("connection replaced"))
                continue
            self.send(
                _messages.MessageType.SETTLE,
                {
                    "id": number,
                    "org": self._options.incarnation,
                    "to": pending.call_to,
                },
            )

    def _fail_pending(self, why: str) -> None:
        for pending in list(self._pending.values()):
            pending.fut.set_exception(self._lost(why))

    def _lost(self, why: str) -> errors.PeerLostError:
        return errors.PeerLostError(why, step="link", peer=self.address)

    def _unreachable(self, why: str) -> errors.PeerUnreachableError:
        return errors.PeerUnreachableError(why, step="link", peer=self.address)


class Links:
    """All links of a node, opened at first use."""

    def __init__(self, options: LinkOptions) -> None:
        """Starts without links."""
        options.counters.declare(LINK_RESETS, "Silent links replaced")
        options.counters.declare(LATE_ANSWERS, "Answers dropped as late")
        self._options = options
        self._links: dict[str, Link] = {}
        self._closed = False
        # One task looks after all links: a task for each would wake the
        # process as often as there are links.
        gevent.spawn(self._supervise)

    def to(self, address: str) -> Link:
        """Returns the link to a peer address, opening it if needed."""
        link = self._links.get(address)
        if link is None:
            link = Link(address, self._options)
            self._links[address] = link
        return link

    def close_idle(self) -> None:
        """Closes links that have not been used for long."""
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
    """Returns a function that counts up from 1."""
    return itertools.count(1).__next__
