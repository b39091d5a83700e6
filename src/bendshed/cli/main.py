"""Entry point. Exit codes: 0 done, 1 refused or failed, 2 invalid input."""

from cleo.application import Application

from bendshed import __version__
from bendshed.cli.ask import AskCommand
from bendshed.cli.explain import ExplainCommand
from bendshed.cli.node import NodeCommand
from bendshed.cli.rehearse import (
    DemoCommand,
    FuzzCommand,
    SiteDemoCommand,
    SiteFuzzCommand,
    StandinCommand,
)
from bendshed.cli.settings import SettingsCheckCommand, SettingsShowCommand


def main() -> int:
    """Run the command line and return its exit code."""
    application = Application("bendshed", __version__)
    for command in (
        NodeCommand(),
        SettingsCheckCommand(),
        SettingsShowCommand(),
        AskCommand(),
        ExplainCommand(),
        StandinCommand(),
        DemoCommand(),
        SiteDemoCommand(),
        SiteFuzzCommand(),
        FuzzCommand(),
    ):
        application.add(command)
    application.auto_exits(False)
    return application.run()
