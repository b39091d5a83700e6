"""The platform's store of a simulated site under disruption, also for some machines only."""

import asyncio
import random
from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.ports.registry import RegistryUnavailable, ReplicaNode
from bendshed.rehearsal.site.sim_registry import SimRegistry

SLOW_S = 1.5
"""Time that a slow store takes for an answer."""
ANSWER_LOSS = 0.6
"""Share of writes whose answer is lost."""


class Disruption(StrEnum):
    """What the platform's store does."""

    NONE = "well"
    DOWN = "down"
    SLOW = "slow"
    LOSES_ANSWERS = "loses answers"
    REFUSES_SOME = "refuses some machines"
    STALE = "serves an older list of replica machines"


@dataclass(slots=True)
class DisruptedRegistry(SimRegistry):
    """A registry that also refuses some machines, is slow, or lists what it held earlier.

    Attributes:
        refused: names of machines that it refuses.
        slow_s: extra time of an answer.
        listed: replica machines that a reading names; ``None``: those that were announced.

    """

    refused: frozenset[str] = frozenset()
    slow_s: float = 0.0
    listed: dict[str, ReplicaNode] | None = None
    _past: list[dict[str, ReplicaNode]] = field(default_factory=list)

    def __init__(self, rng: random.Random) -> None:
        SimRegistry.__init__(self, rng)
        self.refused, self.slow_s, self.listed, self._past = frozenset(), 0.0, None, []

    async def _reach(self) -> None:
        await asyncio.sleep(self.slow_s)
        await SimRegistry._reach(self)

    async def announce(self, me: ReplicaNode) -> None:
        """Store an announcement."""
        if me.name in self.refused:
            await asyncio.sleep(0.05)
            raise RegistryUnavailable("refused")
        past = dict(self.announced)
        await SimRegistry.announce(self, me)
        self._past.append(past)

    def begin(self, disruption: Disruption, refused: frozenset[str] = frozenset()) -> None:
        """Be disrupted in one way from now on."""
        self.is_down = disruption is Disruption.DOWN
        self.slow_s = SLOW_S if disruption is Disruption.SLOW else 0.0
        self.answer_loss = ANSWER_LOSS if disruption is Disruption.LOSES_ANSWERS else 0.0
        self.refused = refused if disruption is Disruption.REFUSES_SOME else frozenset()
        is_stale = disruption is Disruption.STALE and self._past
        self.listed = self.rng.choice(self._past[-4:]) if is_stale else None
