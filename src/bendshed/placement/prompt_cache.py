"""Estimates which prompt parts a runner has cached, as an LRU of the prompts sent to it. Pure.

A runner caches parts of prompts while its memory lasts and evicts the least recently used ones; a
part is usable only if every part before it is cached too. The runner's own events report this late
and with gaps, so the estimate uses the prompts that were dispatched there.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bendshed.model.prompt import PromptPart


@dataclass(slots=True)
class PromptCache:
    """Parts that one runner is expected to have cached.

    Invariant: ``num_tokens`` is the sum of all parts and at most ``capacity_tokens``, unless one
    prompt alone is longer.

    Attributes:
        capacity_tokens: memory for running requests and cached parts together.

    """

    capacity_tokens: int
    num_tokens: int = 0
    _parts: "OrderedDict[str, int]" = field(default_factory=OrderedDict)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Tokens of a prompt that need no prefill."""
        num_cached = 0
        for part in parts:
            cached = self._parts.get(part.part_id, 0)
            num_cached += min(cached, part.tokens)
            if cached < part.tokens:
                break
        return num_cached

    def add_prompt(self, parts: Sequence[PromptPart]) -> None:
        """Record a prompt dispatched there: its parts become the most recently used ones."""
        for part in parts:
            cached = self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = max(cached, part.tokens)
            self.num_tokens += max(0, part.tokens - cached)
        while self.num_tokens > self.capacity_tokens and len(self._parts) > len(parts):
            _, evicted = self._parts.popitem(last=False)
            self.num_tokens -= evicted
