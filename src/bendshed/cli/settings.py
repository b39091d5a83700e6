"""Commands ``bendshed settings check`` and ``bendshed settings show``."""

from dataclasses import asdict
from typing import ClassVar

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bendshed.cli.options import (
    EXIT_BAD_INPUT,
    EXIT_DONE,
    json_option,
    load_or_report,
    set_option,
)


class SettingsCheckCommand(Command):
    """Validates a settings file."""

    name = "settings check"
    description = "Check a settings file and name every problem in it."
    help = (
        "Example: <info>bendshed settings check node.toml</info>\n"
        "Each problem: file, field, value, cure. Exit codes: 0 valid, 2 not valid."
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file (TOML)")]
    options: ClassVar[list[Option]] = [set_option()]

    def handle(self) -> int:
        """Validate the file and print its problems."""
        if load_or_report(self, self.argument("file")) is None:
            return EXIT_BAD_INPUT
        self.line("the settings are valid")
        return EXIT_DONE


class SettingsShowCommand(Command):
    """Shows the effective settings and their sources."""

    name = "settings show"
    description = "Show the settings in force, where each comes from, secrets hidden."
    help = (
        "Example: <info>bendshed settings show node.toml --json</info>\n"
        "Order: --set over environment (BENDSHED_SECTION__KEY) over file over default."
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file (TOML)")]
    options: ClassVar[list[Option]] = [set_option(), json_option()]

    def handle(self) -> int:
        """Print the effective settings."""
        loaded = load_or_report(self, self.argument("file"))
        if loaded is None:
            return EXIT_BAD_INPUT
        rows = loaded.effective()
        if self.option("json"):
            self.line(orjson.dumps([asdict(row) for row in rows]).decode())
            return EXIT_DONE
        for row in rows:
            self.line(f"{row.field} = {row.value}  ({row.source})")
        return EXIT_DONE
