"""Program `flamingolug-backend CONFIGS`: emulated backend servers.

One process may run many servers, since they only sleep.
"""

import pathlib
import signal
import sys

import gevent
from gevent import event

from flamingolug_standins import backend


def main() -> None:
    """Entry point; the argument is a YAML file, a list of configurations."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    configs = backend.load_configs(pathlib.Path(sys.argv[1]).read_bytes())
    servers = [backend.Backend(config) for config in configs]
    for backend_server in servers:
        backend_server.start()
    stop.wait()
    for backend_server in servers:
        backend_server.leave()
    # Each server waits up to 10 s for requests in progress.
    gevent.joinall(
        [
            gevent.spawn(backend_server.server.stop, 10.0)
            for backend_server in servers
        ]
    )


if __name__ == "__main__":
    main()
