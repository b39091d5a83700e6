"""What a turn needs of a runner, and what its node observed by its end: frozen values."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bendshed.model.prompt import PromptPart
from bendshed.placement.distance import ANSWER_TOKEN_BYTES


@dataclass(frozen=True, slots=True)
class TurnDemand:
    """What a turn needs of a runner.

    Attributes:
        chain: id of its chain; turns of a chain share their prompts. Ranks runners of equal cost.
        parts: its prompt, first part first.
        max_answer_tokens: most tokens that it may generate.
        time_left_s: time until its deadline; after that it counts as ended.
        connected: runners to which the requesting node has an idle connection.
        avoided: runners that failed the requesting node less than 2 s ago.
        zone: zone of the requesting node.
        last_runner: runner of the program's latest turn, known to a new leader too; empty: none.
        body_bytes: size of the request to the runner.
        prompt_tokens: length of the whole prompt; summed once, since every candidate needs it.
        own_tokens: prompt tokens of the program's own history: all parts but the first of several.

    """

    turn_id: str
    chain: str
    parts: Sequence[PromptPart]
    max_answer_tokens: int
    time_left_s: float
    connected: Collection[str] = ()
    avoided: Collection[str] = ()
    zone: str = ""
    last_runner: str = ""
    body_bytes: int = 0
    prompt_tokens: int = field(init=False)
    own_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        prompt_tokens = sum(part.tokens for part in self.parts)
        shared_tokens = self.parts[0].tokens if len(self.parts) > 1 else 0
        object.__setattr__(self, "prompt_tokens", prompt_tokens)
        object.__setattr__(self, "own_tokens", prompt_tokens - shared_tokens)

    @property
    def max_kv_tokens(self) -> int:
        """KV memory that it may need at a runner: its prompt and its longest answer."""
        return self.prompt_tokens + self.max_answer_tokens

    @property
    def transferred_bytes(self) -> int:
        """Bytes of the turn's body and its longest answer."""
        return self.body_bytes + ANSWER_TOKEN_BYTES * self.max_answer_tokens


@dataclass(frozen=True, slots=True)
class EndedTurn:
    """What the node of a turn observed by its end.

    Attributes:
        runner_id: runner whose answer was passed on; empty: none.
        event_gap_ms: mean time between events; 0: unknown.
        failed: runners that broke off their answers or were unreachable.

    """

    turn_id: str
    runner_id: str = ""
    event_gap_ms: float = 0.0
    failed: Collection[str] = ()
