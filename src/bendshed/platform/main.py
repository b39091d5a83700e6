"""Starts one process of the platform: ``node`` or ``store``."""

import asyncio
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.metrics_page import MetricsPage, count_dropped_lines
from bendshed.logs import BoundedLineWriter, PartLog, log_to, name_process
from bendshed.platform.settings import SiteSettings, SiteSettingsInvalid, load_site_settings

ROLES = ("node", "store")
BAD_INPUT = 2
METRICS_PATH = "/metrics"
USAGE = "give one role, node or store, and if wanted the port of its metrics"

log = PartLog("process")


@dataclass(frozen=True, slots=True)
class Command:
    """What to run.

    Attributes:
        metrics_port: where metrics are told; ``None``: nowhere.

    """

    role: str
    metrics_port: int | None = None


async def _run(command: Command, settings: SiteSettings, writer: BoundedLineWriter) -> None:
    registry = CollectorRegistry()
    count_dropped_lines(registry, writer)
    if command.metrics_port is not None:
        MetricsPage(registry, METRICS_PATH).listen(settings.ip, command.metrics_port)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    reloader = _Reloader(settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    if command.role == "node":
        from bendshed.platform.front import FrontProcess  # noqa: PLC0415 (a role loads its part)

        await FrontProcess(settings, registry).run(stopping)
        return
    from bendshed.platform.replica import StoreProcess  # noqa: PLC0415

    if settings.dataDir is None:
        raise SiteSettingsInvalid("dataDir: (missing): run the role store where there is a disk")
    await StoreProcess(settings, Path(settings.dataDir), registry).run(stopping)


class _Reloader:
    """Reads the settings again on a signal and says what changed."""

    def __init__(self, settings: SiteSettings) -> None:
        self._settings = settings

    def reload(self) -> None:
        try:
            fresh = load_site_settings()
        except SiteSettingsInvalid as error:
            log.say("the new settings are refused, the old ones stay", reason=str(error))
            return
        changed = [
            name
            for name in SiteSettings.__struct_fields__
            if getattr(fresh, name) != getattr(self._settings, name)
        ]
        self._settings = fresh
        log.say("read the settings again", changed=changed)


def _read_command(arguments: list[str]) -> Command | None:
    """Read the words after the program's name; ``None``: they are wrong."""
    match arguments:
        case [role] if role in ROLES:
            return Command(role)
        case [role, port] if role in ROLES and port.isdigit():
            return Command(role, int(port))
    return None


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit code."""
    command = _read_command(arguments)
    if command is None:
        sys.stderr.write(f"{USAGE}\n")
        return BAD_INPUT
    writer = log_to(sys.stdout.fileno())
    try:
        settings = load_site_settings()
        name_process(settings.nodeName, f"{random.getrandbits(32):08x}")
        asyncio.run(_run(command, settings, writer))
    except SiteSettingsInvalid as error:
        sys.stderr.write(f"{error}\n")
        return BAD_INPUT
    return 0
