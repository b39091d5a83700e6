"""Keeps fronts in touch: greets silent ones, names some to the other replica machines."""

import asyncio

from bendshed.catalog.demand import GREETED_S, Demand
from bendshed.catalog.messages import read_fronts
from bendshed.catalog.persistence import CatalogPersistence
from bendshed.catalog.relay_list import RelayList
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, to_wire
from bendshed.model.address import Address
from bendshed.ports.transport import Transport
from bendshed.wire import catalog_pb2 as wire

FRONTS_METHOD = "catalog.fronts"
GREETING_INTERVAL_S = 0.3


class FrontExchange:
    """One-way messages of one replica machine to fronts and about them.

    Fronts that another machine named are saved too: after a loss of power that machine may have
    lost its disk, and a front without the registry waits for a greeting.
    """

    def __init__(
        self,
        transport: Transport,
        directory: ReplicaDirectory,
        me: Address,
        demand: Demand,
        relay_list: RelayList,
        persistence: CatalogPersistence,
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._me = me
        self._demand = demand
        self._relay_list = relay_list
        self._persistence = persistence
        self._named_at_s: dict[Address, float] = {}

    def start(self) -> None:
        """Receive what other machines say of fronts from now on."""
        self._transport.one_way_handlers[FRONTS_METHOD] = self._take_fronts

    def _take_fronts(self, payload: bytes) -> None:
        named = read_fronts(wire.CatalogReply.FromString(payload))
        self._relay_list.take_named(named)
        now_s = asyncio.get_running_loop().time()
        is_news = any(front.address not in self._named_at_s for front in named)
        self._named_at_s.update((front.address, now_s) for front in named)
        if is_news:
            self._persistence.note_change()

    async def greet(self) -> None:
        """Send silent fronts this machine's address: they may have no other source."""
        while True:
            own = self._directory.own
            if own is not None:
                hello = to_wire(own).SerializeToString()
                for front in self._silent_fronts():
                    self._transport.send(front, HELLO_METHOD, hello)
            await asyncio.sleep(GREETING_INTERVAL_S)

    def _silent_fronts(self) -> list[Address]:
        """Fronts that sent requests to this machine, or to its previous incarnation."""
        previous = self._persistence.previous_fronts()
        silent = self._demand.silent_fronts()
        return silent + [front for front in previous if front not in self._demand.fronts_at_s]

    def share(self) -> None:
        """Name some fronts to the other replica machines, which name them as relays and save them.

        Forget those that none has named for long.
        """
        oldest_s = asyncio.get_running_loop().time() - GREETED_S
        for front in [front for front, at_s in self._named_at_s.items() if at_s < oldest_s]:
            del self._named_at_s[front]
        fronts = self._relay_list.to_share(self._demand.fronts_at_s)
        if not fronts:
            return
        named = wire.CatalogReply(fronts=fronts)
        for node in self._directory.by_name.values():
            if node.address != self._me:
                self._transport.send(node.address, FRONTS_METHOD, named.SerializeToString())

    def all_fronts(self) -> tuple[Address, ...]:
        """Fronts to save: of this machine, of the others, of the previous incarnation; sorted."""
        fronts = {*self._demand.fronts_at_s, *self._named_at_s}
        fronts.update(self._persistence.previous_fronts())
        return tuple(sorted(fronts, key=str))
