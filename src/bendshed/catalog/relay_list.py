"""Which fronts a replica machine names as relays: active lately, not cut off, most of them near."""

import asyncio
import random
from collections.abc import Iterable, Mapping

from bendshed.catalog.codec import address_to_wire
from bendshed.catalog.messages import FrontLocation
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.wire import catalog_pb2 as wire

LATELY_S, LATELY_INTERVALS = 1.5, 1.5
"""A front without a request for this long, or so many intervals, may be cut off: no relay. With 3 s
here and 3 s at the other machines a cut front was named for up to 7 s (docs/design/0011)."""
MAX_FRONTS_NAMED = 6
MAX_FAR_FRONTS_NAMED = 2
"""Of them, those of other regions: for a cut that all of a region's fronts share."""
MAX_FRONTS_SHARED = 12
"""Fronts that a machine names to the other replica machines: enough for others to relay through."""


class RelayList:
    """Fronts that may pass requests on.

    Attributes:
        elsewhere: fronts that other replica machines named, and when (loop time).

    """

    def __init__(
        self, host_locations: HostLocations, rng: random.Random, interval_s: float
    ) -> None:
        self.elsewhere: dict[Address, float] = {}
        self._host_locations = host_locations
        self._rng = rng
        self._lately_s = max(LATELY_S, LATELY_INTERVALS * interval_s)
        self._cut_off: set[Address] = set()

    def note_requester(self, front: Address, is_cut_off: bool) -> None:
        """A front requested the catalog, directly or through a relay."""
        if is_cut_off:
            self._cut_off.add(front)
        else:
            self._cut_off.discard(front)

    def take_named(self, fronts: Iterable[FrontLocation]) -> None:
        """Another replica machine named fronts that send it requests."""
        now_s = asyncio.get_running_loop().time()
        for front in fronts:
            self._host_locations.put(front.address.host, front.zone)
            self.elsewhere[front.address] = now_s

    def forget_silent(self, memory_s: float) -> None:
        """Forget fronts that no other machine has named for so long."""
        now_s = asyncio.get_running_loop().time()
        for front in [front for front, at_s in self.elsewhere.items() if now_s - at_s > memory_s]:
            del self.elsewhere[front]

    def unnamed_lately(self) -> list[Address]:
        """Fronts that other machines do not name any more: they or those machines may be gone."""
        oldest_s = asyncio.get_running_loop().time() - self._lately_s
        return [front for front, at_s in self.elsewhere.items() if at_s < oldest_s]

    def retain_only(self, known: Iterable[Address]) -> None:
        """Forget what was noted of fronts that are not known any more."""
        self._cut_off.intersection_update(known)

    def some_for(
        self, requester: Address, requested_at_s: Mapping[Address, float]
    ) -> list[wire.PeerAddress]:
        """Fronts that may relay a node's requests.

        Half of a region's are named by other machines, so they are of several zones.

        Args:
            requester: the node that needs relays.
            requested_at_s: when each front sent this machine a request (loop time).

        """
        here = [front for front in self._lately(requested_at_s) if front != requester]
        named = [front for front in self._lately(self.elsewhere) if front not in requested_at_s]
        near_here, far_here = self._by_region(here, requester)
        near_named, far_named = self._by_region(named, requester)
        far = self._sample([*far_here, *far_named], MAX_FAR_FRONTS_NAMED)
        most = MAX_FRONTS_NAMED - len(far)
        chosen = self._sample(near_named, most // 2)
        chosen += self._sample(near_here, most - len(chosen))
        return [self._write(front) for front in [*chosen, *far]]

    def to_share(self, requested_at_s: Mapping[Address, float]) -> list[wire.PeerAddress]:
        """Fronts that this machine names to the others."""
        chosen = self._sample(self._lately(requested_at_s), MAX_FRONTS_SHARED)
        return [self._write(front) for front in chosen]

    def _lately(self, at_s_of: Mapping[Address, float]) -> list[Address]:
        """Fronts that sent requests lately and reach this machine directly."""
        oldest_s = asyncio.get_running_loop().time() - self._lately_s
        recent = [front for front, at_s in at_s_of.items() if at_s >= oldest_s]
        return [front for front in recent if front not in self._cut_off]

    def _by_region(
        self, fronts: list[Address], requester: Address
    ) -> tuple[list[Address], list[Address]]:
        """Those of the requester's region, as far as known, and the others."""
        zone, zone_of = self._host_locations.zone_of(requester.host), self._host_locations.zone_of
        region = self._host_locations.places.region
        far = [f for f in fronts if zone and region(zone_of(f.host) or zone) != region(zone)]
        return [front for front in fronts if front not in far], far

    def _sample(self, fronts: list[Address], most: int) -> list[Address]:
        return self._rng.sample(fronts, min(most, len(fronts)))

    def _write(self, front: Address) -> wire.PeerAddress:
        return address_to_wire(front, self._host_locations.zone_of(front.host))
