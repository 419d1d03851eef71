"""Program `flamingolug-relay CONTROL LISTEN=TARGET ...`: TCP relays.

A relay can delay data, stall it for a while as packet loss does, stop
forwarding on all connections in both directions or only towards the client,
stop forwarding on the open connections for good, or reset them. `POST /fault`
on the control address sets the fault of one relay.
"""

import functools
import random
import signal
import struct
import sys
import time
from collections.abc import Iterable
from typing import Any

import gevent
import msgspec
from gevent import event
from gevent import queue
from gevent import server
from gevent import socket

from flamingolug import web

_READ_BYTES = 65_536


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """How a relay disturbs the data that it forwards."""

    #: One-way delay, seconds.
    delay_s: float = 0.0
    #: Upper bound of a random delay that is added, seconds.
    jitter_s: float = 0.0
    #: Probability that a chunk is delayed by a further `stall_s` seconds.
    stall_chance: float = 0.0
    stall_s: float = 0.2
    #: Forwards nothing more on the connections that are open when the fault is
    #: set, even after the next fault is set.
    silence_open: bool = False
    #: Forwards nothing on any connection. A direction in which data arrives
    #: in the meantime stays blocked until the connection is closed.
    cut: bool = False
    #: Like `cut`, but only from the target to the client.
    cut_back: bool = False
    #: Resets the connections that are open when the fault is set.
    reset_open: bool = False


class Relay:
    """Forwards TCP connections to one target and injects faults."""

    def __init__(self, listen: str, target: str) -> None:
        """Creates a relay between two addresses of the form HOST:PORT."""
        self.fault = Fault()
        #: Numbers of the connections on which nothing is forwarded any more.
        self._silenced: set[int] = set()
        #: Client sockets by connection number.
        self._open_connections: dict[int, Any] = {}
        self._connection_count = 0
        self._target = _parse_address(target)
        self._rng = random.Random(1)
        self._server = server.StreamServer(
            _parse_address(listen), self._handle_connection
        )

    def start(self) -> None:
        """Starts accepting connections."""
        self._server.start()

    def set_fault(self, fault: Fault) -> None:
        """Replaces the current fault."""
        self.fault = fault
        if fault.silence_open:
            self._silenced |= self._open_connections.keys()
        if fault.reset_open:
            for sock in self._open_connections.values():
                _reset(sock)

    def _handle_connection(self, client: Any, address: object) -> None:
        del address
        self._connection_count += 1
        number = self._connection_count
        self._open_connections[number] = client
        try:
            target_socket = socket.create_connection(self._target, timeout=1.0)
            target_socket.settimeout(None)
            tasks = [
                gevent.spawn(self._copy, client, target_socket, number, False),
                gevent.spawn(self._copy, target_socket, client, number, True),
            ]
            # A direction that ended in order leaves the other one open.
            for task in gevent.iwait(tasks):
                if not task.value:
                    break
            gevent.killall(tasks)
            target_socket.close()
        except OSError:
            pass
        finally:
            self._open_connections.pop(number, None)
            client.close()

    def stop(self) -> None:
        """Stops listening; data on open connections is still forwarded."""
        self._server.stop(timeout=0)

    def _copy(
        self, source: Any, destination: Any, number: int, from_target: bool
    ) -> bool:
        """Copies one direction; delayed chunks do not block reading.

        Returns:
            Whether the source ended in order and everything that it had sent
            was forwarded, together with its end. False if the connection is to
            be closed.
        """
        chunks: queue.Queue[tuple[float, bytes | None]] = queue.Queue()
        writer = gevent.spawn(
            self._write, chunks, destination, number, from_target
        )
        try:
            data: bytes | None = b"-"
            while data:
                try:
                    data = source.recv(_READ_BYTES)
                except OSError:
                    data = None
                chunks.put((time.monotonic() + self._draw_delay_s(), data))
            if self._is_blocked(number, from_target):
                return False
            # What arrived before the end is still delivered.
            writer.join()
            return bool(writer.value)
        finally:
            writer.kill()

    def _write(
        self,
        chunks: "queue.Queue[tuple[float, bytes | None]]",
        destination: Any,
        number: int,
        from_target: bool,
    ) -> bool:
        """Writes each chunk to the destination once its delay has passed.

        An empty chunk is the end of the source, None its loss.

        Returns:
            Whether the end was forwarded, False if the connection is lost.
        """
        while True:
            send_at, data = chunks.get()
            gevent.sleep(max(send_at - time.monotonic(), 0.0))
            if self._is_blocked(number, from_target):
                event.Event().wait()
            if data is None:
                return False
            try:
                if not data:
                    destination.shutdown(socket.SHUT_WR)
                    return True
                destination.sendall(data)
            except OSError:
                # The task that reads from this socket detects the closed
                # connection.
                return False

    def _is_blocked(self, number: int, from_target: bool) -> bool:
        is_cut = self.fault.cut or (from_target and self.fault.cut_back)
        return is_cut or number in self._silenced

    def _draw_delay_s(self) -> float:
        fault = self.fault
        delay_s = fault.delay_s + fault.jitter_s * self._rng.random()
        if self._rng.random() < fault.stall_chance:
            delay_s += fault.stall_s
        return delay_s


def _reset(sock: Any) -> None:
    """Closes a connection with a TCP reset instead of a FIN, once."""
    if sock.fileno() < 0:
        # An earlier reset has closed it, and its handler has not ended yet.
        return
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


class _FaultRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a `POST /fault` request."""

    #: Address on which the relay listens, as given on the command line.
    listen: str
    fault: Fault


def _handle_control(
    relays: dict[str, Relay],
    environ: web.Environ,
    start_response: web.StartResponse,
) -> Iterable[bytes]:
    """Handles a `POST /fault` request."""
    body = web.read_body(environ, _READ_BYTES)
    fault_request = msgspec.json.decode(body, type=_FaultRequest)
    relays[fault_request.listen].set_fault(fault_request.fault)
    return web.json_response(start_response, "200 OK", {})


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> None:
    """Entry point: runs relays until SIGTERM."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    relays: dict[str, Relay] = {}
    for argument in sys.argv[2:]:
        listen, _, target = argument.partition("=")
        relays[listen] = Relay(listen, target)
        relays[listen].start()
    host, port = _parse_address(sys.argv[1])
    control = web.Server(host, port, functools.partial(_handle_control, relays))
    control.start()
    stop.wait()


if __name__ == "__main__":
    main()
