"""Listening sockets of a front: for clients and for the platform's readiness checks."""

import socket
from dataclasses import dataclass

from bendshed.adapters.sockets import bind
from bendshed.model.address import Address
from bendshed.platform.settings import SiteSettings


@dataclass(frozen=True, slots=True)
class Listeners:
    """Listening sockets.

    Attributes:
        front_port: port for clients; 0: none.

    """

    sockets: tuple[socket.socket, ...] = ()
    front_port: int = 0


def listen(settings: SiteSettings) -> Listeners:
    """Bind and listen on the addresses of the settings."""
    texts = [settings.listen.front, settings.listen.ready]
    addresses = [Address.parse(text) for text in texts if text is not None]
    sockets = tuple(bind(address.host, address.port) for address in addresses)
    front = settings.listen.front
    return Listeners(sockets, Address.parse(front).port if front is not None else 0)
