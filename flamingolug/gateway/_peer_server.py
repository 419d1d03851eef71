"""The called side of links: hands calls of other nodes to the gate."""

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
import msgspec
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug import telemetry
from flamingolug.gateway import _frames
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _repeats
from flamingolug.gateway import _slots

_LOGGER = logging.getLogger(__name__)
#: Seconds between two status messages on a link that carries results. Links
#: without calls are probed as often.
STATUS_INTERVAL_S = 2.0


class Needs(NamedTuple):
    """What the server works with."""

    links: _link.Needs
    gate: _gate.Gate
    rng: random.Random
    #: Whether this node lacks the entries of upstreams.
    uninformed: Callable[[], bool]


class PeerServer:
    """Accepts links of other nodes."""

    def __init__(self, needs: Needs) -> None:
        """Starts without links."""
        self._needs = needs
        self._wires: set[_link.Wire] = set()
        self._announce_due = False

    def serve(self, sock: gevent_socket.socket, peer: tuple[str, int]) -> None:
        """Serves one link until it ends."""
        name = f"{peer[0]}:{peer[1]}"
        try:
            stream = http1.Stream(sock)
        except OSError as exc:
            telemetry.event(_LOGGER, "link.not_opened", peer=name, error=exc)
            return
        wire = _link.Wire(stream, name)
        identity = self._needs.links.cfg.identity
        wire.send(
            _frames.Hello(
                identity.name,
                identity.zone,
                self._needs.links.version(),
                self._needs.links.entries_revision(),
            )
        )
        self._wires.add(wire)
        self._tell(wire)
        if self._needs.uninformed():
            wire.send(_frames.EntriesRequest(0))
        tickets: dict[int, _slots.Ticket] = {}
        try:
            for frames in wire.read():
                for frame in frames:
                    self._take(wire, tickets, frame)
        except msgspec.DecodeError as exc:
            wire.note_unreadable(exc)
        finally:
            self._wires.discard(wire)
            wire.close()
            for ticket in list(tickets.values()):
                self._needs.gate.cancel(ticket)

    def announce(self) -> None:
        """Tells every linked node the state of the upstream, soon."""
        if self._announce_due:
            return
        self._announce_due = True
        gevent.spawn(self._announce)

    def ask_entries(self) -> None:
        """Asks one of the linked nodes for the entries of upstreams."""
        if self._wires:
            wire = self._needs.rng.choice(list(self._wires))
            wire.send(_frames.EntriesRequest(0))

    def _announce(self) -> None:
        self._announce_due = False
        for wire in list(self._wires):
            self._tell(wire)

    def _tell(self, wire: _link.Wire) -> None:
        """Sends the state of the upstream, and what this node knows."""
        wire.told_at = self._needs.links.timers.now()
        wire.send(self._status())

    def _status(self) -> _frames.Status:
        gate = self._needs.gate
        return _frames.Status(
            self._needs.links.version(),
            self._needs.links.entries_revision(),
            gate.upstream_id,
            _link.from_load(gate.load()),
        )

    def _take(
        self,
        wire: _link.Wire,
        tickets: dict[int, _slots.Ticket],
        frame: _frames.Frame,
    ) -> None:
        if isinstance(frame, _frames.CallFrame):
            reply = self._replier(wire, tickets, frame)
            call = self._to_call(frame, wire.reader)
            tickets[frame.number] = self._needs.gate.submit(call, reply)
            return
        if isinstance(frame, _frames.CancelFrame):
            ticket = tickets.pop(frame.number, None)
            if ticket is not None:
                self._needs.gate.cancel(ticket)
            return
        if isinstance(frame, _frames.Ping):
            self._tell(wire)
        _link.take_common(wire, frame, self._needs.links)

    def _to_call(
        self, frame: _frames.CallFrame, reader: _repeats.Reader
    ) -> _model.Call:
        now = self._needs.links.timers.now()
        return _model.Call(
            request_id=frame.request_id,
            upstream_id=reader.read(frame.upstream_id).decode(),
            caller=reader.read(frame.caller).decode(),
            method=reader.read(frame.method),
            target=frame.target,
            headers=reader.read_fields(frame.headers),
            body=frame.body,
            deadline=now + frame.left_ms / 1000.0,
            wait_until=now + frame.wait_ms / 1000.0,
            rank=frame.rank,
            idempotent=frame.idempotent,
            route=reader.read(frame.route).decode(),
        )

    def _replier(
        self,
        wire: _link.Wire,
        tickets: dict[int, _slots.Ticket],
        frame: _frames.CallFrame,
    ) -> Callable[[_model.Outcome], None]:
        def reply(outcome: _model.Outcome) -> None:
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
                _link.from_load(load) if load is not None else None,
            )
            if response is not None:
                result = msgspec.structs.replace(
                    result,
                    status=response.status,
                    headers=wire.writer.write_fields(response.headers),
                    body=response.body,
                )
            wire.send(result)
            now = self._needs.links.timers.now()
            if now - wire.told_at > STATUS_INTERVAL_S:
                # It goes out together with the result.
                self._tell(wire)

        return reply
