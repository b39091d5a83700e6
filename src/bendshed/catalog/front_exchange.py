"""Sends hello messages to silent fronts, and lists of fronts to the other replica machines."""

import asyncio
import itertools
import math
from collections.abc import Callable

from bendshed.catalog.demand import SILENT_FRONT_EXPIRY_S, Demand
from bendshed.catalog.messages import fronts_from_wire
from bendshed.catalog.persistence import CatalogPersistence
from bendshed.catalog.relay_list import RelayList
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, to_wire
from bendshed.model.address import Address
from bendshed.ports.transport import Transport
from bendshed.wire import catalog_pb2 as wire

FRONTS_METHOD = "catalog.fronts"
HELLO_INTERVAL_S = 0.3
MIN_FRONTS_SAVE_INTERVAL_S = 5.0
"""Shortest time between two saves for new fronts alone. Each message names a random sample, so with
many fronts it takes several rounds until all are known."""
SLOW_HELLO_ROUNDS = 7
"""A front that has been silent for ``SILENT_FRONT_EXPIRY_S`` gets a hello only in every 7th round,
every 2.1 s: within the 3 s in which a machine must be reachable, with a seventh of the messages."""


class FrontExchange:
    """Sends one replica machine's one-way messages to fronts, and those about fronts to others."""

    def __init__(
        self,
        transport: Transport,
        directory: ReplicaDirectory,
        own_address: Address,
        demand: Demand,
        relay_list: RelayList,
        persistence: CatalogPersistence,
        is_registry_lost: Callable[[], bool],
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._own_address = own_address
        self._demand = demand
        self._relay_list = relay_list
        self._persistence = persistence
        self._is_registry_lost = is_registry_lost
        self._silent_since_s: dict[Address, float] = {}
        self._named_at_s: dict[Address, float] = {}
        self._fronts_saved_s = -math.inf

    def start(self) -> None:
        """Begin to receive lists of fronts from other machines."""
        self._transport.one_way_handlers[FRONTS_METHOD] = self._take_fronts

    def _take_fronts(self, payload: bytes) -> None:
        """Remember fronts that another machine names, and save them.

        That machine may lose its power and its disk while the registry is down: then its fronts
        learn of replica machines only from machines that saved them.
        """
        named = fronts_from_wire(wire.CatalogReply.FromString(payload))
        self._relay_list.note_named(named)
        now_s = asyncio.get_running_loop().time()
        self._named_at_s.update((front.address, now_s) for front in named)
        saved = self._persistence.saved_fronts
        has_unsaved = any(front.address not in saved for front in named)
        if has_unsaved and now_s >= self._fronts_saved_s + MIN_FRONTS_SAVE_INTERVAL_S:
            self._fronts_saved_s = now_s
            self._persistence.note_change()

    async def send_hellos(self) -> None:
        """Send this machine's address to silent fronts, which may have no other source of it."""
        for number in itertools.count():
            if self._is_registry_lost():
                self._persistence.retain_previous_fronts()
            own_node = self._directory.own_node
            if own_node is not None:
                hello = to_wire(own_node).SerializeToString()
                for front in self._fronts_due_for_hello(
                    is_slow_round=number % SLOW_HELLO_ROUNDS == 0
                ):
                    self._transport.send(front, HELLO_METHOD, hello)
            await asyncio.sleep(HELLO_INTERVAL_S)

    def _fronts_due_for_hello(self, is_slow_round: bool) -> list[Address]:
        """Silent fronts that get a hello in this round."""
        now_s = asyncio.get_running_loop().time()
        silent = self._silent_fronts()
        previous_s = self._silent_since_s
        self._silent_since_s = {front: previous_s.get(front, now_s) for front in silent}
        return [
            front
            for front, since_s in self._silent_since_s.items()
            if is_slow_round or now_s - since_s < SILENT_FRONT_EXPIRY_S
        ]

    def _silent_fronts(self) -> list[Address]:
        """Fronts that sent requests to this machine, now or before its restart, but none recently.

        While the registry is lost, also fronts of other machines that may have failed.
        """
        others = list(self._persistence.previous_fronts())
        if self._is_registry_lost():
            others += self._relay_list.no_longer_named()
        requested_at_s = self._demand.front_requested_at_s
        unheard = [front for front in dict.fromkeys(others) if front not in requested_at_s]
        return self._demand.silent_fronts() + unheard

    def share_fronts(self) -> None:
        """Send some fronts to the other replica machines, which use them as relays and save them.

        Forget fronts that no machine has named for ``SILENT_FRONT_EXPIRY_S``.
        """
        oldest_s = asyncio.get_running_loop().time() - SILENT_FRONT_EXPIRY_S
        for front in [front for front, at_s in self._named_at_s.items() if at_s < oldest_s]:
            del self._named_at_s[front]
        fronts = self._relay_list.choose_shared(self._demand.front_requested_at_s)
        if not fronts:
            return
        named = wire.CatalogReply(fronts=fronts)
        for node in self._directory.by_name.values():
            if node.address != self._own_address:
                self._transport.send(node.address, FRONTS_METHOD, named.SerializeToString())

    def all_fronts(self) -> tuple[Address, ...]:
        """Fronts to save: of this machine, of others and from before the restart; sorted."""
        fronts = {*self._demand.front_requested_at_s, *self._named_at_s}
        fronts.update(self._persistence.previous_fronts())
        return tuple(sorted(fronts, key=str))
