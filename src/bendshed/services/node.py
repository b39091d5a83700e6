"""A node that forwards requests: its parts, and what it does with what it is told."""

import asyncio
import random
from collections.abc import Callable, Collection
from functools import partial

from bendshed.consensus.directory import ReplicaDirectory
from bendshed.logs import PartLog
from bendshed.ports.runner import RunnerProtocol
from bendshed.ports.runner_connections import RunnerConnections
from bendshed.ports.transport import Transport
from bendshed.programs.client import GroupClient
from bendshed.services.attempts import RunnerPorts
from bendshed.services.document import ServiceDocument
from bendshed.services.forwarder import Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.routing import RouteIndex
from bendshed.services.runners import RunnerTable, RunnerView, ServiceRunner
from bendshed.services.turn_record import TurnPorts
from bendshed.turns.client import TranscriptCache, TurnClient

TRANSCRIPT_BYTES = 16 * 1024 * 1024
TURN_GROUPS = 1
TURNS_LOST_S = 1.5
"""A node that no replica of the turn log answered for this long sends its clients elsewhere."""
PROBE_INTERVAL_S = 0.4

log = PartLog("node")


class ServiceNode:
    """Everything of a node but its shells.

    Invariants: a document is only ever replaced by a newer one; a node without a document, one
    that drains and one that no replica of the turn log answers any more is not ready.

    Attributes:
        directory: where the turn log's replicas are.
        forwarder: serves requests.
        on_document: called with each document that comes into force.

    """

    def __init__(
        self,
        transport: Transport,
        connections: RunnerConnections,
        protocol: RunnerProtocol,
        zone: str,
        rng: random.Random,
        metrics: ServiceMetrics,
    ) -> None:
        self.directory = ReplicaDirectory()
        self.on_document: Callable[[ServiceDocument], None] = lambda _document: None
        self.is_draining = False
        self._table = RunnerTable()
        self._pool = connections
        groups = GroupClient(
            transport, rng, TURN_GROUPS, self.directory.resolve, self.directory.node_ids
        )
        self._turns = TurnPorts(
            TurnClient(transport, rng, groups), TranscriptCache(TRANSCRIPT_BYTES), metrics
        )
        runners = RunnerPorts(self._table, self._pool, protocol, zone, rng, metrics)
        self.forwarder = Forwarder(runners, self._turns)
        self._add_gauges(metrics)

    def _add_gauges(self, metrics: ServiceMetrics) -> None:
        """What is told as it stands when it is asked for."""
        opened = metrics.gauge("bendshed_open_requests", "Requests under way")
        opened.set_function(lambda: self.forwarder.num_open)
        ready = metrics.gauge("bendshed_ready", "1 while new clients may be sent here")
        ready.set_function(lambda: float(self.is_ready))
        version = metrics.gauge("bendshed_configuration_version", "Configuration in force")
        version.set_function(self._version)
        runners = metrics.labelled_gauge("bendshed_runners", "Runners by state", "state")
        for state in RunnerView:
            runners.labels(state.value).set_function(partial(self._table.count, state))

    def _version(self) -> float:
        index = self.forwarder.index
        return float(index.document.version) if index is not None else 0.0

    @property
    def is_ready(self) -> bool:
        """Whether new clients may be sent here."""
        knows = self.forwarder.index is not None
        return knows and not self.is_draining and not self._has_lost_turns()

    def _has_lost_turns(self) -> bool:
        lost_since_s = self._turns.client.lost_since_s
        if lost_since_s is None:
            return False
        return asyncio.get_running_loop().time() - lost_since_s > TURNS_LOST_S

    async def watch_turn_log(self) -> None:
        """While no replica answers, ask again and again, so that a node becomes ready anew."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self._turns.client.lost_since_s is not None:
                await self._turns.client.probe()

    def take_document(self, document: ServiceDocument) -> bool:
        """Put a newer document in force; an older one changes nothing."""
        index = self.forwarder.index
        before = index.document.version if index is not None else None
        if before is not None and document.version <= before:
            return False
        self.forwarder.index = RouteIndex(document)
        log.say(
            "puts a configuration in force",
            version=document.version,
            before=before,
            routes=len(document.routes),
        )
        self.on_document(document)
        return True

    def list_runners(self, runners: Collection[ServiceRunner], trusted: bool) -> None:
        """Take the whole list of runners; see ``remove_runner`` for ``trusted``."""
        listed = {runner.runner_id for runner in runners}
        for runner_id in [name for name in self._table.by_id if name not in listed]:
            self.remove_runner(runner_id, trusted)
        for runner in runners:
            self.put_runner(runner)

    def put_runner(self, runner: ServiceRunner) -> None:
        """Take one runner's state."""
        self._table.put(runner)

    def remove_runner(self, runner_id: str, trusted: bool) -> None:
        """A runner is not listed any more; ``trusted``: the list's keeper is well."""
        record = self._table.by_id.get(runner_id)
        self._table.remove(runner_id, asyncio.get_running_loop().time(), trusted)
        if record is not None and trusted:
            self._pool.forget(record.listed.address)

    def start_drain(self) -> None:
        """Be not ready from now on; what comes is still served."""
        self.is_draining = True
        log.say("drains", open=self.forwarder.num_open)

    async def finish_late_turns(self) -> None:
        """Wait for the ends of turns that no caller waits for."""
        await asyncio.gather(*self._turns.late, return_exceptions=True)

    def close(self) -> None:
        """Close idle connections to runners."""
        self._pool.close()
