"""A caller of agent programs over HTTP, as a usual client library would behave."""

import time
from dataclasses import dataclass, field
from typing import Any

import orjson

from bendshed.adapters.http import HttpClient


@dataclass(slots=True)
class CallReport:
    """What the caller saw of one call.

    Attributes:
        status: HTTP status.
        whole: the stream ended with ``[DONE]``.
        error_kind: kind of the error, empty without one.
        first_token_s, duration_s: from sending, in seconds.

    """

    status: int = 0
    text: str = ""
    whole: bool = False
    error_kind: str = ""
    first_token_s: float = 0.0
    duration_s: float = 0.0
    usage: dict[str, Any] = field(default_factory=dict)
    placement: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Call:
    """One call as a caller issues it."""

    program: str
    number: int
    content: str
    branch: str = "main"
    model: str = "small"
    kind: str = "chat"
    unrepeatable: bool = False
    end: bool = False
    max_tokens: int = 64
    deadline_s: float = 60.0

    def headers(self, token: str) -> dict[str, str]:
        """Request headers."""
        return {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {token}",
            "X-Bendshed-Program": self.program,
            "X-Bendshed-Program-Kind": self.kind,
            "X-Bendshed-Branch": self.branch,
            "X-Bendshed-Call": str(self.number),
            "X-Bendshed-Unrepeatable": str(self.unrepeatable).lower(),
            "X-Bendshed-End": str(self.end).lower(),
            "X-Bendshed-Deadline-Seconds": str(self.deadline_s),
            "Idempotency-Key": f"{self.program}-{self.number}",
        }

    def body(self) -> bytes:
        """Request body: the new message only."""
        return orjson.dumps(
            {
                "model": self.model,
                "messages": [{"role": "user", "content": self.content}],
                "max_tokens": self.max_tokens,
                "stream": True,
            }
        )


async def send_call(client: HttpClient, url: str, token: str, call: Call) -> CallReport:
    """Send one call and read its stream to the end."""
    report = CallReport()
    started_s = time.monotonic()
    answer = await client.stream(
        "POST", f"{url}/v1/chat/completions", call.body(), call.headers(token)
    )
    report.status = answer.status
    if answer.status != 200:
        body = orjson.loads(await answer.read_detail() or b"{}")
        report.error_kind = body.get("error", {}).get("kind", "unknown")
        report.duration_s = time.monotonic() - started_s
        return report
    rest = b""
    async for chunk in answer.chunks():
        *lines, rest = (rest + chunk).split(b"\n\n")
        for line in lines:
            _take_event(report, line.removeprefix(b"data: "), time.monotonic() - started_s)
    report.duration_s = time.monotonic() - started_s
    return report


def _take_event(report: CallReport, data: bytes, elapsed_s: float) -> None:
    if data == b"[DONE]":
        report.whole = True
        return
    event = orjson.loads(data)
    if "error" in event:
        report.error_kind = event["error"]["kind"]
        return
    for choice in event.get("choices", ()):
        text = choice.get("delta", {}).get("content") or ""
        if text and not report.text:
            report.first_token_s = elapsed_s
        report.text += text
    report.usage = event.get("usage") or report.usage
    report.placement = event.get("bendshed") or report.placement


async def ask(
    client: HttpClient, url: str, token: str, statement: str, author: str = "operator"
) -> tuple[int, dict[str, Any]]:
    """Ask an operators' statement; return status and body."""
    content = orjson.dumps({"statement": statement, "author": author})
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    answer = await client.send("POST", f"{url}/operators/ask", content, headers)
    return answer.status, orjson.loads(answer.body or b"{}")
