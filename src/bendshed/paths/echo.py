"""Replica machines hear each other at a slow pace, though their log is silent between most of them.

That measures the way to each, for the costs of distance, and tells an operator when a whole region
is not heard any more.
"""

import asyncio
from collections.abc import Callable, Collection

from bendshed.logs import PartLog
from bendshed.paths.neighbours import Neighbours
from bendshed.ports.transport import Address, PeerUnreachable, Transport

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
        self, transport: Transport, peers: Callable[[], list[Address]], neighbours: Neighbours
    ) -> None:
        self.watch = RegionWatch()
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

    async def _is_heard(self, peer: Address) -> bool:
        try:
            await self._transport.request(peer, ECHO_METHOD, b"", ECHO_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return True

    def _regions(self, peers: Collection[Address]) -> set[str]:
        """Other regions where some of these stand."""
        zones = {self._neighbours.zone_of(peer.host) for peer in peers}
        regions = {self._neighbours.places.region(zone) for zone in zones if zone}
        return regions - {self._neighbours.places.region(self._neighbours.zone)}

    def _tell(self, asked: Collection[str], heard: Collection[str]) -> None:
        for region, is_heard in self.watch.note(asked, heard).items():
            sentence = "hears a region again" if is_heard else "hears nobody of a region"
            log.say(sentence, region=region)
