"""The sockets on which a front takes clients and the platform's question whether it is ready."""

import socket
from dataclasses import dataclass

from bendshed.adapters.sockets import bind
from bendshed.platform.settings import SiteSettings, read_address


@dataclass(frozen=True, slots=True)
class Listeners:
    """Open sockets.

    Attributes:
        front_port: the clients' port; 0: none.

    """

    sockets: tuple[socket.socket, ...] = ()
    front_port: int = 0


def listen(settings: SiteSettings) -> Listeners:
    """Bind and listen at the addresses of the settings."""
    texts = [settings.listen.front, settings.listen.ready]
    addresses = [read_address(text) for text in texts if text is not None]
    sockets = tuple(bind(address.host, address.port) for address in addresses)
    front = settings.listen.front
    return Listeners(sockets, read_address(front).port if front is not None else 0)
