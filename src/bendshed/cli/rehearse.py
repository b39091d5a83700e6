"""``bendshed rehearse …``: stand-ins, demo, experiments."""

import asyncio
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bendshed.cli.options import EXIT_BAD_INPUT, EXIT_DONE

STANDINS = ("platform", "engine", "tool")


class StandinCommand(Command):
    """Serves one stand-in."""

    name = "rehearse standin"
    description = "Serve a stand-in of the platform, an engine or a tool service."
    help = "Example: <info>bendshed rehearse standin engine --port 9000</info>"
    arguments: ClassVar[list[Argument]] = [argument("kind", f"One of {', '.join(STANDINS)}")]
    options: ClassVar[list[Option]] = [
        option("host", None, "Address to listen on", flag=False, default="127.0.0.1"),
        option("port", None, "Port; 0 takes a free one", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Serve."""
        from bendshed.rehearsal.standins import run_standin

        kind = self.argument("kind")
        if kind not in STANDINS:
            self.line_error(f"kind: {kind}: name one of {', '.join(STANDINS)}")
            return EXIT_BAD_INPUT
        asyncio.run(run_standin(kind, self.option("host"), int(self.option("port"))))
        return EXIT_DONE


class DemoCommand(Command):
    """Runs the demo."""

    name = "rehearse demo"
    description = "Run one program across several nodes, kill one, and print what happened."
    help = "Example: <info>bendshed rehearse demo</info>. Exit codes: 0 all held, 1 not."

    def handle(self) -> int:
        """Run."""
        from bendshed.rehearsal.demo import main

        return main()
