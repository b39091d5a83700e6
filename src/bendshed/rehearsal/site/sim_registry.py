"""A simulated registry of replica machines: outages and lost answers."""

import asyncio
import random
from dataclasses import dataclass, field

from bendshed.ports.registry import RegistryUnavailable, ReplicaNode, ReplicaRegistry


@dataclass(slots=True)
class SimRegistry(ReplicaRegistry):
    """Announcements, first voters and retirements, with outages and lost answers."""

    rng: random.Random
    is_down: bool = False
    answer_loss: float = 0.0
    announced: dict[str, ReplicaNode] = field(default_factory=dict)
    voters_of: dict[int, list[str]] = field(default_factory=dict)
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
        """Store an announcement."""
        await self._reach()
        self.announced[me.name] = me
        self._maybe_lose()

    @property
    def voters(self) -> list[str]:
        """First voters of the first group."""
        return self.voters_of.get(0, [])

    async def bootstrap_voters(self, group_id: int = 0) -> list[str]:
        """Return a group's first voters."""
        await self._reach()
        return self.voters_of.get(group_id, [])

    async def write_bootstrap_voters(self, voters: list[str], group_id: int = 0) -> list[str]:
        """Create the record if absent."""
        await self._reach()
        voters = self.voters_of.setdefault(group_id, voters)
        self._maybe_lose()
        return voters

    async def report_retirement(self, name: str, complete: bool) -> None:
        """Store a status."""
        await self._reach()
        if name in self.retirements:
            self.retirements[name] = complete
