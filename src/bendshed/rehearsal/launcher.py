"""Starts the product's processes for a rehearsal and ends just these, by their ids."""

import asyncio
import contextlib
import json
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Started:
    """A process that was started, and what it announced."""

    name: str
    process: asyncio.subprocess.Process
    announced: dict[str, Any]
    log_path: Path

    @property
    def url(self) -> str:
        """Base URL of its HTTP side."""
        return f"http://{HOST}:{self.announced['http_port']}"

    @property
    def peer_address(self) -> str:
        """Address for its peers."""
        return f"{HOST}:{self.announced['peer_port']}"

    def kill(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.process.send_signal(number)


class StartFailed(Exception):
    """A process ended or stayed silent instead of announcing itself."""


@dataclass(slots=True)
class Launcher:
    """Starts processes with their logs in one folder.

    Attributes:
        folder: scratch folder for settings, data and logs.

    """

    folder: Path
    started: list[Started] = field(default_factory=list)

    async def start(self, name: str, *arguments: str) -> Started:
        """Start ``bendshed <arguments>`` and wait until it announces itself."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bendshed",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
            )
        assert process.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            raise StartFailed(f"{name} did not start; its log: {log_path.read_text()[-2000:]}")
        started = Started(name, process, json.loads(line), log_path)
        self.started.append(started)
        return started

    async def stop(self, started: Started, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal and wait for the end; return the exit code."""
        if started.process.returncode is None:
            started.process.send_signal(number)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            code = await started.process.wait()
        if started in self.started:
            self.started.remove(started)
        return code

    async def stop_all(self) -> None:
        """Stop everything that is left."""
        await asyncio.gather(*(self._stop_or_kill(started) for started in list(self.started)))

    async def _stop_or_kill(self, started: Started) -> None:
        try:
            await self.stop(started)
        except TimeoutError:
            started.process.kill()
            await started.process.wait()
