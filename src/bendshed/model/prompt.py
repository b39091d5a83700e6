"""Prompt parts that several requests may have in common."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may have in common, and its length in tokens."""

    part_id: str
    tokens: int
