"""Controller of the scale run: starts the workers, makes changes and kills, fits slopes."""

import asyncio
import json
import signal
import statistics
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from bendshed.adapters.http import HttpClient
from bendshed.rehearsal.installation import OPERATOR_TOKEN, sha256
from bendshed.rehearsal.launcher import Launcher, Started
from bendshed.rehearsal.load import cpu_s, memory_mb
from bendshed.rehearsal.scale.worker import WorkerPlan, host_of

NODES_PER_WORKER = 20
DISK_EVERY = 10
RUNNERS_PER_NODE = 9
GROUPS_PER_DISK_NODE = 2
CONVERGE_LIMIT_S = 60.0
SETTLE_S = 10.0
MEASURE_S = 15.0
SINGLE_CHANGES = 8
BURST_CHANGES = 20
SPREAD_LIMIT_S = 30.0
REAL_NODES = 2


@dataclass(slots=True)
class SizeResult:
    """Figures at one size; per node unless the name says otherwise."""

    nodes: int
    runners: int
    groups: int
    converge_s: float = 0.0
    cpu_share: float = 0.0
    bytes_per_s: float = 0.0
    messages_per_s: float = 0.0
    memory_mb_hollow: float = 0.0
    memory_mb_real: float = 0.0
    cpu_share_real: float = 0.0
    in_force_s: list[float] = field(default_factory=list)
    burst_in_force_s: float = 0.0
    death_known_first_s: float = 0.0
    death_known_all_s: float = 0.0
    death_heard_by: int = 0


@dataclass(slots=True)
class Worker:
    """A started worker and what it printed last."""

    process: asyncio.subprocess.Process
    plan: WorkerPlan
    reports: list[dict[str, Any]] = field(default_factory=list)


