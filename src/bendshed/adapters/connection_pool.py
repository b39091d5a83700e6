"""Pool of persistent connections to many peers, reused in most-recently-used order."""

import asyncio
import math
from functools import partial

from bendshed.adapters.http_connection import HttpConnection, open_connection
from bendshed.adapters.traffic import TrafficCounter
from bendshed.model.address import Address
from bendshed.ports.round_trips import RoundTrips
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections

MAX_IDLE_PER_PEER = 32
CONNECT_TIMEOUT_ROUND_TRIPS = 4.0
"""Minimum connect timeout as a multiple of the peer's round trip, for distant peers."""
REQUEST, ANSWER = "request", "answer"
"""Directions in which bytes are counted: to the peer and from the peer."""


class ConnectionPool(RunnerConnections):
    """Idle connections by address.

    Args:
        connect_timeout_s: limit of the time to open a connection, in seconds.
        max_idle_s: a connection that was idle for longer is not reused, even if its peer keeps it.

    Attributes:
        num_opened: number of connections opened since start.
        traffic: bytes of requests and responses, counted when their connection is released.

    """

    def __init__(self, connect_timeout_s: float, max_idle_s: float = math.inf) -> None:
        self.num_opened = 0
        self.traffic = TrafficCounter(
            "bendshed_runner_bytes", "Bytes to and from runners by direction and distance"
        )
        self._round_trips: RoundTrips[Address] = RoundTrips()
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._idle: dict[Address, list[HttpConnection]] = {}

    async def acquire(self, address: Address) -> HttpConnection:
        """Return an idle connection or open one; raise ``ConnectFailed``."""
        connection = self._take_idle(address)
        if connection is not None:
            return connection
        self.num_opened += 1
        began_s = asyncio.get_running_loop().time()
        min_timeout_s = CONNECT_TIMEOUT_ROUND_TRIPS * (
            self._round_trips.min_s(address, began_s) or 0.0
        )
        opened = await open_connection(address, max(self._connect_timeout_s, min_timeout_s))
        now_s = asyncio.get_running_loop().time()
        self._round_trips.record(address, now_s - began_s, now_s)
        # If one connection to a peer is silent, the idle ones probably are too, and each of them
        # would lose another request.
        opened.on_silent = partial(self.close_idle, address)
        return opened

    def _take_idle(self, address: Address) -> HttpConnection | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable and connection.reusable_until_s > now_s:
                return connection
            connection.abort()
        return None

    def has_idle(self, address: Address) -> bool:
        """Return whether there is an idle connection to the peer that may be reused."""
        now_s = asyncio.get_running_loop().time()
        return any(
            connection.is_reusable and connection.reusable_until_s > now_s
            for connection in self._idle.get(address, ())
        )

    def release(self, address: Address, connection: RunnerConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        idle = self._idle.setdefault(address, [])
        assert isinstance(connection, HttpConnection)
        num_sent, num_received = connection.take_counts()
        self.traffic.record(REQUEST, address.host, num_sent)
        self.traffic.record(ANSWER, address.host, num_received)
        if connection.is_reusable and len(idle) < MAX_IDLE_PER_PEER:
            until_s = asyncio.get_running_loop().time() + self._max_idle_s
            connection.reusable_until_s = min(connection.reusable_until_s, until_s)
            idle.append(connection)
        else:
            connection.abort()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a peer that is no longer in use."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
