"""Kept connections to many peers, the most recently used first."""

import asyncio
from functools import partial

from bendshed.adapters.http_connection import HttpConnection, open_connection
from bendshed.adapters.traffic import Traffic
from bendshed.model.address import Address
from bendshed.ports.round_trips import RoundTrips
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections

MAX_IDLE_PER_PEER = 32
CONNECT_TRIPS = 4.0
"""Least connect timeout for a far peer, in its round trips."""
REQUEST, ANSWER = "request", "answer"
"""Directions in which bytes are counted, to the peer and from it."""


class ConnectionPool(RunnerConnections):
    """Idle connections by address.

    Attributes:
        num_opened: connections opened since start.
        traffic: bytes of requests and answers whose connections were given back.

    """

    def __init__(self, connect_timeout_s: float) -> None:
        self.num_opened = 0
        self.traffic = Traffic(
            "bendshed_runner_bytes", "Bytes to and from runners by direction and distance"
        )
        self._round_trips: RoundTrips[Address] = RoundTrips()
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[HttpConnection]] = {}

    async def acquire(self, address: Address) -> HttpConnection:
        """Take an idle connection or open one; raise ``ConnectFailed``."""
        connection = self._take_idle(address)
        if connection is not None:
            return connection
        self.num_opened += 1
        began_s = asyncio.get_running_loop().time()
        far_s = CONNECT_TRIPS * (self._round_trips.min_s(address, began_s) or 0.0)
        opened = await open_connection(address, max(self._connect_timeout_s, far_s))
        now_s = asyncio.get_running_loop().time()
        self._round_trips.record(address, now_s - began_s, now_s)
        # Kept connections fall silent together; each would lose one more request.
        opened.on_silent = partial(self.forget, address)
        return opened

    def _take_idle(self, address: Address) -> HttpConnection | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable and connection.rest_until_s > now_s:
                return connection
            connection.abort()
        return None

    def has_idle(self, address: Address) -> bool:
        """Whether a connection rests there that may be used again."""
        now_s = asyncio.get_running_loop().time()
        return any(
            connection.is_reusable and connection.rest_until_s > now_s
            for connection in self._idle.get(address, ())
        )

    def release(self, address: Address, connection: RunnerConnection) -> None:
        """Give a connection back after ``finish``, or drop it."""
        idle = self._idle.setdefault(address, [])
        assert isinstance(connection, HttpConnection)
        num_sent, num_received = connection.take_counts()
        self.traffic.note(REQUEST, address.host, num_sent)
        self.traffic.note(ANSWER, address.host, num_received)
        if connection.is_reusable and len(idle) < MAX_IDLE_PER_PEER:
            idle.append(connection)
        else:
            connection.abort()

    def forget(self, address: Address) -> None:
        """Close the idle connections to a peer that is gone."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)
