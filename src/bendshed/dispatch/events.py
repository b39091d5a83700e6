"""Server-sent events in the format of the common chat completions API."""

from typing import Any

import orjson

from bendshed.dispatch.calls import CallRequest
from bendshed.wire import programs_pb2 as wire

DONE_EVENT = b"data: [DONE]\n\n"


def usage_json(result: wire.CallResult) -> dict[str, Any]:
    """Return token counts in the format of the API."""
    return {
        "prompt_tokens": result.prompt_tokens,
        "completion_tokens": result.answer_tokens,
        "total_tokens": result.prompt_tokens + result.answer_tokens,
        "prompt_tokens_details": {"cached_tokens": result.cached_tokens},
    }


def placement_json(result: wire.CallResult) -> dict[str, Any]:
    """Return where the call ran, for the ``bendshed`` field of an answer."""
    node, _, _ = result.executor.partition("@")
    return {"runner": result.runner, "attempt": result.attempt, "node": node}


def answer_body(call: CallRequest, result: wire.CallResult, created_s: int) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    message = {"role": "assistant", "content": result.answer}
    return {
        **_envelope(call, "chat.completion", created_s),
        "choices": [{"index": 0, "message": message, "finish_reason": result.finish_reason}],
        "usage": usage_json(result),
        "bendshed": placement_json(result),
    }


def text_events(call: CallRequest, result: wire.CallResult, start: int, created_s: int) -> bytes:
    """Return a committed answer from character ``start`` on, its finish reason and usage."""
    envelope = _envelope(call, "chat.completion.chunk", created_s)
    delta = {"role": "assistant", "content": result.answer[start:]}
    content = {**envelope, "choices": [{"index": 0, "delta": delta, "finish_reason": None}]}
    last = {"index": 0, "delta": {}, "finish_reason": result.finish_reason}
    end = {**envelope, "choices": [last], "usage": usage_json(result)}
    return event(content) + event(end)


def closing_events(call: CallRequest, result: wire.CallResult, created_s: int) -> bytes:
    """Return the last events of a complete stream: where it ran, then ``[DONE]``."""
    envelope = _envelope(call, "chat.completion.chunk", created_s)
    where = {**envelope, "choices": [], "bendshed": placement_json(result)}
    return event(where) + DONE_EVENT


def event(content: dict[str, Any]) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + orjson.dumps(content) + b"\n\n"


def _envelope(call: CallRequest, kind: str, created_s: int) -> dict[str, Any]:
    identifier = f"chatcmpl-{call.program_id}-{call.call_number}"
    return {"id": identifier, "object": kind, "created": created_s, "model": call.model}
