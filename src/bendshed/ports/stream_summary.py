"""Summarizes a stream of server-sent events of the OpenAI-compatible chat-completions API."""

from typing import Any

import orjson

from bendshed.ports.engine import StreamSummary

END_OF_EVENT = b"\n\n"


def summarize(events: bytes) -> StreamSummary:
    """Return the text, finish reason and usage of a complete stream."""
    summary = StreamSummary()
    pieces: list[str] = []
    for line in events.split(END_OF_EVENT):
        if not line.startswith(b"data: "):
            continue
        event: dict[str, Any] = orjson.loads(line[6:])
        for choice in event.get("choices", ()):
            pieces.append(choice.get("delta", {}).get("content") or "")
            summary.finish_reason = choice.get("finish_reason") or summary.finish_reason
        usage = event.get("usage")
        if usage:
            details = usage.get("prompt_tokens_details") or {}
            summary.usage.prompt_tokens = usage["prompt_tokens"]
            summary.usage.answer_tokens = usage["completion_tokens"]
            summary.usage.cached_tokens = details.get("cached_tokens", 0)
    summary.text = "".join(pieces)
    return summary
