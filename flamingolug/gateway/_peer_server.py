"""The called side of links: submits calls of other nodes to the gate."""

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
import msgspec
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug import telemetry
from flamingolug.gateway import _directory
from flamingolug.gateway import _dynamic_table
from flamingolug.gateway import _frames
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _slots

_LOGGER = logging.getLogger(__name__)
#: Seconds between status frames on a link that carries results. Links without
#: calls are probed at the same interval.
STATUS_INTERVAL_S = 2.0


class Dependencies(NamedTuple):
    """Dependencies of the server."""

    link_deps: _link.Dependencies
    gate: _gate.Gate
    rng: random.Random
    #: Returns whether this node lacks the entries of upstreams.
    lacks_entries: Callable[[], bool]
    #: Returns the entry of this node's upstream, None without a report.
    own_entry: Callable[[], _model.Upstream | None]


class PeerServer:
    """Serves links that other nodes open."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates a server without links."""
        self._deps = deps
        #: Open connections, each with its calls that have no result yet.
        self._connections: dict[
            _link.FrameConnection, dict[int, _slots.Ticket]
        ] = {}
        self._status_due = False

    def serve(self, sock: gevent_socket.socket, peer: tuple[str, int]) -> None:
        """Serves one link until it ends."""
        name = f"{peer[0]}:{peer[1]}"
        try:
            stream = http1.Stream(sock)
        except OSError as exc:
            telemetry.event(_LOGGER, "link.not_opened", peer=name, error=exc)
            return
        connection = _link.FrameConnection(stream, name)
        connection.send(_link.make_hello(self._deps.link_deps))
        tickets: dict[int, _slots.Ticket] = {}
        self._connections[connection] = tickets
        self._send_status(connection)
        self._send_departure(connection)
        if self._deps.lacks_entries():
            connection.send(_frames.EntriesRequest(0, read_store=True))
        try:
            for frames in connection.read():
                for frame in frames:
                    self._handle_frame(connection, tickets, frame)
        except _link.MALFORMED as exc:
            connection.log_unreadable(exc)
        finally:
            del self._connections[connection]
            connection.close()
            for ticket in list(tickets.values()):
                self._deps.gate.cancel(ticket)

    @property
    def has_connections(self) -> bool:
        """Whether any link from another node is open."""
        return bool(self._connections)

    @property
    def has_output(self) -> bool:
        """Whether a peer has not received everything that was sent."""
        return self.queued_bytes() + self.socket_queues().unsent_bytes > 0

    def finish(self) -> None:
        """Half-closes links whose results are written; their peers close."""
        for connection, tickets in self._connections.items():
            if not (tickets or connection.queued_bytes):
                connection.finish()

    def queued_bytes(self) -> int:
        """Returns the bytes of frames that have not been written yet."""
        return sum(each.queued_bytes for each in self._connections)

    def socket_queues(self) -> http1.Queued:
        """Returns the sums of bytes in the buffers of all sockets."""
        queues = [each.socket_queues() for each in self._connections]
        return http1.Queued(
            sum(each.unread_bytes for each in queues),
            sum(each.unsent_bytes for each in queues),
        )

    def schedule_status(self) -> None:
        """Schedules a status frame to every linked node."""
        if self._status_due:
            return
        self._status_due = True
        gevent.spawn(self._send_status_to_all)

    def request_entries(self) -> None:
        """Requests the entries of upstreams from a random linked node."""
        if self._connections:
            connection = self._deps.rng.choice(list(self._connections))
            connection.send(_frames.EntriesRequest(0, read_store=True))

    def _send_status_to_all(self) -> None:
        self._status_due = False
        for connection in list(self._connections):
            self._send_status(connection)
            self._send_departure(connection)

    def _send_departure(self, connection: _link.FrameConnection) -> None:
        """Sends the state of an upstream that leaves.

        The peer still knows of it when it talks to the next process here, also
        if neither can read the record in the store.
        """
        own = self._deps.own_entry()
        if own is None or own.state is _model.UpstreamState.READY:
            return
        connection.send(
            _frames.DepartureFrame(
                0, _directory.PREFIX + own.id, _directory.encode_entry(own)
            )
        )

    def _send_status(self, connection: _link.FrameConnection) -> None:
        """Sends the state of the upstream and the versions held here."""
        connection.status_sent_at = self._deps.link_deps.timers.now()
        connection.send(self._status())

    def _status(self) -> _frames.Status:
        gate = self._deps.gate
        position = self._deps.link_deps.entries_position()
        return _frames.Status(
            self._deps.link_deps.version(),
            position.revision,
            gate.upstream_id,
            _link.load_to_frame(gate.load()),
            position.era,
        )

    def _handle_frame(
        self,
        connection: _link.FrameConnection,
        tickets: dict[int, _slots.Ticket],
        frame: _frames.Frame,
    ) -> None:
        if isinstance(frame, _frames.CallFrame):
            reply = self._reply_callback(connection, tickets, frame)
            call = self._to_call(frame, connection.decoder)
            tickets[frame.number] = self._deps.gate.submit(call, reply)
            return
        if isinstance(frame, _frames.CancelFrame):
            ticket = tickets.pop(frame.number, None)
            if ticket is not None:
                self._deps.gate.cancel(ticket)
            return
        if isinstance(frame, _frames.Ping):
            self._send_status(connection)
        _link.handle_shared_frame(connection, frame, self._deps.link_deps)

    def _to_call(
        self, frame: _frames.CallFrame, decoder: _dynamic_table.TableDecoder
    ) -> _model.Call:
        now = self._deps.link_deps.timers.now()
        return _model.Call(
            request_id=frame.request_id,
            upstream_id=decoder.decode(frame.upstream_id).decode(),
            origin_service=decoder.decode(frame.origin_service).decode(),
            method=decoder.decode(frame.method),
            target=frame.target,
            headers=decoder.decode_headers(frame.headers),
            body=frame.body,
            deadline=now + frame.remaining_ms / 1000.0,
            wait_until=now + frame.wait_ms / 1000.0,
            rank=frame.rank,
            idempotent=frame.idempotent,
            route=decoder.decode(frame.route).decode(),
        )

    def _reply_callback(
        self,
        connection: _link.FrameConnection,
        tickets: dict[int, _slots.Ticket],
        frame: _frames.CallFrame,
    ) -> Callable[[_model.Outcome], None]:
        def reply(outcome: _model.Outcome) -> None:
            if frame.number in tickets:
                connection.wait_for_room()
            if tickets.pop(frame.number, None) is None:
                return
            load = outcome.load
            response = outcome.response
            result = _frames.ResultFrame(
                frame.number,
                outcome.verdict.value,
                outcome.reason,
                outcome.arrived,
                outcome.nested,
                _link.load_to_frame(load) if load is not None else None,
            )
            if response is not None:
                result = msgspec.structs.replace(
                    result,
                    status=response.status,
                    headers=connection.encoder.encode_headers(response.headers),
                    body=response.body,
                )
            connection.send(result)
            now = self._deps.link_deps.timers.now()
            if now - connection.status_sent_at > STATUS_INTERVAL_S:
                # Written together with the result.
                self._send_status(connection)

        return reply
