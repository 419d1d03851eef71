"""Sockets with the options that every connection of a node needs."""

import socket

from gevent import socket as gevent_socket

#: Milliseconds that sent bytes may stay unacknowledged before the connection
#: counts as lost; below the shortest usual deadline plus one retransmission.
USER_TIMEOUT_MS = 3000
#: Seconds of idleness before the first keep-alive probe.
KEEPALIVE_IDLE_S = 2
#: Seconds between keep-alive probes.
KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which the connection counts as lost.
KEEPALIVE_PROBES = 3
#: Connections that may wait to be accepted; a burst of fresh connections
#: from all clients of one instance fits.
BACKLOG = 1024


def set_socket_options(sock: gevent_socket.socket) -> None:
    """Sets no-delay and the timeouts that find silent connections."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


def listen(host: str, port: int) -> gevent_socket.socket:
    """Returns a listening socket."""
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock
