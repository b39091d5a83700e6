"""Fronts that a replica machine names as relays: recently active, not cut off, mostly near."""

import asyncio
import random
from collections.abc import Iterable, Mapping

from bendshed.catalog.codec import address_to_wire
from bendshed.catalog.messages import FrontLocation
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.wire import catalog_pb2 as wire

RECENT_S, RECENT_INTERVALS = 1.5, 1.5
"""A front without a request for this long, in seconds or in request intervals, may be cut off and
is no relay. With 3 s here and 3 s at the other machines a front that was cut off was named for up
to 7 s (docs/design/0011)."""
MAX_FRONTS_NAMED = 6
MAX_FAR_FRONTS_NAMED = 2
"""How many of them are of other regions, for a network failure that affects a whole region."""
MAX_FRONTS_SHARED = 12
"""Number of fronts that a machine names to the other replica machines, enough for relaying."""


class RelayList:
    """Fronts that may relay requests.

    Attributes:
        named_at_s: loop time at which other replica machines last named each front.

    """

    def __init__(
        self, host_locations: HostLocations, rng: random.Random, interval_s: float
    ) -> None:
        self.named_at_s: dict[Address, float] = {}
        self._host_locations = host_locations
        self._rng = rng
        self._recent_s = max(RECENT_S, RECENT_INTERVALS * interval_s)
        self._cut_off: set[Address] = set()

    def note_requester(self, front: Address, is_cut_off: bool) -> None:
        """Record whether a front that requested the catalog is cut off, so that it used a relay."""
        if is_cut_off:
            self._cut_off.add(front)
        else:
            self._cut_off.discard(front)

    def note_named(self, fronts: Iterable[FrontLocation]) -> None:
        """Record fronts that another replica machine named since they send it requests."""
        now_s = asyncio.get_running_loop().time()
        for front in fronts:
            self._host_locations.put(front.address.host, front.zone)
            self.named_at_s[front.address] = now_s

    def forget_unnamed(self, expiry_s: float) -> None:
        """Forget fronts that no other machine has named for a time in seconds."""
        now_s = asyncio.get_running_loop().time()
        for front in [front for front, at_s in self.named_at_s.items() if now_s - at_s > expiry_s]:
            del self.named_at_s[front]

    def no_longer_named(self) -> list[Address]:
        """Fronts that other machines no longer name: the fronts or the machines may have failed."""
        oldest_s = asyncio.get_running_loop().time() - self._recent_s
        return [front for front, at_s in self.named_at_s.items() if at_s < oldest_s]

    def retain_only(self, known: Iterable[Address]) -> None:
        """Forget which fronts were cut off, except for those still known."""
        self._cut_off.intersection_update(known)

    def choose_for(
        self, requester: Address, requested_at_s: Mapping[Address, float]
    ) -> list[wire.PeerAddress]:
        """Choose fronts that may relay a node's requests.

        Up to half of those in the node's region are fronts that other machines named, so that
        several zones are covered.

        Args:
            requester: the node that needs relays.
            requested_at_s: loop time of each front's last request to this machine.

        """
        own = [front for front in self._recent_direct(requested_at_s) if front != requester]
        named = [
            front for front in self._recent_direct(self.named_at_s) if front not in requested_at_s
        ]
        near_own, far_own = self._by_region(own, requester)
        near_named, far_named = self._by_region(named, requester)
        far = self._sample([*far_own, *far_named], MAX_FAR_FRONTS_NAMED)
        limit = MAX_FRONTS_NAMED - len(far)
        chosen = self._sample(near_named, limit // 2)
        chosen += self._sample(near_own, limit - len(chosen))
        return [self._to_wire(front) for front in [*chosen, *far]]

    def choose_shared(self, requested_at_s: Mapping[Address, float]) -> list[wire.PeerAddress]:
        """Choose the fronts that this machine names to the other replica machines."""
        chosen = self._sample(self._recent_direct(requested_at_s), MAX_FRONTS_SHARED)
        return [self._to_wire(front) for front in chosen]

    def _recent_direct(self, at_s_of: Mapping[Address, float]) -> list[Address]:
        """Fronts that are recently active and reach this machine directly."""
        oldest_s = asyncio.get_running_loop().time() - self._recent_s
        recent = [front for front, at_s in at_s_of.items() if at_s >= oldest_s]
        return [front for front in recent if front not in self._cut_off]

    def _by_region(
        self, fronts: list[Address], requester: Address
    ) -> tuple[list[Address], list[Address]]:
        """Split fronts into those of the requester's region, as far as known, and the others."""
        zone, zone_of = self._host_locations.zone_of(requester.host), self._host_locations.zone_of
        region = self._host_locations.places.region
        far = [f for f in fronts if zone and region(zone_of(f.host) or zone) != region(zone)]
        return [front for front in fronts if front not in far], far

    def _sample(self, fronts: list[Address], limit: int) -> list[Address]:
        return self._rng.sample(fronts, min(limit, len(fronts)))

    def _to_wire(self, front: Address) -> wire.PeerAddress:
        return address_to_wire(front, self._host_locations.zone_of(front.host))
