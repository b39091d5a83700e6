"""Parts of a prompt that requests may share: a frozen value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share, and its length."""

    part_id: str
    tokens: int
