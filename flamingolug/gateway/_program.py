"""Runs a node until it receives a stop signal."""

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
from flamingolug.gateway import _link
from flamingolug.gateway import _peer_server
from flamingolug.gateway import _plugins
from flamingolug.gateway import _record_keeper
from flamingolug.gateway import _request
from flamingolug.gateway._environment import Environment

__all__ = ["Environment", "Node", "run"]

_LOGGER = logging.getLogger(__name__)
EXIT_OK = 0
#: Seconds after SIGTERM during which new connections are accepted. Readiness is
#: checked every second, and callers switch to another node after two failed
#: checks.
ACCEPT_AFTER_STOP_S = 2.6
#: Seconds reserved before SIGKILL for the final answers to interrupted
#: requests, the end of the remaining connections and the exit of the process.
STOP_MARGIN_S = 0.7
#: Seconds of that in which peers may close their connections.
CLOSE_TIMEOUT_S = 0.2
_POLL_INTERVAL_S = 0.05
#: Signals that a node handles.
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
#: Allocated objects between two collections of the young generation; high,
#: since reference counting frees most objects.
GC_YOUNG_OBJECTS = 20_000
#: Collections of the young generation between two of the middle generation.
GC_MIDDLE_RUNS = 20
#: Collections of the middle generation between two of the old generation.
GC_OLD_RUNS = 50

ConnectionHandler = Callable[[gevent_socket.socket, tuple[str, int]], None]


class Listeners:
    """Listening sockets of a node."""

    def __init__(self) -> None:
        """Creates an empty set of sockets."""
        self._servers: dict[str, gevent_server.StreamServer] = {}

    def add(
        self, name: str, address: tuple[str, int], handle: ConnectionHandler
    ) -> None:
        """Listens on an address and passes connections to `handle`."""
        server = gevent_server.StreamServer(
            http1.listen(address[0], address[1]), handle
        )
        server.start()
        self._servers[name] = server

    def close(self, *names: str) -> None:
        """Closes listening sockets; open connections are kept."""
        for name in names:
            server = self._servers.pop(name, None)
            if server is not None:
                server.close()

    def close_all(self) -> None:
        """Closes every listening socket."""
        self.close(*list(self._servers))


class Node:
    """One node process: its plug-ins and its listening sockets."""

    def __init__(self, environment: _environment.Environment) -> None:
        """Builds and starts the plug-ins, then opens the listening sockets."""
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
        """Stops immediately, without waiting for requests in progress."""
        self._listeners.close_all()
        self.parts.stop()
        self._timers.stop()

    def stop(self) -> None:
        """Stops gracefully.

        Waits for requests in progress until `STOP_MARGIN_S` before the end of
        the grace period, then interrupts the remaining ones.
        """
        _stop_gracefully(
            self.parts, self._listeners, self._timers, self._grace_s
        )
        self.close()


def run(environment: _environment.Environment) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit code."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, _log_changed_settings, environment)
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
    # The default action of a further signal would end the interpreter's exit.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    return EXIT_OK


def _log_changed_settings(environment: _environment.Environment) -> None:
    """Reads the settings again and logs which differ.

    They take effect after a restart.
    """
    try:
        settings = environment.reload_settings()
    except errors.ConfigurationError as exc:
        telemetry.failure(_LOGGER, "settings.rejected", exc)
        return
    changed = [
        name
        for name, value in settings._asdict().items()
        if value != getattr(environment.settings, name)
    ]
    telemetry.event(_LOGGER, "settings.read", differs=",".join(changed) or "-")


def _listen(
    parts: kernel.Kernel, environment: _environment.Environment
) -> Listeners:
    cfg = environment.settings
    control_server = parts.get("gateway.service", _control_server.ControlServer)
    listeners = Listeners()

    def http_handler(handle: http1.RequestHandler) -> ConnectionHandler:
        return lambda sock, peer: http1.serve_connection(sock, peer, handle)

    listeners.add("ready", cfg.ready, http_handler(control_server.answer_ready))
    listeners.add(
        "control", cfg.control, http_handler(control_server.answer_report)
    )
    if cfg.metrics is not None:
        listeners.add(
            "metrics", cfg.metrics, http_handler(control_server.answer_metrics)
        )
    listeners.add(
        "link",
        cfg.link_listen,
        parts.get("gateway.peer-server", _peer_server.PeerServer).serve,
    )
    listeners.add(
        "outbound",
        cfg.outbound,
        parts.get("gateway.entry", _entry.Entry).serve,
    )
    return listeners


