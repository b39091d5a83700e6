"""Engine adapter: an OpenAI-compatible streaming endpoint with priority, cancel and resume."""

from collections.abc import AsyncIterator
from typing import Any

import orjson

from bendshed.adapters.http import CONNECTION_ERRORS, HttpAnswer, HttpClient, HttpStream, is_refused
from bendshed.ports.engine import (
    Engine,
    EngineBroken,
    EngineNotStarted,
    EngineRejected,
    EngineRequest,
    EngineStream,
    LoadReport,
    NotSupported,
    StreamSummary,
    StreamUnknown,
)
from bendshed.ports.stream_summary import summarize

JSON_HEADERS = {"Content-Type": "application/json"}
END_OF_EVENT = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1024 * 1024
MAX_STREAM_BYTES = 64 * 1024 * 1024
"""Sizes of the largest event and stream; what is longer is taken for bytes without end."""


class HttpEngineStream(EngineStream):
    """Yields complete server-sent events without the final ``[DONE]``."""

    def __init__(self, answer: HttpStream) -> None:
        self.summary = StreamSummary()
        self._answer = answer

    async def events(self) -> AsyncIterator[bytes]:
        """Yield raw events; the summary is complete when this ends without an error."""
        seen: list[bytes] = []
        rest = b""
        num_bytes = 0
        try:
            async for chunk in self._answer.chunks():
                whole, separator, rest = (rest + chunk).rpartition(END_OF_EVENT)
                num_bytes += len(chunk)
                if len(rest) > MAX_EVENT_BYTES or num_bytes > MAX_STREAM_BYTES:
                    raise EngineBroken("the stream, or an event of it, does not end")
                if not separator:
                    continue
                events = (whole + separator).replace(DONE_EVENT, b"")
                if events:
                    seen.append(events)
                    yield events
        except CONNECTION_ERRORS as error:
            raise EngineBroken(repr(error)) from error
        self.summary = summarize(b"".join(seen))


class OpenAiEngine(Engine):
    """One engine at ``base_url``.

    In addition to ``/v1/chat/completions`` it uses ``/v1/streams/<name>`` (resume, cancel),
    ``/load``, ``/kv/holds`` and ``/orders``; status 404 or 501 means that the engine does not
    implement that operation.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def generate(self, request: EngineRequest) -> EngineStream:
        """Start an attempt."""
        body = request_body(request)
        headers = {**JSON_HEADERS, "X-Request-Id": request.request_id}
        url = f"{self._base_url}/v1/chat/completions"
        answer = await self._stream("POST", url, orjson.dumps(body), headers)
        await self._raise_for_status(answer)
        return HttpEngineStream(answer)

    async def _stream(
        self,
        method: str,
        url: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpStream:
        try:
            return await self._client.stream(method, url, content, headers)
        except CONNECTION_ERRORS as error:
            if is_refused(error):
                raise EngineNotStarted(repr(error)) from error
            raise EngineBroken(repr(error)) from error

    async def _raise_for_status(self, answer: HttpStream) -> None:
        if answer.status == 200:
            return
        detail = (await answer.read_detail()).decode(errors="replace")
        if answer.status in (429, 503):
            raise EngineNotStarted(detail, leaving="leaving" in detail)
        if answer.status == 409:
            raise EngineNotStarted("the stream's name was cancelled")
        if 400 <= answer.status < 500:
            raise EngineRejected(detail)
        raise EngineBroken(detail)

    async def resume(self, attempt_id: str) -> EngineStream:
        """Reread a stream from its first byte."""
        answer = await self._stream("GET", f"{self._base_url}/v1/streams/{attempt_id}")
        if answer.status == 404:
            raise StreamUnknown(attempt_id)
        if answer.status != 200:
            raise EngineBroken(f"status {answer.status}")
        return HttpEngineStream(answer)

    async def cancel(self, attempt_id: str) -> None:
        """Cancel a stream; a later start under its name is rejected."""
        await self._send_checked("DELETE", f"/v1/streams/{attempt_id}")

    async def load(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(**orjson.loads(await self._send_checked("GET", "/load")))

    async def held_programs(self) -> list[str]:
        """Return the programs for which KV cache is held."""
        programs: list[str] = orjson.loads(await self._send_checked("GET", "/kv/holds"))["programs"]
        return programs

    async def release(self, program_id: str) -> None:
        """Release the KV cache held for a program."""
        await self._send_checked("DELETE", f"/kv/holds/{program_id}")

    async def order(self, fence: int, order: str, argument: str) -> None:
        """Send a fenced order."""
        body = {"fence": fence, "order": order, "argument": argument}
        await self._send_checked("POST", "/orders", orjson.dumps(body))

    async def _send_checked(self, method: str, path: str, content: bytes | None = None) -> bytes:
        answer = await self._send(method, f"{self._base_url}{path}", content)
        if answer.status in (404, 501):
            raise NotSupported(path)
        if answer.status not in (200, 204):
            raise EngineBroken(f"status {answer.status}")
        return answer.body

    async def _send(self, method: str, url: str, content: bytes | None) -> HttpAnswer:
        try:
            return await self._client.send(method, url, content, JSON_HEADERS)
        except CONNECTION_ERRORS as error:
            if is_refused(error):
                raise EngineNotStarted(repr(error)) from error
            raise EngineBroken(repr(error)) from error


def request_body(request: EngineRequest) -> dict[str, Any]:
    """Return the body of a chat-completions request for one attempt."""
    return {
        "model": request.model,
        "messages": [message_to_json(message) for message in request.messages],
        "max_tokens": request.max_answer_tokens,
        "priority": request.priority,
        "request_id": request.attempt_id,
        "program_id": request.program_id,
        "stream": True,
        "stream_options": {"include_usage": True},
    }


def message_to_json(message: Any) -> dict[str, Any]:
    """Return a chat message as JSON; fields other than role and content are forwarded unchanged."""
    extra: dict[str, Any] = orjson.loads(message.extra_json) if message.extra_json else {}
    return {"role": message.role, "content": message.content, **extra}
