"""What the leaders of other groups have under way at each runner, as they tell it. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

KEPT_S = 1.5
"""What was told longer ago counts no more: a turn takes a fraction of it."""
MAX_COUNTED = 64
"""Turns at one runner that one leader's word may count for; no runner has as many slots."""


@dataclass(frozen=True, slots=True)
class OtherLoad:
    """Turns under way at one runner, and their prompts and worst outputs."""

    num_running: int
    num_tokens: int


NO_LOAD = OtherLoad(0, 0)


@dataclass(slots=True)
class _Told:
    at_ms: int
    told_s: float
    loads: dict[str, OtherLoad]


@dataclass(slots=True)
class OtherLoads:
    """The newest word of each other leader."""

    _told: dict[str, _Told] = field(default_factory=dict)

    def take(
        self, sender: str, at_ms: int, loads: Iterable[tuple[str, OtherLoad]], now_s: float
    ) -> None:
        """Take a leader's whole word; one that was overtaken by a newer one changes nothing.

        Args:
            sender: one life of a leader.
            at_ms: of the sender's clock.
            loads: by runner.
            now_s: steady time.

        """
        known = self._told.get(sender)
        if known is not None and at_ms <= known.at_ms:
            return
        bounded = {
            runner: OtherLoad(min(load.num_running, MAX_COUNTED), load.num_tokens)
            for runner, load in loads
        }
        self._told[sender] = _Told(at_ms, now_s, bounded)

    def at(self, runner_id: str, now_s: float) -> OtherLoad:
        """What all others have at a runner."""
        if not self._told:
            return NO_LOAD
        self._told = {
            sender: told for sender, told in self._told.items() if now_s - told.told_s < KEPT_S
        }
        found = [told.loads.get(runner_id, NO_LOAD) for told in self._told.values()]
        num_running = sum(load.num_running for load in found)
        return OtherLoad(num_running, sum(load.num_tokens for load in found))
