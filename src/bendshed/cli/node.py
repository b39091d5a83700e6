"""Command ``bendshed node``."""

import asyncio
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bendshed.cli.options import EXIT_BAD_INPUT, EXIT_DONE, load_or_report, set_option
from bendshed.logs import log_to_stderr


class NodeCommand(Command):
    """Runs one node in the foreground."""

    name = "node"
    description = "Run one node until SIGTERM, which drains it."
    help = (
        "Example: <info>bendshed node --settings node.toml --set node.zone=zone-b</info>\n"
        "Prints one JSON line with its addresses, logs JSON lines to standard error.\n"
        "Exit codes: 0 stopped in order, 2 the settings are wrong."
    )
    options: ClassVar[list[Option]] = [
        option("settings", None, "Settings file (TOML)", flag=False, value_required=True),
        set_option(),
    ]

    def handle(self) -> int:
        """Run the node until SIGTERM."""
        from bendshed.process import run_node

        loaded = load_or_report(self, self.option("settings") or "bendshed.toml")
        if loaded is None:
            return EXIT_BAD_INPUT
        log_to_stderr()
        asyncio.run(run_node(loaded.settings))
        return EXIT_DONE
