"""What the leader of the turn log records about one runner. Pure."""

from dataclasses import dataclass, field

from bendshed.placement.prompt_cache import PromptCache
from bendshed.placement.runner_health import RunnerHealth


@dataclass(frozen=True, slots=True)
class RunningTurn:
    """A turn at a runner.

    Attributes:
        tokens: tokens of its prompt and its longest answer.
        began_s: steady time of its placement.

    """

    runner_id: str
    tokens: int
    began_s: float


@dataclass(slots=True)
class RunnerLoad:
    """Running turns, estimated cache and observed health of one runner.

    Attributes:
        cache: prompts that it has cached, inferred from the turns placed there.
        health: pace and failures, as nodes reported them.
        turns: running turns by id, the oldest first.
        num_tokens: tokens of the prompts and longest answers of these turns.
        ended_s: steady time at which the latest turn ended here.

    """

    cache: PromptCache
    health: RunnerHealth = field(default_factory=RunnerHealth)
    turns: dict[str, RunningTurn] = field(default_factory=dict)
    num_tokens: int = 0
    ended_s: float = float("-inf")

    def stalled_s(self, now_s: float) -> float:
        """Time for which turns have run here without any ending; 0: none runs."""
        for turn in self.turns.values():
            return now_s - max(turn.began_s, self.ended_s)
        return 0.0
