"""Structured logs: eliot JSON lines; each part writes short sentences with its own prefix."""

import sys
from typing import Any, TextIO

from eliot import FileDestination, add_destinations, log_message


class PartLog:
    """Writes the log lines of one part.

    Attributes:
        prefix: fixed word in front of each sentence, such as ``membership``.

    Prompt text and tokens of callers are never passed as fields.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def say(self, sentence: str, **fields: Any) -> None:
        """Write one line; ``fields`` stand beside the sentence."""
        log_message(
            message_type=f"bendshed:{self.prefix}", text=f"{self.prefix}: {sentence}", **fields
        )


def log_to(stream: TextIO) -> None:
    """Send the process's log to a stream, one JSON object a line."""
    add_destinations(FileDestination(file=stream))


def log_to_stderr() -> None:
    """Send the process's log to standard error."""
    log_to(sys.stderr)
