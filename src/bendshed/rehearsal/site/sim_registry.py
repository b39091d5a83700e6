"""A simulated registry of replica machines: outages and lost answers."""

import asyncio
import random
from dataclasses import dataclass, field

from bendshed.ports.registry import RegistryUnavailable, ReplicaNode, ReplicaRegistry


@dataclass(slots=True)
class SimRegistry(ReplicaRegistry):
    """Announcements, founding and retirements, with outages and lost answers."""

    rng: random.Random
    is_down: bool = False
    answer_loss: float = 0.0
    announced: dict[str, ReplicaNode] = field(default_factory=dict)
    voters: list[str] = field(default_factory=list)
    retirements: dict[str, bool] = field(default_factory=dict)

    async def _reach(self) -> None:
        await asyncio.sleep(0.005)
        if self.is_down:
            await asyncio.sleep(0.5)
            raise RegistryUnavailable("down")

    def _maybe_lose(self) -> None:
        if self.rng.random() < self.answer_loss:
            raise RegistryUnavailable("the answer was lost")

    async def announce(self, me: ReplicaNode) -> None:
        """Keep an announcement."""
        await self._reach()
        self.announced[me.name] = me
        self._maybe_lose()

    async def founding_voters(self) -> list[str]:
        """Return the first voters."""
        await self._reach()
        return self.voters

    async def found(self, voters: list[str]) -> list[str]:
        """Create the record if absent."""
        await self._reach()
        self.voters = self.voters or voters
        self._maybe_lose()
        return self.voters

    async def report_retirement(self, name: str, complete: bool) -> None:
        """Keep a status."""
        await self._reach()
        if name in self.retirements:
            self.retirements[name] = complete
