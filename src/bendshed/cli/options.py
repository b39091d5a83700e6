"""Options and exit codes that several commands share."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bendshed.settings.load import LoadedSettings, SettingsInvalid, load_settings

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def set_option() -> Option:
    """Return the option ``--set section.key=value``, which overrides file and environment."""
    return option("set", None, "Override a setting: section.key=value", flag=False, multiple=True)


def json_option() -> Option:
    """Return the option ``--json``."""
    return option("json", None, "Print JSON, for machines")


def parse_overrides(command: Command) -> dict[str, str]:
    """Parse the values of ``--set`` by setting; raise ``ValueError`` if one is malformed."""
    overrides = {}
    for text in command.option("set") or []:
        field, equals, value = text.partition("=")
        if not equals or "." not in field:
            raise ValueError(f"--set {text}: write section.key=value")
        overrides[field] = value
    return overrides


def load_or_report(command: Command, path: str) -> LoadedSettings | None:
    """Load settings; if they are invalid, print all problems and return ``None``."""
    try:
        return load_settings(Path(path), parse_overrides(command))
    except SettingsInvalid as error:
        for problem in error.problems:
            command.line_error(str(problem))
    except ValueError as error:
        command.line_error(str(error))
    return None
