"""Program `flamingolug-backend PLANS`: emulated backend servers.

One process may run many servers, since they only sleep.
"""

import pathlib
import signal
import sys

import gevent
from gevent import event

from flamingolug_standins import backend


def main() -> None:
    """Entry point; the argument is a YAML file with a list of plans."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    plans = backend.load_plans(pathlib.Path(sys.argv[1]).read_bytes())
    servers = [backend.Backend(plan) for plan in plans]
    for backend_server in servers:
        backend_server.start()
    stop.wait()
    for backend_server in servers:
        backend_server.leave()
    gevent.joinall(
        [
            gevent.spawn(backend_server.server.stop, 10.0)
            for backend_server in servers
        ]
    )


if __name__ == "__main__":
    main()
