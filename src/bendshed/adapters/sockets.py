"""Listening sockets."""

import socket

LISTEN_BACKLOG = 1024


def bind(host: str, port: int) -> socket.socket:
    """Bind and listen; from now on a connection waits and is not refused."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener
