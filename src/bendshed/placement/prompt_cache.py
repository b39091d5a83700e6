"""What a runner very likely keeps of the prompts that it has read. Pure.

A runner keeps parts of prompts while its memory lasts and gives up the longest unused ones; a part
helps only if every part before it is kept too. Its events tell this late and with gaps, so it is
inferred from the prompts that were sent there.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bendshed.model.prompt import PromptPart


@dataclass(slots=True)
class PromptCache:
    """The parts that one runner keeps.

    Invariant: ``num_tokens`` is the sum of all parts and at most ``capacity_tokens``, unless one
    prompt alone is longer.

    Attributes:
        capacity_tokens: memory for running requests and kept parts together.

    """

    capacity_tokens: int
    num_tokens: int = 0
    _parts: "OrderedDict[str, int]" = field(default_factory=OrderedDict)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Tokens of a prompt that need not be read again."""
        num_cached = 0
        for part in parts:
            kept = self._parts.get(part.part_id, 0)
            num_cached += min(kept, part.tokens)
            if kept < part.tokens:
                break
        return num_cached

    def note_read(self, parts: Sequence[PromptPart]) -> None:
        """A prompt was sent there: its parts are the latest used ones."""
        for part in parts:
            kept = self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = max(kept, part.tokens)
            self.num_tokens += max(0, part.tokens - kept)
        while self.num_tokens > self.capacity_tokens and len(self._parts) > len(parts):
            _, dropped = self._parts.popitem(last=False)
            self.num_tokens -= dropped
