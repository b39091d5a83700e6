"""A consensus group on real sockets whose connections all fall silent at once.

Seen: twelve seconds after the return of power nothing was served at a site; no log was kept. How it
may come about: the connections between stores fall silent, and nothing but one-way messages goes
between them. Cause: the leader's heartbeats and the others' votes went on into dead connections, so
no leader committed anything any more. Proof: proxies between three replicas that go on reading and
pass nothing on. That the site's connections were silent is not proven.
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
"""Ends a request that hangs; a busy machine may take its time for one that is answered."""
TICK_S = 0.025
ATTEMPT_TIMEOUT_S = 0.1
NUM_ATTEMPTS = 120
"""Tries of a commit, one after the other: 12 s, the time within which service has to be back."""


class EchoState:
    """Gives each command back."""

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
        """Whether any replica can_commit a command."""
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
        """Wait until a replica takes another role, or as long as a try takes."""
        self.role_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await self.role_changed.wait()

    async def open_all_connections(self) -> None:
        """Open each connection that any replica may use; those opened later are not silent."""

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
            proxy.fall_silent()
        self.assertTrue(await self.can_commit())
