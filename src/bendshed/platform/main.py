"""Starts one process of the platform: ``node`` or ``store``."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from bendshed.logs import PartLog, log_to, name_process
from bendshed.platform.settings import SiteSettings, SiteSettingsInvalid, load_site_settings

ROLES = ("node", "store")
BAD_INPUT = 2

log = PartLog("process")


async def _run(role: str, settings: SiteSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    reloader = _Reloader(settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    if role == "node":
        from bendshed.platform.front import FrontProcess  # noqa: PLC0415 (a role loads its part)

        await FrontProcess(settings).run(stopping)
        return
    from bendshed.platform.replica import StoreProcess  # noqa: PLC0415

    if settings.dataDir is None:
        raise SiteSettingsInvalid("dataDir: (missing): run the role store where there is a disk")
    await StoreProcess(settings, Path(settings.dataDir)).run(stopping)


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


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit code."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        sys.stderr.write(f"name one role: {' or '.join(ROLES)}\n")
        return BAD_INPUT
    log_to(sys.stdout.fileno())
    try:
        settings = load_site_settings()
        name_process(settings.nodeName, f"{random.getrandbits(32):08x}")
        asyncio.run(_run(arguments[0], settings))
    except SiteSettingsInvalid as error:
        sys.stderr.write(f"{error}\n")
        return BAD_INPUT
    return 0
