"""Which fronts a replica machine names as relays: heard lately, not cut off, most of them near."""

import asyncio
import random
from collections.abc import Iterable, Mapping

from bendshed.catalog.codec import write_address
from bendshed.catalog.messages import FrontPlace
from bendshed.model.address import Address
from bendshed.paths.neighbours import Neighbours
from bendshed.wire import catalog_pb2 as wire

HEARD_S, HEARD_INTERVALS = 1.5, 1.5
"""A front that did not ask for this long, or so many intervals, may be cut off: no relay."""
MAX_FRONTS_TOLD = 6
MAX_FAR_FRONTS_TOLD = 2
"""Of them, those of other regions: for a cut that all of a region's fronts share."""
MAX_FRONTS_SHARED = 12
"""Fronts that a machine names to the other replica machines: enough for others to relay through."""


class RelayList:
    """Fronts that may pass requests on.

    Attributes:
        elsewhere: fronts that other replica machines heard, and when they said so (loop time).

    """

    def __init__(self, neighbours: Neighbours, rng: random.Random, interval_s: float) -> None:
        self.elsewhere: dict[Address, float] = {}
        self._neighbours = neighbours
        self._rng = rng
        self._heard_s = max(HEARD_S, HEARD_INTERVALS * interval_s)
        self._cut_off: set[Address] = set()

    def note_requester(self, front: Address, is_cut_off: bool) -> None:
        """A front requested the catalog, directly or through a relay."""
        if is_cut_off:
            self._cut_off.add(front)
        else:
            self._cut_off.discard(front)

    def take_named(self, fronts: Iterable[FrontPlace]) -> None:
        """Another replica machine named fronts that send it requests."""
        now_s = asyncio.get_running_loop().time()
        for front in fronts:
            self._neighbours.put(front.address.host, front.zone)
            self.elsewhere[front.address] = now_s

    def forget_silent(self, memory_s: float) -> None:
        """Forget fronts that no other machine has named for so long."""
        now_s = asyncio.get_running_loop().time()
        for front in [front for front, at_s in self.elsewhere.items() if now_s - at_s > memory_s]:
            del self.elsewhere[front]

    def keep_only(self, known: Iterable[Address]) -> None:
        """Forget what was noted of fronts that are not known any more."""
        self._cut_off.intersection_update(known)

    def some_for(
        self, asker: Address, asked_at_s: Mapping[Address, float]
    ) -> list[wire.PeerAddress]:
        """Fronts that may pass an asker's requests on.

        Half of a region's are told by others, so they are of several zones.

        Args:
            asker: who looks for a way.
            asked_at_s: when each front asked this machine (loop time).

        """
        asked = [front for front in self._heard(asked_at_s) if front != asker]
        told = [front for front in self._heard(self.elsewhere) if front not in asked_at_s]
        near_asked, far_asked = self._by_region(asked, asker)
        near_told, far_told = self._by_region(told, asker)
        far = self._sample([*far_asked, *far_told], MAX_FAR_FRONTS_TOLD)
        most = MAX_FRONTS_TOLD - len(far)
        chosen = self._sample(near_told, most // 2)
        chosen += self._sample(near_asked, most - len(chosen))
        return [self._write(front) for front in [*chosen, *far]]

    def to_share(self, asked_at_s: Mapping[Address, float]) -> list[wire.PeerAddress]:
        """Fronts that this machine names to the others."""
        chosen = self._sample(self._heard(asked_at_s), MAX_FRONTS_SHARED)
        return [self._write(front) for front in chosen]

    def _heard(self, heard_at_s: Mapping[Address, float]) -> list[Address]:
        """Fronts that were heard a moment ago and reach this machine themselves."""
        oldest_s = asyncio.get_running_loop().time() - self._heard_s
        heard = [front for front, at_s in heard_at_s.items() if at_s >= oldest_s]
        return [front for front in heard if front not in self._cut_off]

    def _by_region(
        self, fronts: list[Address], asker: Address
    ) -> tuple[list[Address], list[Address]]:
        """Those of the asker's region, as far as known, and the others."""
        zone, zone_of = self._neighbours.zone_of(asker.host), self._neighbours.zone_of
        region = self._neighbours.places.region
        far = [f for f in fronts if zone and region(zone_of(f.host) or zone) != region(zone)]
        return [front for front in fronts if front not in far], far

    def _sample(self, fronts: list[Address], most: int) -> list[Address]:
        return self._rng.sample(fronts, min(most, len(fronts)))

    def _write(self, front: Address) -> wire.PeerAddress:
        return write_address(front, self._neighbours.zone_of(front.host))
