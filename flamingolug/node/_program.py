"""Command line and life cycle of `flamingolug-node`."""

import gc
import logging
import os
import signal
import sys
import time
from typing import ClassVar

import cleo.application
import cleo.commands.command
import cleo.helpers
import gevent
from gevent import event

from flamingolug import errors
from flamingolug import kernel
from flamingolug import membership
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _http_frontend
from flamingolug.node import _inbound
from flamingolug.node import _plugins
from flamingolug.node import _upstream

_LOGGER = logging.getLogger(__name__)
EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
#: Minimum seconds between announcing the departure and closing the ports, so
#: that peers stop sending before the ports close. A smaller `drain_timeout_s`
#: shortens it.
LEAVE_NOTICE_S = 1.0
_POLL_S = 0.02
#: Thresholds of the garbage collector: allocations per collection of the young
#: generation, then collections of one generation per collection of the next.
GC_YOUNG_OBJECTS = 20_000
GC_MIDDLE_RUNS = 20
GC_OLD_RUNS = 50
#: Number of random bits in an incarnation, below the start time in
#: milliseconds.
_RANDOM_BITS = 12


def new_incarnation() -> int:
    """Returns an incarnation above that of earlier runs of this node.

    This requires that the clock is not set back between the runs and that two
    runs do not start in the same millisecond.
    """
    # Two random bytes have 16 bits, of which `_RANDOM_BITS` are used.
    random_bits = int.from_bytes(os.urandom(2), "big") >> 4
    return (int(time.time() * 1000) << _RANDOM_BITS) | random_bits


def run(cfg: settings.Settings) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit code."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    parts = kernel.Kernel(
        kernel.registered(),
        {
            "settings": cfg,
            "timers": timing.GeventTimers(),
            "identity": _plugins.Identity(new_incarnation()),
            "stop": stop,
        },
    )
    parts.start()
    # A full collection over all objects held by the libraries takes 30 ms.
    # Objects that exist at this point stay alive, so later collections skip
    # them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, GC_MIDDLE_RUNS, GC_OLD_RUNS)
    telemetry.event(
        _LOGGER,
        "node.started",
        http=cfg.http_address,
        peer_address=cfg.peer_address,
        zone=cfg.availability_zone,
    )
    stop.wait()
    stop_gracefully(parts, cfg)
    return EXIT_OK


def stop_gracefully(parts: kernel.Kernel, cfg: settings.Settings) -> None:
    """Leaves the fleet and stops the node.

    Waits until other nodes own the keys of this node and the calls on the local
    backend server have ended, leaves the fleet, then waits for calls from peers
    and for the HTTP requests in progress. Requests that still run after
    `drain_timeout_s` are cut off.
    """
    front = parts.get("front", _http_frontend.HttpFrontend)
    inbound = parts.get("inbound", _inbound.InboundCalls)
    upstream = parts.get("upstream", _upstream.LocalUpstream)
    members = parts.get("membership", membership.Membership)
    telemetry.event(_LOGGER, "node.stopping")
    deadline = time.monotonic() + cfg.drain_timeout_s
    upstream.stop_accepting()
    front.server.request_connection_close()
    upstream.drain(cfg.drain_timeout_s)
    members.leave()
    gevent.sleep(min(LEAVE_NOTICE_S, cfg.drain_timeout_s))
    while inbound.is_busy() or upstream.is_busy():
        if time.monotonic() > deadline:
            break
        gevent.sleep(_POLL_S)
    cut_off = front.server.stop(max(deadline - time.monotonic(), 0.0))
    parts.stop()
    telemetry.event(_LOGGER, "node.stopped", cut_off=cut_off)


class _NodeCommand(cleo.commands.command.Command):
    """Command that runs a node."""

    name = "run"
    description = "Runs a node with the settings in a YAML file."
    arguments: ClassVar = [
        cleo.helpers.argument("settings", "path of the settings file")
    ]
    options: ClassVar = [
        cleo.helpers.option(
            "check", None, "check the settings and exit", flag=True
        )
    ]

    def handle(self) -> int:
        """Checks the settings, then runs the node until a signal stops it."""
        try:
            cfg = settings.load_file(self.argument("settings"))
        except errors.ConfigurationError as exc:
            self.line_error(str(exc))
            return EXIT_BAD_SETTINGS
        if self.option("check"):
            self.line("settings are valid")
            return EXIT_OK
        telemetry.configure(cfg.log_level, cfg.name)
        return run(cfg)


def main() -> None:
    """Runs the command line of `flamingolug-node`."""
    app = cleo.application.Application("flamingolug-node", "0.1.0")
    app.add(_NodeCommand())
    sys.exit(app.run())
