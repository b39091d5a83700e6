"""Paced load against real processes: what a node adds and what it costs.

The same calls go to the engine directly and through a node, in turn, so both see the same
machine. Processor time is the node processes' own, read from the kernel before and after.
"""

import asyncio
import os
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles
from tempfile import TemporaryDirectory

import orjson

from bendshed.rehearsal.caller import Call, CallReport, send_call
from bendshed.rehearsal.installation import CALLER_TOKEN, MODEL, Installation
from bendshed.rehearsal.launcher import Started

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Figures of one run. Times in milliseconds, costs in microseconds of processor time."""

    calls: int
    not_whole: int
    events: int
    node_cpu_s: float
    idle_cpu_share: float
    cpu_us_per_event: float
    direct_first_ms_p50: float
    direct_first_ms_p95: float
    node_first_ms_p50: float
    node_first_ms_p95: float
    added_first_ms_p50: float
    added_first_ms_p95: float
    node_memory_mb_idle: float
    node_memory_mb_after: float


async def run_load(calls: int, pace_s: float, max_tokens: int) -> LoadResult:
    """Send ``calls`` calls, one each ``pace_s`` seconds, alternately direct and through nodes."""
    with TemporaryDirectory(prefix="bendshed-load-") as folder:
        installation = await Installation.start(Path(folder), answer_tokens=max_tokens)
        try:
            return await _measure(installation, calls, pace_s, max_tokens)
        finally:
            await installation.stop()


async def _measure(
    installation: Installation, calls: int, pace_s: float, max_tokens: int
) -> LoadResult:
    nodes = list(installation.nodes.values())
    await _burst(installation, 4, pace_s, max_tokens, "warm")
    idle_memory = max(memory_mb(node) for node in nodes)
    idle_cpu = await _idle_cpu_share(nodes)
    before = sum(cpu_s(node) for node in nodes)
    started_s = time.monotonic()
    direct, through = await _burst(installation, calls, pace_s, max_tokens, "load")
    spent = sum(cpu_s(node) for node in nodes) - before
    idle_part = idle_cpu * len(nodes) * (time.monotonic() - started_s)
    events = sum(report.num_events for report in through)
    direct_ms = sorted(seconds * 1000 for seconds in direct)
    node_ms = sorted(report.first_token_s * 1000 for report in through)
    d50, d95 = _p50_p95(direct_ms)
    n50, n95 = _p50_p95(node_ms)
    return LoadResult(
        calls=len(through),
        not_whole=sum(not report.whole for report in through),
        events=events,
        node_cpu_s=round(spent, 3),
        idle_cpu_share=round(idle_cpu, 5),
        cpu_us_per_event=round((spent - idle_part) / max(1, events) * 1e6, 1),
        direct_first_ms_p50=d50,
        direct_first_ms_p95=d95,
        node_first_ms_p50=n50,
        node_first_ms_p95=n95,
        added_first_ms_p50=round(n50 - d50, 2),
        added_first_ms_p95=round(n95 - d95, 2),
        node_memory_mb_idle=round(idle_memory, 1),
        node_memory_mb_after=round(max(memory_mb(node) for node in nodes), 1),
    )


async def _burst(
    installation: Installation, calls: int, pace_s: float, max_tokens: int, name: str
) -> tuple[list[float], list[CallReport]]:
    nodes = list(installation.nodes.values())
    engines = list(installation.engines.values())
    direct: list[asyncio.Task[float]] = []
    through: list[asyncio.Task[CallReport]] = []
    for number in range(calls):
        engine = engines[number % len(engines)]
        direct.append(asyncio.create_task(_call_engine(installation, engine, number, max_tokens)))
        await asyncio.sleep(pace_s / 2)
        call = Call(f"{name}-{number}", 1, f"question {number}", max_tokens=max_tokens, end=True)
        node = nodes[number % len(nodes)]
        through.append(
            asyncio.create_task(send_call(installation.client, node.url, CALLER_TOKEN, call))
        )
        await asyncio.sleep(pace_s / 2)
    return await asyncio.gather(*direct), await asyncio.gather(*through)


async def _call_engine(
    installation: Installation, engine: Started, number: int, max_tokens: int
) -> float:
    """Call an engine directly; return the time to its first event in seconds."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": f"direct {number}"}],
        "max_tokens": max_tokens,
        "request_id": f"direct:{number}:{time.monotonic_ns()}",
        "stream": True,
    }
    started_s = time.monotonic()
    answer = await installation.client.stream(
        "POST", f"{engine.url}/v1/chat/completions", orjson.dumps(body)
    )
    first_s = 0.0
    async for _ in answer.chunks():
        first_s = first_s or time.monotonic() - started_s
    return first_s


async def _idle_cpu_share(nodes: list[Started], seconds: float = 5.0) -> float:
    """Share of a core that one idle node uses, averaged."""
    before = sum(cpu_s(node) for node in nodes)
    await asyncio.sleep(seconds)
    return (sum(cpu_s(node) for node in nodes) - before) / seconds / len(nodes)


def cpu_s(started: Started) -> float:
    """Processor seconds that a process has used (user and system)."""
    fields = Path(f"/proc/{started.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_mb(started: Started) -> float:
    """Resident memory of a process in MB (10^6 bytes)."""
    pages = int(Path(f"/proc/{started.process.pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def _p50_p95(values: list[float]) -> tuple[float, float]:
    cuts = quantiles(values, n=20)
    return round(cuts[9], 2), round(cuts[18], 2)
