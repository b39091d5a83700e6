"""Listening sockets."""

import socket

LISTEN_BACKLOG = 1024


def bind(host: str, port: int) -> socket.socket:
    """Bind and listen; from then on, new connections are queued instead of being refused."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener
