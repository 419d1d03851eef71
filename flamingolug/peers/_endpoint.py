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
#: Maximum number of messages that ZeroMQ queues for sending to one peer.
ENDPOINT_QUEUE_MESSAGES = 1_000
#: Maximum size of a received frame, more than the largest body that settings
#: can allow (67,108,864 bytes). ZeroMQ closes the connection of a peer that
#: sends a larger frame.
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
    routing_id: bytes
    message_type: _messages.MessageType
    #: Decoded head, of the message class that belongs to `message_type`.
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
        sock.setsockopt(zmq.SNDHWM, ENDPOINT_QUEUE_MESSAGES)
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
        message_type: _messages.MessageType,
        handler: Callable[[InboundMessage], None],
    ) -> None:
        """Sets the handler for messages of one type; it must not block."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Starts to receive messages."""
        gevent.spawn(self._receive)
        gevent.spawn(self._watch_handshakes)

    def stop(self) -> None:
        """Closes the endpoint."""
        self._sock.close_with_monitor(self._monitor)

    def reply(
        self,
        routing_id: bytes,
        message_type: _messages.MessageType,
        message: _messages.Message,
        body: bytes = b"",
    ) -> bool:
        """Sends an answer; returns False if ZeroMQ does not accept it.

        This is the case if the connection or the endpoint is closed, or if the
        send queue is full.
        """
        return self._sock.send(
            [routing_id, *_messages.encode(message_type, message, body)]
        )

    def _receive(self) -> None:
        while True:
            frames = self._sock.receive()
            if frames is None:
                return
            try:
                message_type, message, body = _messages.decode(frames[1:])
                handler = self._handlers.get(message_type)
                if handler is None:
                    raise errors.CodecError(
                        f"no handler for message type {message_type.name}",
                        step="peer.receive",
                    )
                handler(InboundMessage(frames[0], message_type, message, body))
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
                    "handshake failed; the peer may use a different CURVE key",
                )

    def _refuse(self, reason: str, error: object) -> None:
        """Counts a refused message, failed handshake or error of a handler.

        Logs it, too, unless a line was logged less than `LOG_INTERVAL_S` ago.
        """
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
