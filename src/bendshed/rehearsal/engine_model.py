"""Emulator of one model engine: continuous batching, prefix cache, streams, holds.

One step of the batch produces one token for every running stream. A step's time grows with the
batch and with prompt tokens computed in it (chunked prefill). Runs on any asyncio loop, real or
virtual.
"""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import orjson
import xxhash

BLOCK_TOKENS = 16
"""Tokens in one block of the prefix cache, as usual in paged attention (Kwon 2023)."""
BYTES_PER_TOKEN = 4
TEMPLATE_TOKENS_PER_MESSAGE = 4
TOMBSTONES = 100_000
STREAMS_KEPT = 2_000


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Size and speed of an emulated engine.

    Attributes:
        slots: streams in one batch.
        step_base_s: time of a step with an empty batch, seconds.
        step_per_stream_s: added per running stream.
        prefill_tokens_per_s: prompt tokens computed per second.
        prefill_chunk_tokens: prompt tokens computed in one step at most.
        kv_capacity_tokens: tokens in the prefix cache before eviction.
        answer_tokens: tokens of an answer, bounded by the request's maximum.

    """

    slots: int = 8
    step_base_s: float = 0.008
    step_per_stream_s: float = 0.0005
    prefill_tokens_per_s: float = 20_000.0
    prefill_chunk_tokens: int = 2_048
    kv_capacity_tokens: int = 400_000
    answer_tokens: int = 24


@dataclass(slots=True)
class Stream:
    """One answer: the events so far and how far its prompt has been computed."""

    name: str
    program_id: str
    model: str
    priority: int
    prompt_tokens: int
    block_hashes: list[int]
    answer: list[str]
    cached_tokens: int = 0
    prefill_left: int = 0
    produced: int = 0
    events: list[bytes] = field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def push(self, event: bytes) -> None:
        """Add an event and wake the readers."""
        self.events.append(event)
        self.grown.set()
        self.grown = asyncio.Event()


class Refused(Exception):
    """The engine does not take the request; ``leaving`` tells why."""


class Cancelled(Exception):
    """The stream's name was cancelled before it started."""


