"""Engine adapter: an OpenAI-compatible streaming endpoint with priority, cancel and resume."""

from collections.abc import AsyncIterator
from typing import Any

import orjson
from blacksheep import Content, Response
from blacksheep.client import ClientSession
from blacksheep.client.connection import IncomingContent

from bendshed.dispatch.stream_summary import summarize
from bendshed.platform.http import CONNECTION_ERRORS
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

JSON = b"application/json"
END_OF_EVENT = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class HttpEngineStream(EngineStream):
    """Reads server-sent events; whole events only, the closing ``[DONE]`` left out."""

    def __init__(self, response: Response) -> None:
        self.summary = StreamSummary()
        self._response = response

    async def events(self) -> AsyncIterator[bytes]:
        """Raw events; the summary is complete when this ends without an error."""
        seen: list[bytes] = []
        rest = b""
        content = self._response.content
        assert isinstance(content, IncomingContent)
        try:
            async for chunk in content.stream():
                whole, separator, rest = (rest + chunk).rpartition(END_OF_EVENT)
                if not separator:
                    continue
                events = (whole + separator).replace(DONE_EVENT, b"")
                if events:
                    seen.append(events)
                    yield events
        except CONNECTION_ERRORS as error:
            raise EngineBroken(repr(error)) from error
        if content.exc is not None:
            raise EngineBroken(repr(content.exc))
        self.summary = summarize(b"".join(seen))


class OpenAiEngine(Engine):
    """One engine at ``base_url``.

    Beside ``/v1/chat/completions`` it uses ``/v1/streams/<name>`` (resume, cancel), ``/load``,
    ``/kv/holds`` and ``/orders``; an engine that answers 404 or 501 there lacks that part.
    """

    def __init__(self, client: ClientSession, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def generate(self, request: EngineRequest) -> EngineStream:
        """Start an attempt."""
        body = {
            "model": request.model,
            "messages": [message_to_json(message) for message in request.messages],
            "max_tokens": request.max_answer_tokens,
            "priority": request.priority,
            "request_id": request.attempt_id,
            "program_id": request.program_id,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        try:
            response = await self._client.post(
                f"{self._base_url}/v1/chat/completions",
                Content(JSON, orjson.dumps(body)),
                headers=[(b"X-Request-Id", request.request_id.encode())],
            )
        except ConnectionRefusedError as error:
            raise EngineNotStarted(repr(error)) from error
        except CONNECTION_ERRORS as error:
            raise EngineBroken(repr(error)) from error
        await self._raise_for_status(response)
        return HttpEngineStream(response)

    async def _raise_for_status(self, response: Response) -> None:
        if response.status == 200:
            return
        detail = (await response.read() or b"").decode(errors="replace")
        if response.status in (429, 503):
            raise EngineNotStarted(detail, leaving=b"leaving" in detail.encode())
        if response.status == 409:
            raise EngineNotStarted("the stream's name was cancelled")
        if 400 <= response.status < 500:
            raise EngineRejected(detail)
        raise EngineBroken(detail)

    async def resume(self, attempt_id: str) -> EngineStream:
        """Read a stream again from its first byte."""
        response = await self._send("GET", f"/v1/streams/{attempt_id}")
        if response.status == 404:
            raise StreamUnknown(attempt_id)
        if response.status != 200:
            raise EngineBroken(f"status {response.status}")
        return HttpEngineStream(response)

    async def cancel(self, attempt_id: str) -> None:
        """End a stream and keep its name from being started."""
        await self._checked("DELETE", f"/v1/streams/{attempt_id}")

    async def load(self) -> LoadReport:
        """Report the load."""
        return LoadReport(**orjson.loads(await self._checked("GET", "/load")))

    async def held_programs(self) -> list[str]:
        """Programs for which KV cache is held."""
        programs: list[str] = orjson.loads(await self._checked("GET", "/kv/holds"))["programs"]
        return programs

    async def release(self, program_id: str) -> None:
        """Give back the KV cache held for a program."""
        await self._checked("DELETE", f"/kv/holds/{program_id}")

    async def order(self, fence: int, order: str, argument: str) -> None:
        """Send a fenced order."""
        body = {"fence": fence, "order": order, "argument": argument}
        await self._checked("POST", "/orders", Content(JSON, orjson.dumps(body)))

    async def _checked(self, method: str, path: str, content: Content | None = None) -> bytes:
        response = await self._send(method, path, content)
        body = await response.read() or b""
        if response.status in (404, 501):
            raise NotSupported(path)
        if response.status not in (200, 204):
            raise EngineBroken(f"status {response.status}")
        return body

    async def _send(self, method: str, path: str, content: Content | None = None) -> Response:
        url = f"{self._base_url}{path}"
        try:
            match method:
                case "GET":
                    return await self._client.get(url)
                case "DELETE":
                    return await self._client.delete(url)
                case _:
                    return await self._client.post(url, content)
        except ConnectionRefusedError as error:
            raise EngineNotStarted(repr(error)) from error
        except CONNECTION_ERRORS as error:
            raise EngineBroken(repr(error)) from error


def message_to_json(message: Any) -> dict[str, Any]:
    """Chat message as JSON; fields beyond role and content travel unread."""
    extra: dict[str, Any] = orjson.loads(message.extra_json) if message.extra_json else {}
    return {"role": message.role, "content": message.content, **extra}
