"""Leaders of different groups tell each other what they have under way at runners."""

import asyncio

from bendshed.consensus.host import GroupHost
from bendshed.model.address import Address
from bendshed.placement.cluster_load import ClusterLoad
from bendshed.placement.groups import TurnGroups
from bendshed.placement.other_loads import OtherLoad
from bendshed.ports.transport import Transport
from bendshed.turns.group_peers import GroupPeers
from bendshed.wire import turns_pb2 as wire

LOADS_METHOD = "turns.loads"
TELL_INTERVAL_S = 0.25
"""A turn takes about as long; one message has some 20 bytes a runner."""


class LoadExchange:
    """One way, a few times a second, from each process that leads to the leaders of the others.

    A process has one board for all groups that it leads, so these need no message.
    """

    def __init__(
        self,
        transport: Transport,
        host: GroupHost,
        groups: TurnGroups,
        peers: GroupPeers,
        board: ClusterLoad,
    ) -> None:
        self._transport = transport
        self._host = host
        self._groups = groups
        self._peers = peers
        self._board = board
        self._has_told = False
        transport.one_way_handlers[LOADS_METHOD] = self._take

    async def run(self) -> None:
        """Tell, again and again; nobody is told where there is one group."""
        while self._groups.count > 1:
            await asyncio.sleep(TELL_INTERVAL_S)
            led = self._host.led_groups()
            if led:
                self._tell(led[0], [n for n in self._groups.numbers if n not in led])

    def _tell(self, own_group: int, others: list[int]) -> None:
        """Tell the whole load; an empty one once, so that idle leaders are quiet."""
        own = self._board.own_loads()
        if not own and not self._has_told:
            return
        self._has_told = bool(own)
        loads = [
            wire.RunnerLoad(
                runner_id=runner, num_running=load.num_running, num_tokens=load.num_tokens
            )
            for runner, load in own
        ]
        at_ms = int(asyncio.get_running_loop().time() * 1000)
        told = wire.RunnerLoads(
            group=own_group, at_ms=at_ms, loads=loads, sender=self._host.node_id
        )
        payload = told.SerializeToString()
        for address in self._leaders(others):
            self._transport.send(address, LOADS_METHOD, payload)

    def _leaders(self, groups: list[int]) -> set[Address]:
        found = (self._peers.leader_address(group) for group in groups)
        return {address for address in found if address is not None}

    def _take(self, payload: bytes) -> None:
        told = wire.RunnerLoads.FromString(payload)
        loads = [(row.runner_id, OtherLoad(row.num_running, row.num_tokens)) for row in told.loads]
        now_s = asyncio.get_running_loop().time()
        self._board.others.take(told.sender, told.at_ms, loads, now_s)
