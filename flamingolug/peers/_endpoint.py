"""Server side of the peer links."""

import logging
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import gevent
import zmq
from zmq.utils import monitor as zmq_monitor

from flamingolug import errors
from flamingolug import telemetry
from flamingolug.peers import _keys
from flamingolug.peers import _messages
from flamingolug.peers import _socket
from flamingolug.peers import _traffic

_LOGGER = logging.getLogger(__name__)
#: Maximum number of messages that ZeroMQ queues for one peer.
SEND_QUEUE_MESSAGES = 1_000
#: Maximum size of a received frame. ZeroMQ closes the connection of a peer that
#: sends a larger one.
MAX_FRAME_BYTES = 68_000_000
#: Minimum seconds between two log lines about refused messages.
LOG_INTERVAL_S = 10.0
REFUSED_MESSAGES = "flamingolug.peer.messages.refused"
_HANDSHAKE_FAILURES = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class InboundMessage(NamedTuple):
    """A message received from a peer."""

    #: ZeroMQ routing identifier of the connection, for `Endpoint.reply`.
    route: bytes
    kind: _messages.MessageType
    #: Decoded head, of the message class that belongs to `kind`.
    message: Any
    body: bytes


class Endpoint:
    """Receives messages from all peers and passes them to handlers."""

    def __init__(
        self,
        context: "zmq.Context[zmq.Socket[bytes]]",
        address: str,
        keys: _keys.PeerKeys,
        counters: telemetry.Counters,
        *,
        now: Callable[[], float],
        traffic: _traffic.Traffic,
    ) -> None:
        """Binds `address`, which consists of an IP address and a port."""
        counters.declare(
            REFUSED_MESSAGES, "Peer messages refused, by reason", "reason"
        )
        self._counters = counters
        self._now = now
        self._handlers: dict[
            _messages.MessageType, Callable[[InboundMessage], None]
        ] = {}
        self._logged_at = -LOG_INTERVAL_S
        sock = context.socket(zmq.ROUTER)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        sock.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        sock.setsockopt(zmq.CURVE_SERVER, 1)
        sock.setsockopt(zmq.CURVE_SECRETKEY, keys.secret)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, keys.public)
        monitor = sock.get_monitor_socket(_HANDSHAKE_FAILURES)
        sock.bind(f"tcp://{address}")
        self._sock = _socket.GreenSocket(sock, traffic)
        self._monitor = _socket.GreenSocket(monitor, _traffic.Traffic())

    def on(
        self,
        kind: _messages.MessageType,
        handler: Callable[[InboundMessage], None],
    ) -> None:
        """Sets the handler for messages of one type; it must not block."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Starts to receive messages."""
        gevent.spawn(self._receive)
        gevent.spawn(self._watch_handshakes)

    def stop(self) -> None:
        """Closes the endpoint."""
        self._sock.close_with_monitor(self._monitor)

    def reply(
        self,
        route: bytes,
        kind: _messages.MessageType,
        message: _messages.Message,
        body: bytes = b"",
    ) -> bool:
        """Sends an answer; returns False if the peer's connection is closed."""
        return self._sock.send([route, *_messages.encode(kind, message, body)])

    def _receive(self) -> None:
        while True:
            frames = self._sock.receive()
            if frames is None:
                return
            try:
                kind, message, body = _messages.decode(frames[1:])
                handler = self._handlers.get(kind)
                if handler is None:
                    raise errors.CodecError(
                        f"no handler for message type {kind.name}",
                        step="peer.receive",
                    )
                handler(InboundMessage(frames[0], kind, message, body))
            except errors.CodecError as exc:
                self._refuse("malformed", exc)
            except Exception as exc:
                self._refuse("handler", exc)

    def _watch_handshakes(self) -> None:
        while True:
            frames = self._monitor.receive()
            if frames is None:
                return
            monitor_event = zmq_monitor.parse_monitor_message(frames)
            if monitor_event["event"] & _HANDSHAKE_FAILURES:
                self._refuse(
                    "handshake",
                    "the peer uses a different CURVE key",
                )

    def _refuse(self, reason: str, error: object) -> None:
        self._counters.add(REFUSED_MESSAGES, reason)
        if self._now() - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = self._now()
        telemetry.event(
            _LOGGER,
            "peer.refused",
            level=logging.WARNING,
            reason=reason,
            error=error,
        )