@dataclass(slots=True)
class ScaleRun:
    """One size.

    Attributes:
        revisions: revision -> wall times at which hollow nodes took it.
        deaths: member name -> wall times at which hollow nodes declared it dead.

    """

    size: int
    folder: Path
    launcher: Launcher
    client: HttpClient
    say: Callable[[str], None]
    workers: list[Worker] = field(default_factory=list)
    real: list[Started] = field(default_factory=list)
    revisions: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    deaths: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    platform_url: str = ""
    _readers: "list[asyncio.Task[None]]" = field(default_factory=list)

    @property
    def _disk_every(self) -> int:
        """One node in ten has a disk, and at least three have."""
        return min(DISK_EVERY, self.size // 3)

    async def run(self) -> SizeResult:
        """Start, measure, change, kill; everything is stopped by the caller."""
        groups = max(4, GROUPS_PER_DISK_NODE * (self.size // self._disk_every))
        result = SizeResult(self.size + REAL_NODES, self.size * RUNNERS_PER_NODE, groups)
        started_s = time.monotonic()
        await self._start(groups)
        await self._converge(result)
        result.converge_s = round(time.monotonic() - started_s, 1)
        self.say(f"{self.size} nodes: converged after {result.converge_s} s")
        await asyncio.sleep(SETTLE_S)
        await self._measure_steady(result)
        await self._measure_changes(result)
        await self._measure_death(result)
        return result

    async def _start(self, groups: int) -> None:
        platform = await self.launcher.start("platform", "rehearse", "standin", "platform")
        self.platform_url = platform.url
        await self._list_runners()
        seeds = [f"{host_of(number)}:7000" for number in range(3)]
        for first in range(0, self.size, NODES_PER_WORKER):
            count = min(NODES_PER_WORKER, self.size - first)
            plan = WorkerPlan(
                first, count, self._disk_every, groups, self.platform_url, seeds, str(self.folder)
            )
            await self._start_worker(plan)
        for number in range(REAL_NODES):
            self.real.append(await self._start_real(number, seeds, groups))

    async def _list_runners(self) -> None:
        rows = {
            f"runner-{number}": {
                "machine_id": f"runner-{number}",
                "kind": "engine",
                "url": f"http://127.0.0.1:9/{number}",
                "model": f"model-{number % 7}",
                "zone": f"zone-{number % 6}",
                "leaving": False,
                "incarnation": 1,
            }
            for number in range(self.size * RUNNERS_PER_NODE)
        }
        await self.client.send("PUT", f"{self.platform_url}/machines", orjson.dumps(rows))

    async def _start_worker(self, plan: WorkerPlan) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bendshed",
            "rehearse",
            "hollow",
            json.dumps(asdict(plan)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=(self.folder / f"worker-{plan.first}.log").open("wb"),
        )
        worker = Worker(process, plan)
        self.workers.append(worker)
        self._readers.append(asyncio.create_task(self._read(worker)))

    async def _read(self, worker: Worker) -> None:
        assert worker.process.stdout is not None
        async for line in worker.process.stdout:
            event = json.loads(line)
            match event["kind"]:
                case "report":
                    worker.reports.append(event)
                case "revision":
                    self.revisions[event["revision"]].append(event["wall_s"])
                case "dead":
                    self.deaths[event["name"]].append(event["wall_s"])

    async def _start_real(self, number: int, seeds: list[str], groups: int) -> Started:
        path = self.folder / f"real-{number}.toml"
        path.write_text(
            f'[node]\nname = "real-{number}"\nzone = "zone-{number}"\nhost = "127.0.0.1"\n'
            f"seeds = {json.dumps(seeds)}\n[platform]\n"
            f'object_api = "{self.platform_url}"\nmachine_list = "{self.platform_url}"\n'
            f"[groups]\ncount = {groups}\n[routing]\nload_polls_per_interval = 1\n"
            f'[operators]\ntoken_sha256 = "{sha256(OPERATOR_TOKEN)}"\n'
        )
        return await self.launcher.start(f"real-{number}", "node", "--settings", str(path))

    # --- measuring -----------------------------------------------------------------------

    async def _converge(self, result: SizeResult) -> None:
        until_s = time.monotonic() + CONVERGE_LIMIT_S
        while not self._is_converged(result):
            if time.monotonic() > until_s:
                latest = [w.reports[-1] if w.reports else None for w in self.workers]
                raise TimeoutError(f"not converged: {latest}")
            await asyncio.sleep(0.5)

    def _is_converged(self, result: SizeResult) -> bool:
        latest = [worker.reports[-1] for worker in self.workers if worker.reports]
        return (
            len(latest) == len(self.workers)
            and all(r["members_min"] >= result.nodes for r in latest)
            and all(r["runners_min"] >= result.runners for r in latest)
            and sum(r["led_groups"] for r in latest) == result.groups
        )

    async def _measure_steady(self, result: SizeResult) -> None:
        before = [worker.reports[-1] for worker in self.workers]
        real_before = [cpu_s(real) for real in self.real]
        started_s = time.monotonic()
        await asyncio.sleep(MEASURE_S)
        after = [worker.reports[-1] for worker in self.workers]
        elapsed_s = statistics.mean(
            b["at_s"] - a["at_s"] for a, b in zip(before, after, strict=True)
        )

        def rate(name: str) -> float:
            grown = sum(b[name] - a[name] for a, b in zip(before, after, strict=True))
            return float(grown / elapsed_s / self.size)

        result.cpu_share = round(rate("cpu_s"), 5)
        result.bytes_per_s = round(rate("bytes_total"), 1)
        result.messages_per_s = round(rate("messages_total"), 2)
        result.memory_mb_hollow = round(sum(r["rss_bytes"] for r in after) / self.size / 1e6, 2)
        real_elapsed_s = time.monotonic() - started_s
        spent = [cpu_s(r) - b for r, b in zip(self.real, real_before, strict=True)]
        result.cpu_share_real = round(statistics.mean(spent) / real_elapsed_s, 5)
        result.memory_mb_real = round(max(memory_mb(real) for real in self.real), 1)
        self.say(
            f"{self.size} nodes: {result.cpu_share:.4f} core, {result.bytes_per_s:.0f} B/s a node"
        )

    async def _measure_changes(self, result: SizeResult) -> None:
        """Single changes one after the other, then a burst."""
        revision = 0
        for number in range(SINGLE_CHANGES):
            accepted_s = await self._change(number)
            revision += 1
            result.in_force_s.append(await self._wait_in_force(revision, accepted_s))
        started_s = time.time()
        for number in range(BURST_CHANGES):
            await self._change(100 + number)
        result.burst_in_force_s = await self._wait_in_force(revision + BURST_CHANGES, started_s)

    async def _change(self, number: int) -> float:
        """Create the next change in the store, as an accepted order does; return the time."""
        revision = max(self.revisions, default=0) + 1
        if number >= 100:
            revision = SINGLE_CHANGES + 1 + number - 100
        change = {
            "operation_id": f"scale-{number}",
            "author": "scale",
            "at_ms": 0,
            "base_revision": revision - 1,
            "body": {"change": "drain_runner", "runner": f"runner-{number}", "drain": False},
        }
        url = f"{self.platform_url}/objects/configuration%2Fchanges%2F{revision:012d}"
        await self.client.send("PUT", url, orjson.dumps(change), {"If-None-Match": "*"})
        return time.time()

    async def _wait_in_force(self, revision: int, since_s: float) -> float:
        until_s = time.monotonic() + SPREAD_LIMIT_S
        while time.monotonic() < until_s:
            latest = [worker.reports[-1]["revision_min"] for worker in self.workers]
            if all(value >= revision for value in latest):
                break
            await asyncio.sleep(0.1)
        else:
            return float("inf")
        return round(max(self.revisions[revision], default=since_s) - since_s, 3)

    async def _measure_death(self, result: SizeResult) -> None:
        """Kill a real node; note when the first and the last hollow node know."""
        victim = self.real.pop()
        killed_s = time.time()
        await self.launcher.stop(victim, signal.SIGKILL)
        until_s = time.monotonic() + SPREAD_LIMIT_S
        while len(self.deaths[victim.name]) < self.size:
            if time.monotonic() > until_s:
                break
            await asyncio.sleep(0.2)
        times = self.deaths[victim.name]
        result.death_heard_by = len(times)
        if times:
            result.death_known_first_s = round(min(times) - killed_s, 2)
            result.death_known_all_s = round(max(times) - killed_s, 2)

    async def stop(self) -> None:
        """End the workers, then everything else."""
        for worker in self.workers:
            if worker.process.stdin is not None:
                worker.process.stdin.close()
        await asyncio.gather(*(worker.process.wait() for worker in self.workers))
        for reader in self._readers:
            reader.cancel()
        for real in self.real:
            await self.launcher.stop(real, signal.SIGKILL)
        await self.launcher.stop_all()


async def run_scale(sizes: list[int], say: Callable[[str], None]) -> list[SizeResult]:
    """Run all sizes, smallest first."""
    results = []
    for size in sizes:
        with TemporaryDirectory(prefix="bendshed-scale-") as folder:
            client = HttpClient()
            run = ScaleRun(size, Path(folder), Launcher(Path(folder)), client, say)
            try:
                results.append(await run.run())
            except TimeoutError as error:
                say(f"{size} nodes: given up: {error}")
                break
            finally:
                await run.stop()
                await client.close()
    return results
