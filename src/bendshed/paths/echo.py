"""Echo requests between replica machines, most of which exchange no log entries with each other.

They measure the round trip to each machine, which the distance costs use, and show an operator when
a whole region is unreachable.
"""

import asyncio
from collections.abc import Callable, Collection

from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.places import Distance
from bendshed.paths.host_locations import HostLocations
from bendshed.ports.transport import ECHO_METHOD, PeerUnreachable, Transport

ECHO_INTERVAL_S = 2.0
"""At this interval nine machines send 36 requests a second, of some 40 bytes each."""
ECHO_TIMEOUT_S = 1.0
UNREACHABLE_ROUNDS = 2
"""A region counts as unreachable after this many rounds without an answer from it."""

log = PartLog("regions")


class RegionReachability:
    """Tracks which regions answer. Pure."""

    def __init__(self) -> None:
        self._num_silent_rounds: dict[str, int] = {}

    def note(self, requested: Collection[str], answered: Collection[str]) -> dict[str, bool]:
        """Record one round; return the regions that changed, and whether they answer now."""
        changed: dict[str, bool] = {}
        for region in set(requested):
            before = self._num_silent_rounds.get(region, 0)
            now = 0 if region in answered else before + 1
            self._num_silent_rounds[region] = now
            if now == UNREACHABLE_ROUNDS:
                changed[region] = False
            elif now == 0 and before >= UNREACHABLE_ROUNDS:
                changed[region] = True
        return changed

    @property
    def num_unreachable(self) -> int:
        """Number of regions that count as unreachable."""
        return sum(1 for silent in self._num_silent_rounds.values() if silent >= UNREACHABLE_ROUNDS)


class Echo:
    """Sends echoes to the other replica machines; each transport answers them.

    Attributes:
        reachability: which regions answer.

    """

    def __init__(
        self,
        transport: Transport,
        peers: Callable[[], list[Address]],
        host_locations: HostLocations,
        on_measured: Callable[[dict[Distance, float]], None],
    ) -> None:
        """Create the sender; ``run`` starts it.

        Args:
            transport: measures the round trip of each request.
            peers: the other replica machines.
            host_locations: where they are located.
            on_measured: called after each round with the median round trip by distance, in ms.

        """
        self.reachability = RegionReachability()
        self._on_measured = on_measured
        self._transport = transport
        self._peers = peers
        self._host_locations = host_locations

    async def run(self) -> None:
        """Send echoes until cancelled."""
        while True:
            await asyncio.sleep(ECHO_INTERVAL_S)
            peers = self._peers()
            answers = await asyncio.gather(*(self._has_answered(peer) for peer in peers))
            answered = [peer for peer, has in zip(peers, answers, strict=True) if has]
            self._log_changes(self._regions(peers), self._regions(answered))
            self._on_measured(self._medians_ms())

    async def _has_answered(self, peer: Address) -> bool:
        try:
            await self._transport.request(peer, ECHO_METHOD, b"", ECHO_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return True

    def _medians_ms(self) -> dict[Distance, float]:
        known_s = self._transport.round_trips.all_min_s(asyncio.get_running_loop().time())
        found_s = self._host_locations.medians_s(known_s)
        return {kind: 1000 * median_s for kind, median_s in found_s.items()}

    def _regions(self, peers: Collection[Address]) -> set[str]:
        """Return the other regions in which any of these peers is located."""
        zones = {self._host_locations.zone_of(peer.host) for peer in peers}
        regions = {self._host_locations.places.region(zone) for zone in zones if zone}
        return regions - {self._host_locations.places.region(self._host_locations.zone)}

    def _log_changes(self, requested: Collection[str], answered: Collection[str]) -> None:
        for region, is_reachable in self.reachability.note(requested, answered).items():
            log.say(
                "region reachable again"
                if is_reachable
                else "region unreachable: no replica machine answered",
                region=region,
            )
