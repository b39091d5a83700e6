"""Exchanges the load that group leaders have placed at runners between those leaders."""

import asyncio

from bendshed.consensus.host import GroupHost
from bendshed.model.address import Address
from bendshed.placement.cluster_load import ClusterLoad
from bendshed.placement.groups import TurnGroups
from bendshed.placement.peer_loads import LoadSummary
from bendshed.ports.transport import Transport
from bendshed.turns.group_peers import GroupPeers
from bendshed.wire import turns_pb2 as wire

LOADS_METHOD = "turns.loads"
REPORT_INTERVAL_S = 0.25
"""Interval between reports, about the length of a turn; a report has 20 bytes per runner."""


class LoadExchange:
    """Sends load reports from each process that leads a group to the leaders of the other groups.

    A process has one ``ClusterLoad`` for all groups that it leads, so these exchange no messages. A
    lost report reduces accuracy until the next one.
    """

    def __init__(
        self,
        transport: Transport,
        host: GroupHost,
        groups: TurnGroups,
        peers: GroupPeers,
        cluster_load: ClusterLoad,
    ) -> None:
        self._transport = transport
        self._host = host
        self._groups = groups
        self._peers = peers
        self._cluster_load = cluster_load
        self._has_reported = False
        transport.one_way_handlers[LOADS_METHOD] = self._receive_report

    async def run(self) -> None:
        """Send reports until cancelled; return at once if there is only one group."""
        while self._groups.count > 1:
            await asyncio.sleep(REPORT_INTERVAL_S)
            led_groups = self._host.led_groups()
            if led_groups:
                self._send_report(
                    led_groups[0], [n for n in self._groups.ids if n not in led_groups]
                )

    def _send_report(self, own_group: int, others: list[int]) -> None:
        """Send the whole load; send an empty one only once, so that idle leaders send nothing."""
        own = self._cluster_load.own_loads()
        if not own and not self._has_reported:
            return
        self._has_reported = bool(own)
        loads = [
            wire.RunnerLoad(
                runner_id=runner, num_running=load.num_running, num_tokens=load.num_tokens
            )
            for runner, load in own
        ]
        at_ms = int(asyncio.get_running_loop().time() * 1000)
        report = wire.RunnerLoads(
            group=own_group, at_ms=at_ms, loads=loads, sender=self._host.node_id
        )
        payload = report.SerializeToString()
        for address in self._leader_addresses(others):
            self._transport.send(address, LOADS_METHOD, payload)

    def _leader_addresses(self, groups: list[int]) -> set[Address]:
        found = (self._peers.leader_address(group) for group in groups)
        return {address for address in found if address is not None}

    def _receive_report(self, payload: bytes) -> None:
        report = wire.RunnerLoads.FromString(payload)
        loads = [
            (row.runner_id, LoadSummary(row.num_running, row.num_tokens)) for row in report.loads
        ]
        now_s = asyncio.get_running_loop().time()
        self._cluster_load.peer_loads.apply_report(report.sender, report.at_ms, loads, now_s)
