"""A consensus group on real sockets whose connections all stall at once must commit again.

A site served no request 12 s after power had returned, and no log of it exists. A possible cause:
the connections between stores stall while only one-way messages are sent over them, so heartbeats
and votes continue into dead connections and no leader can commit. The proxies between the three
replicas reproduce this: they keep reading but forward nothing. It is not proven that the site's
connections had stalled.
"""

import asyncio
import contextlib
import random
import unittest

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.consensus.host import CommitUnknown, GroupHost, NotCommitted, NotLeader
from bendshed.model.address import Address
from bendshed.rehearsal.simulator.platform import SimDisk, SimLogStorage
from bendshed.wire import consensus_pb2 as wire
from tests.stalling_proxy import LOCAL, StallingProxy

GROUP = 0
METHOD = "say"
REQUEST_TIMEOUT_S = 30.0
"""Bound for a request that hangs; generous, since a busy machine may answer slowly."""
TICK_S = 0.025
ATTEMPT_TIMEOUT_S = 0.1
NUM_ATTEMPTS = 120
"""Sequential commit attempts: 12 s, the time within which the service must have recovered."""


class EchoState:
    """State machine that returns each command as its result."""

    def apply(self, data: bytes) -> object:
        return data

    def snapshot(self) -> bytes:
        return b""

    def restore(self, state: bytes) -> None:
        pass


class SilentGroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        names = ("one", "two", "three")
        self.proxies: list[StallingProxy] = []
        self.transports: list[TcpTransport] = []
        self.hosts: list[GroupHost] = []
        addresses: dict[str, Address] = {}
        for number, name in enumerate(names):
            transport = TcpTransport(LOCAL, 0)
            proxy = StallingProxy(await transport.start())
            addresses[name] = await proxy.start()
            host = GroupHost(
                SimLogStorage(SimDisk(identity=name)),
                transport,
                random.Random(number),
                TICK_S,
                lambda _group: EchoState(),
                addresses.get,
            )
            self.proxies.append(proxy)
            self.transports.append(transport)
            self.hosts.append(host)
        self.addresses = list(addresses.values())
        self.role_changed = asyncio.Event()
        for host in self.hosts:
            host.on_role_changed = lambda _group, _change: self.role_changed.set()
            host.start()
            host.bootstrap(GROUP, wire.GroupMembership(voters=names))

    async def asyncTearDown(self) -> None:
        for host in self.hosts:
            await host.stop()
        for transport in self.transports:
            await transport.close()
        for proxy in self.proxies:
            await proxy.stop()

    async def can_commit(self) -> bool:
        """Whether any replica commits a command."""
        for number in range(NUM_ATTEMPTS):
            try:
                await self.hosts[number % len(self.hosts)].propose(GROUP, b"x", ATTEMPT_TIMEOUT_S)
            except NotLeader:
                await self.wait_for_role_change()
            except (NotCommitted, CommitUnknown):
                continue
            else:
                return True
        return False

    async def wait_for_role_change(self) -> None:
        """Wait until a replica changes its role, at most for the timeout of one attempt."""
        self.role_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await self.role_changed.wait()

    async def open_all_connections(self) -> None:
        """Open every connection that a replica may use; connections opened later do not stall."""

        async def answer(payload: bytes) -> bytes:
            return payload

        for transport in self.transports:
            transport.handlers[METHOD] = answer
        for transport in self.transports:
            for address in self.addresses:
                await transport.request(address, METHOD, b"", REQUEST_TIMEOUT_S)

    async def test_group_commits_after_connections_fall_silent(self) -> None:
        await self.open_all_connections()
        self.assertTrue(await self.can_commit())
        for proxy in self.proxies:
            proxy.stall()
        self.assertTrue(await self.can_commit())
