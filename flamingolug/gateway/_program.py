"""Runs a gateway until it is told to stop."""

import gc
import logging
import signal
from collections.abc import Callable

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1
from flamingolug import kernel
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _announcer
from flamingolug.gateway import _control_server
from flamingolug.gateway import _entry
from flamingolug.gateway import _environment
from flamingolug.gateway import _gate
from flamingolug.gateway import _peer_server
from flamingolug.gateway import _plugins
from flamingolug.gateway import _request
from flamingolug.gateway._environment import Environment

__all__ = ["Environment", "Node", "run"]

_LOGGER = logging.getLogger(__name__)
EXIT_OK = 0
#: Seconds after SIGTERM for which new connections are taken: readiness is
#: asked each second and two misses are needed before callers go elsewhere.
ACCEPT_AFTER_STOP_S = 2.6
#: Taken off the time until SIGKILL, for closing what is left.
STOP_MARGIN_S = 0.4
_POLL_S = 0.05
#: Objects made between two collections; most die by reference count.
GC_YOUNG_OBJECTS = 20_000
GC_MIDDLE_RUNS = 20
GC_OLD_RUNS = 50

ConnectionHandler = Callable[[gevent_socket.socket, tuple[str, int]], None]


class Listeners:
    """The listening sockets of a gateway."""

    def __init__(self) -> None:
        """Starts without sockets."""
        self._servers: dict[str, gevent_server.StreamServer] = {}

    def add(
        self, name: str, address: tuple[str, int], handle: ConnectionHandler
    ) -> None:
        """Listens on an address."""
        server = gevent_server.StreamServer(
            http1.listen(address[0], address[1]), handle
        )
        server.start()
        self._servers[name] = server

    def close(self, *names: str) -> None:
        """Closes listening sockets; connections go on."""
        for name in names:
            server = self._servers.pop(name, None)
            if server is not None:
                server.close()

    def close_all(self) -> None:
        """Closes every listening socket."""
        self.close(*list(self._servers))


class Node:
    """One gateway: its parts and its listening sockets."""

    def __init__(self, environment: _environment.Environment) -> None:
        """Builds the parts, starts them and listens."""
        self._timers = timing.GeventTimers()
        self.parts = kernel.Kernel(
            kernel.registered(_plugins.PROGRAM),
            {
                "gateway.environment": environment,
                "gateway.timers": self._timers,
            },
        )
        self.parts.start()
        self._grace_s = environment.settings.grace_s
        self._listeners = _listen(self.parts, environment)

    def close(self) -> None:
        """Ends everything at once."""
        self._listeners.close_all()
        self.parts.stop()
        self._timers.stop()

    def stop(self) -> None:
        """Leaves without interrupting a request in progress."""
        _stop_gracefully(
            self.parts, self._listeners, self._timers, self._grace_s
        )
        self.close()


def run(environment: _environment.Environment) -> int:
    """Runs a gateway until SIGTERM or SIGINT; returns the exit code."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, _reload, environment)
    node = Node(environment)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, GC_MIDDLE_RUNS, GC_OLD_RUNS)
    cfg = environment.settings
    telemetry.event(
        _LOGGER,
        "node.started",
        outbound=f"{cfg.outbound[0]}:{cfg.outbound[1]}",
        link=f"{cfg.link[0]}:{cfg.link[1]}",
        zone=cfg.identity.zone,
        service=cfg.identity.service,
    )
    stop.wait()
    node.stop()
    return EXIT_OK


def _reload(environment: _environment.Environment) -> None:
    """Reads the settings again and tells what would need a restart."""
    try:
        found = environment.reload_settings()
    except errors.ConfigurationError as exc:
        telemetry.failure(_LOGGER, "settings.rejected", exc)
        return
    changed = [
        name
        for name, value in found._asdict().items()
        if value != getattr(environment.settings, name)
    ]
    telemetry.event(_LOGGER, "settings.read", differs=",".join(changed) or "-")


def _listen(
    built: kernel.Kernel, environment: _environment.Environment
) -> Listeners:
    cfg = environment.settings
    service = built.get("gateway.service", _control_server.ControlServer)
    listeners = Listeners()

    def small(handle: http1.Handle) -> ConnectionHandler:
        return lambda sock, peer: http1.serve_connection(sock, peer, handle)

    listeners.add("ready", cfg.ready, small(service.answer_ready))
    listeners.add("control", cfg.control, small(service.answer_report))
    if cfg.metrics is not None:
        listeners.add("metrics", cfg.metrics, small(service.answer_metrics))
    listeners.add(
        "link",
        cfg.link_listen,
        built.get("gateway.peer-server", _peer_server.PeerServer).serve,
    )
    listeners.add(
        "outbound",
        cfg.outbound,
        built.get("gateway.entry", _entry.Entry).serve,
    )
    return listeners


def _stop_gracefully(
    built: kernel.Kernel,
    listeners: Listeners,
    timers: timing.Timers,
    grace_s: float,
) -> None:
    """Leaves without interrupting a request in progress."""
    began = timers.now()
    entry = built.get("gateway.entry", _entry.Entry)
    gate = built.get("gateway.gate", _gate.Gate)
    telemetry.event(_LOGGER, "node.stopping", grace_s=grace_s)
    built.get("gateway.handler", _request.Handler).stopping = True
    gate.stop_accepting()
    announcer = built.get("gateway.announcer", _announcer.Announcer)
    gevent.spawn(announcer.withdraw)
    until = began + grace_s - STOP_MARGIN_S
    while timers.now() < until:
        gevent.sleep(_POLL_S)
        if timers.now() - began < ACCEPT_AFTER_STOP_S or gate.busy:
            # Calls of requests that still run here begin at this node.
            continue
        listeners.close("outbound")
        entry.close_idle()
        if not entry.busy:
            break
    left = entry.busy or gate.busy
    listeners.close_all()
    telemetry.event(
        _LOGGER,
        "node.stopped",
        interrupted=left,
        took_s=round(timers.now() - began, 3),
    )