class EngineModel:
    """One emulated engine.

    Attributes:
        leaving: refuses new work and says so; ``says_leaving``: only says so.
        holds: programs whose KV cache is held.

    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.leaving = False
        self.says_leaving = False
        self.holds: dict[str, float] = {}
        self.fence = 0
        self.loaded_models: list[str] = []
        self._streams: OrderedDict[str, Stream] = OrderedDict()
        self._tombstones: OrderedDict[str, None] = OrderedDict()
        self._waiting: list[Stream] = []
        self._running: list[Stream] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    # --- requests ------------------------------------------------------------------------

    def start(self, body: dict[str, Any]) -> Stream:
        """Take a request; raise ``Refused`` or ``Cancelled``."""
        name = body["request_id"]
        if self.leaving:
            raise Refused("leaving")
        if name in self._tombstones:
            raise Cancelled(name)
        if name in self._streams:
            return self._streams[name]
        stream = self._new_stream(name, body)
        self._streams[name] = stream
        while len(self._streams) > STREAMS_KEPT:
            self._streams.popitem(last=False)
        self._waiting.append(stream)
        if stream.program_id:
            self.holds[stream.program_id] = asyncio.get_running_loop().time()
        self._wake.set()
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        return stream

    def _new_stream(self, name: str, body: dict[str, Any]) -> Stream:
        text = orjson.dumps([[m["role"], m.get("content") or ""] for m in body["messages"]])
        hashes, tokens = _hash_prompt(body["messages"])
        count = min(self.parameters.answer_tokens, body["max_tokens"])
        seed = xxhash.xxh3_64_intdigest(text)
        answer = [f"{(seed + 7919 * i) % 1000:03d} " for i in range(count)]
        return Stream(
            name=name,
            program_id=body.get("program_id", ""),
            model=body["model"],
            priority=body.get("priority", 0),
            prompt_tokens=tokens,
            block_hashes=hashes,
            answer=answer,
        )

    def find(self, name: str) -> Stream | None:
        """Stream by name, also when it is complete."""
        return self._streams.get(name)

    async def read(self, stream: Stream) -> AsyncIterator[bytes]:
        """Events from the first one on."""
        position = 0
        while True:
            if position < len(stream.events):
                event = stream.events[position]
                position += 1
                yield event
            elif stream.done:
                return
            else:
                await stream.grown.wait()

    def cancel(self, name: str) -> None:
        """End a stream; its name can never be started again."""
        self._tombstones[name] = None
        while len(self._tombstones) > TOMBSTONES:
            self._tombstones.popitem(last=False)
        stream = self._streams.get(name)
        if stream is not None and not stream.done:
            stream.cancelled = True
            self._close(stream)

    def load(self) -> dict[str, Any]:
        """Load report."""
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "kv_used_share": len(self._cache) * BLOCK_TOKENS / self.parameters.kv_capacity_tokens,
            "slots": self.parameters.slots,
            "leaving": self.leaving or self.says_leaving,
        }

    def release(self, program_id: str) -> None:
        """Give back what is held for a program."""
        self.holds.pop(program_id, None)

    def order(self, fence: int, order: str, argument: str) -> bool:
        """Carry a fenced order out; ``False``: an older fence."""
        if fence < self.fence:
            return False
        if fence > self.fence and order == "load_model":
            self.loaded_models.append(argument)
        self.fence = fence
        return True

    def stop(self) -> None:
        """End at once, as a crash does."""
        if self._task is not None:
            self._task.cancel()

    # --- the batch -----------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            if not self._running and not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            self._admit()
            await asyncio.sleep(self._step_s())
            self._step()

    def _admit(self) -> None:
        self._waiting.sort(key=lambda stream: stream.priority)
        while self._waiting and len(self._running) < self.parameters.slots:
            stream = self._waiting.pop(0)
            if stream.done:
                continue
            cached = self._cached_blocks(stream) * BLOCK_TOKENS
            stream.cached_tokens = min(cached, stream.prompt_tokens - 1)
            stream.prefill_left = stream.prompt_tokens - stream.cached_tokens
            self._running.append(stream)

    def _cached_blocks(self, stream: Stream) -> int:
        for count, block in enumerate(stream.block_hashes):
            if block not in self._cache:
                return count
            self._cache.move_to_end(block)
        return len(stream.block_hashes)

    def _step_s(self) -> float:
        parameters = self.parameters
        prefill = min(
            parameters.prefill_chunk_tokens, sum(stream.prefill_left for stream in self._running)
        )
        return (
            parameters.step_base_s
            + parameters.step_per_stream_s * len(self._running)
            + prefill / parameters.prefill_tokens_per_s
        )

    def _step(self) -> None:
        budget = self.parameters.prefill_chunk_tokens
        for stream in list(self._running):
            if stream.done:
                self._running.remove(stream)
            elif stream.prefill_left > 0:
                computed = min(budget, stream.prefill_left)
                budget -= computed
                stream.prefill_left -= computed
                if stream.prefill_left == 0:
                    self._keep(stream.block_hashes)
            else:
                self._produce(stream)

    def _produce(self, stream: Stream) -> None:
        stream.push(_content_event(stream, stream.answer[stream.produced]))
        stream.produced += 1
        if stream.produced == len(stream.answer):
            stream.push(_last_event(stream))
            self._close(stream)
            self._running.remove(stream)

    def _close(self, stream: Stream) -> None:
        stream.done = True
        stream.grown.set()

    def _keep(self, blocks: list[int]) -> None:
        """Keep a prompt's blocks; evict the least recently used beyond capacity."""
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        capacity = self.parameters.kv_capacity_tokens // BLOCK_TOKENS
        while len(self._cache) > capacity:
            self._cache.popitem(last=False)


def _hash_prompt(messages: list[dict[str, Any]]) -> tuple[list[int], int]:
    """Hashes of the prompt's full blocks (each covers all before it), and its tokens."""
    digest = xxhash.xxh3_64()
    hashes: list[int] = []
    tokens = 0
    for message in messages:
        content = (message.get("content") or "").encode()
        tokens += TEMPLATE_TOKENS_PER_MESSAGE + -(-len(content) // BYTES_PER_TOKEN)
        digest.update(message["role"].encode())
        block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN
        for start in range(0, len(content), block_bytes):
            digest.update(content[start : start + block_bytes])
            if len(hashes) < tokens // BLOCK_TOKENS:
                hashes.append(digest.intdigest())
    return hashes, tokens


def _content_event(stream: Stream, text: str) -> bytes:
    delta = {"role": "assistant", "content": text}
    return _event(stream, [{"index": 0, "delta": delta, "finish_reason": None}], None)


def _last_event(stream: Stream) -> bytes:
    usage: dict[str, Any] = {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced,
        "total_tokens": stream.prompt_tokens + stream.produced,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }
    return _event(stream, [{"index": 0, "delta": {}, "finish_reason": "stop"}], usage)


def _event(stream: Stream, choices: list[dict[str, Any]], usage: dict[str, Any] | None) -> bytes:
    body: dict[str, Any] = {
        "id": f"chatcmpl-{stream.name}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": stream.model,
        "choices": choices,
    }
    if usage is not None:
        body["usage"] = usage
    return b"data: " + orjson.dumps(body) + b"\n\n"