def _stop_gracefully(
    parts: kernel.Kernel,
    listeners: Listeners,
    timers: timing.Timers,
    grace_s: float,
) -> None:
    """Waits for requests in progress, then closes the listening sockets.

    Waits at most until `STOP_MARGIN_S` before the end of the grace period.
    """
    started_at = timers.now()
    entry = parts.get("gateway.entry", _entry.Entry)
    gate = parts.get("gateway.gate", _gate.Gate)
    peer_server = parts.get("gateway.peer-server", _peer_server.PeerServer)
    telemetry.event(
        _LOGGER, "node.stopping", grace_s=grace_s, **_work_in_progress(parts)
    )
    handler = parts.get("gateway.handler", _request.Handler)
    handler.stopping = True
    handler.stopping_since = started_at
    gate.stop_accepting()
    announcer = parts.get("gateway.announcer", _announcer.Announcer)
    announcer.withdraw()
    control_server = parts.get("gateway.service", _control_server.ControlServer)
    keeper = parts.get("gateway.record-keeper", _record_keeper.RecordKeeper)
    deadline = started_at + grace_s - STOP_MARGIN_S
    refused_after = "-"
    gevent.sleep(min(ACCEPT_AFTER_STOP_S, deadline - started_at))
    entry.drain()
    handler.ends_at = deadline
    while timers.now() < deadline:
        gevent.sleep(min(_POLL_INTERVAL_S, deadline - timers.now()))
        if gate.busy:
            # Running requests of the backend server make their calls through
            # this node.
            continue
        if refused_after == "-":
            listeners.close("outbound")
            refused_after = f"{timers.now() - started_at:.3f}"
            # The entry may not know the connection accepted last yet.
            continue
        entry.finish_idle()
        if announcer.has_unwritten_departure or keeper.busy:
            continue
        if control_server.busy:
            continue
        if not (entry.has_work or peer_server.has_output):
            break
    interrupted = entry.busy or gate.busy
    work = _work_in_progress(parts)
    # Nothing that arrives from now on is passed on.
    handler.ends_at = timers.now()
    entry.interrupt()
    listeners.close_all()
    _close_connections(parts, timers)
    entry.report_interrupted()
    telemetry.event(
        _LOGGER,
        "node.stopped",
        interrupted=interrupted,
        took_s=round(timers.now() - started_at, 3),
        refused_after_s=refused_after,
        departure_lost=announcer.has_unwritten_departure,
        **work,
    )


def _close_connections(parts: kernel.Kernel, timers: timing.Timers) -> None:
    """Waits at most `CLOSE_TIMEOUT_S` until peers have closed connections.

    The exit would reset a connection with unread input, and its peer might
    lose the last bytes.
    """
    entry = parts.get("gateway.entry", _entry.Entry)
    peer_server = parts.get("gateway.peer-server", _peer_server.PeerServer)
    deadline = timers.now() + CLOSE_TIMEOUT_S
    while timers.now() < deadline:
        entry.finish_idle()
        peer_server.finish()
        if not (entry.has_connections or peer_server.has_connections):
            return
        gevent.sleep(min(_POLL_INTERVAL_S, deadline - timers.now()))


def _work_in_progress(parts: kernel.Kernel) -> dict[str, int]:
    """Returns the work of a node that its end would interrupt, as fields."""
    load = parts.get("gateway.entry", _entry.Entry).load()
    links = parts.get("gateway.links", _link.Links)
    peer_server = parts.get("gateway.peer-server", _peer_server.PeerServer)
    peer_queues = peer_server.socket_queues()
    return {
        "connections": load.connections,
        "pending": load.pending,
        "lingering": load.lingering,
        "gate_calls": parts.get("gateway.gate", _gate.Gate).call_count,
        "links_queued": links.queued_bytes(),
        "peers_queued": peer_server.queued_bytes(),
        "peers_unread": peer_queues.unread_bytes,
        "peers_unsent": peer_queues.unsent_bytes,
    }
