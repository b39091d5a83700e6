"""Starts one process of the platform: ``node`` or ``store``.

The process listens before it imports its other modules: clients that connect in the meantime wait
in the accept queue instead of being refused, which matters when many processes restart at once.
"""

import gc
import signal
import sys
from dataclasses import dataclass

from bendshed.platform.listeners import Listeners, listen
from bendshed.platform.settings import SiteSettingsInvalid, load_site_settings

ROLES = ("node", "store")
EXIT_BAD_INPUT = 2
USAGE = "give one role, node or store, and if wanted the port of its metrics"


@dataclass(frozen=True, slots=True)
class Command:
    """Parsed command line.

    Attributes:
        metrics_port: port of the metrics endpoint; ``None``: not served.

    """

    role: str
    metrics_port: int | None = None


def _parse_command(arguments: list[str]) -> Command | None:
    """Parse the arguments; ``None`` if they are invalid."""
    match arguments:
        case [role] if role in ROLES:
            return Command(role)
        case [role, port] if role in ROLES and port.isdigit():
            return Command(role, int(port))
    return None


def main(arguments: list[str]) -> int:
    """Run a role until a signal stops it; return the exit code."""
    command = _parse_command(arguments)
    if command is None:
        sys.stderr.write(f"{USAGE}\n")
        return EXIT_BAD_INPUT
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the role installs its handler
    gc.disable()  # imports leave no garbage; collecting took a twentieth of the startup time
    try:
        settings = load_site_settings()
        listeners = listen(settings) if command.role == "node" else Listeners()
        from bendshed.platform.roles import run_role  # noqa: PLC0415 (see the module docstring)

        run_role(command.role, command.metrics_port, settings, listeners)
    except SiteSettingsInvalid as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT
    finally:
        gc.enable()
    return 0
