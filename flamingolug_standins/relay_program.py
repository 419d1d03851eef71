"""Program `flamingolug-relay CONTROL LISTEN=TARGET ...`: TCP relays.

A relay can delay what passes, stall it for a while, as lost packets do, or go
silent for good on the connections that are open. `POST /fault` on the control
address sets the fault of one relay.
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
    """How the relay treats what passes."""

    #: Seconds of one-way delay, and its random part.
    delay_s: float = 0.0
    jitter_s: float = 0.0
    #: Chance that a piece stalls for `stall_s`.
    stall_chance: float = 0.0
    stall_s: float = 0.2
    #: Connections open at the time pass nothing any more.
    silence_open: bool = False
    #: No connection passes anything.
    cut: bool = False
    #: Nothing passes back from the target.
    cut_back: bool = False
    #: Connections open at the time are reset.
    reset_open: bool = False


class Relay:
    """Relays TCP connections to one target."""

    def __init__(self, listen: str, target: str) -> None:
        """Binds the address."""
        self.fault = Fault()
        self._silent: set[int] = set()
        self._open: dict[int, Any] = {}
        self._numbers = 0
        self._target = _split(target)
        self._rng = random.Random(1)
        self._server = server.StreamServer(_split(listen), self._relay)

    def start(self) -> None:
        """Begins to accept."""
        self._server.start()

    def set_fault(self, fault: Fault) -> None:
        """Takes in a fault."""
        self.fault = fault
        if fault.silence_open:
            self._silent |= self._open.keys()
        if fault.reset_open:
            for sock in self._open.values():
                _reset(sock)

    def _relay(self, client: Any, address: object) -> None:
        del address
        self._numbers += 1
        number = self._numbers
        self._open[number] = client
        try:
            upstream = socket.create_connection(self._target, timeout=1.0)
            upstream.settimeout(None)
            tasks = [
                gevent.spawn(self._copy, client, upstream, number, False),
                gevent.spawn(self._copy, upstream, client, number, True),
            ]
            gevent.joinall(tasks, count=1)
            gevent.killall(tasks)
            upstream.close()
        except OSError:
            pass
        finally:
            self._open.pop(number, None)
            client.close()

    def stop(self) -> None:
        """Ends listening and every connection."""
        self._server.stop(timeout=0)

    def _copy(self, source: Any, target: Any, number: int, back: bool) -> None:
        """Copies one direction; what is delayed does not hold up reading."""
        pieces: queue.Queue[tuple[float, bytes]] = queue.Queue()
        writer = gevent.spawn(self._write, pieces, target, number, back)
        try:
            while True:
                data = source.recv(_READ_BYTES)
                if not data:
                    return
                pieces.put((time.monotonic() + self._delay_s(), data))
        except OSError:
            return
        finally:
            writer.kill()

    def _write(
        self,
        pieces: "queue.Queue[tuple[float, bytes]]",
        target: Any,
        number: int,
        back: bool,
    ) -> None:
        while True:
            due, data = pieces.get()
            gevent.sleep(max(due - time.monotonic(), 0.0))
            cut = self.fault.cut or (back and self.fault.cut_back)
            if number in self._silent or cut:
                event.Event().wait()
            try:
                target.sendall(data)
            except OSError:
                # The other direction's end is told by its reader.
                return

    def _delay_s(self) -> float:
        fault = self.fault
        wait_s = fault.delay_s + fault.jitter_s * self._rng.random()
        if self._rng.random() < fault.stall_chance:
            wait_s += fault.stall_s
        return wait_s


def _reset(sock: Any) -> None:
    """Closes a connection without an orderly end."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


class _Setting(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a control request."""

    listen: str
    fault: Fault


def _control(
    relays: dict[str, Relay],
    environ: web.Environ,
    start_response: web.StartResponse,
) -> Iterable[bytes]:
    """Answers a control request."""
    body = web.read_body(environ, _READ_BYTES)
    setting = msgspec.json.decode(body, type=_Setting)
    relays[setting.listen].set_fault(setting.fault)
    return web.json_response(start_response, "200 OK", {})


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> None:
    """Entry point."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    relays: dict[str, Relay] = {}
    for pair in sys.argv[2:]:
        listen, _, target = pair.partition("=")
        relays[listen] = Relay(listen, target)
        relays[listen].start()
    host, port = _split(sys.argv[1])
    control = web.Server(host, port, functools.partial(_control, relays))
    control.start()
    stop.wait()


if __name__ == "__main__":
    main()
