"""Replica machines hear each other at a slow pace, though their log is silent between most of them.

That measures the way to each, for the costs of distance, and tells an operator when a whole region
is not heard any more.
"""

import asyncio
from collections.abc import Callable, Collection

from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.places import Distance
from bendshed.paths.neighbours import Neighbours
from bendshed.ports.transport import PeerUnreachable, Transport

ECHO_METHOD = "paths.echo"
ECHO_INTERVAL_S = 2.0
"""Nine machines send 36 questions a second at this pace, of some 40 bytes."""
ECHO_TIMEOUT_S = 1.0
ROUNDS_UNHEARD = 2
"""After so many rounds without a word of anybody there a region counts as cut off."""

log = PartLog("regions")


class RegionWatch:
    """Which regions are heard. Pure."""

    def __init__(self) -> None:
        self._num_silent: dict[str, int] = {}

    def note(self, asked: Collection[str], heard: Collection[str]) -> dict[str, bool]:
        """One round is over; return the regions that changed and whether they are heard now."""
        changed: dict[str, bool] = {}
        for region in set(asked):
            before = self._num_silent.get(region, 0)
            now = 0 if region in heard else before + 1
            self._num_silent[region] = now
            if now == ROUNDS_UNHEARD:
                changed[region] = False
            elif now == 0 and before >= ROUNDS_UNHEARD:
                changed[region] = True
        return changed

    @property
    def num_unheard(self) -> int:
        """Regions that count as cut off."""
        return sum(1 for silent in self._num_silent.values() if silent >= ROUNDS_UNHEARD)


class Echo:
    """Asks the other replica machines again and again, and answers them.

    Attributes:
        watch: which regions are heard.

    """

    def __init__(
        self,
        transport: Transport,
        peers: Callable[[], list[Address]],
        neighbours: Neighbours,
        on_measured: Callable[[dict[Distance, float]], None],
    ) -> None:
        """Answer echoes from now on.

        Args:
            transport: measures the round trip of each request.
            peers: the other replica machines.
            neighbours: where they are located.
            on_measured: gets the median round trip by distance after each round, in ms.

        """
        self.watch = RegionWatch()
        self._on_measured = on_measured
        self._transport = transport
        self._peers = peers
        self._neighbours = neighbours
        transport.handlers[ECHO_METHOD] = self._answer

    @staticmethod
    async def _answer(_payload: bytes) -> bytes:
        return b""

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(ECHO_INTERVAL_S)
            peers = self._peers()
            answered = await asyncio.gather(*(self._is_heard(peer) for peer in peers))
            heard = [peer for peer, is_heard in zip(peers, answered, strict=True) if is_heard]
            self._tell(self._regions(peers), self._regions(heard))
            self._on_measured(self._medians_ms())

    async def _is_heard(self, peer: Address) -> bool:
        try:
            await self._transport.request(peer, ECHO_METHOD, b"", ECHO_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return True

    def _medians_ms(self) -> dict[Distance, float]:
        known_s = self._transport.round_trips.all_s(asyncio.get_running_loop().time())
        found_s = self._neighbours.medians_s(known_s)
        return {kind: 1000 * median_s for kind, median_s in found_s.items()}

    def _regions(self, peers: Collection[Address]) -> set[str]:
        """Other regions where some of these stand."""
        zones = {self._neighbours.zone_of(peer.host) for peer in peers}
        regions = {self._neighbours.places.region(zone) for zone in zones if zone}
        return regions - {self._neighbours.places.region(self._neighbours.zone)}

    def _tell(self, asked: Collection[str], heard: Collection[str]) -> None:
        for region, is_heard in self.watch.note(asked, heard).items():
            log.say(
                "region reachable again"
                if is_heard
                else "region unreachable: no replica machine answered",
                region=region,
            )
