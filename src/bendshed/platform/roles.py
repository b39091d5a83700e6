"""Runs one role in this process after setting up logging, metrics and signal handlers."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.metrics_page import MetricsPage, count_dropped_lines
from bendshed.logs import BoundedLineWriter, PartLog, log_to, name_process
from bendshed.platform.listeners import Listeners
from bendshed.platform.settings import SiteSettings, SiteSettingsInvalid, load_site_settings
from bendshed.tasks import enable_garbage_collection

METRICS_PATH = "/metrics"

log = PartLog("process")


def run_role(
    role: str, metrics_port: int | None, settings: SiteSettings, listeners: Listeners
) -> None:
    """Run a role until a signal stops it; ``metrics_port``: of the metrics endpoint, if any."""
    writer = log_to(sys.stdout.fileno())
    name_process(settings.nodeName, f"{random.getrandbits(32):08x}")
    asyncio.run(_run(role, metrics_port, settings, listeners, writer))


async def _run(
    role: str,
    metrics_port: int | None,
    settings: SiteSettings,
    listeners: Listeners,
    writer: BoundedLineWriter,
) -> None:
    registry = CollectorRegistry()
    count_dropped_lines(registry, writer)
    if metrics_port is not None:
        MetricsPage(registry, METRICS_PATH).listen(settings.ip, metrics_port)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _log_changed_settings, settings)
    if role == "node":
        from bendshed.platform.front import FrontProcess  # noqa: PLC0415 (each role imports only its own modules)

        enable_garbage_collection()
        await FrontProcess(settings, listeners, registry).run(stopping)
        return
    from bendshed.platform.replica import StoreProcess  # noqa: PLC0415

    if settings.dataDir is None:
        raise SiteSettingsInvalid("dataDir: (missing): run the role store where there is a disk")
    enable_garbage_collection()
    await StoreProcess(settings, Path(settings.dataDir), registry).run(stopping)


def _log_changed_settings(current: SiteSettings) -> None:
    """Read the settings again and log the fields that differ from the current ones."""
    try:
        reloaded = load_site_settings()
    except SiteSettingsInvalid as error:
        log.say("new settings rejected: old ones stay in force", reason=str(error))
        return
    names = SiteSettings.__struct_fields__
    changed = [name for name in names if getattr(reloaded, name) != getattr(current, name)]
    log.say("settings reloaded", changed=changed)
