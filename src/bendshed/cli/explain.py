"""Command ``bendshed explain``: one request's timeline from the logs of several processes."""

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

if TYPE_CHECKING:
    from bendshed.operators.explanation import LogLine

EXIT_DONE, EXIT_NOT_FOUND, EXIT_BAD_INPUT = 0, 1, 2


class ExplainCommand(Command):
    """Explains what happened to a request."""

    name = "explain"
    description = "Join the log lines of several processes that concern one request."
    help = (
        "Example: <info>bendshed explain 9c41d07be2a35f68 front-1.log store-1.log</info>\n"
        "Exit codes: 0 found, 1 no line names the request, 2 a file cannot be read."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("request", "The request's id"),
        argument("logs", "Log files", multiple=True),
    ]

    def handle(self) -> int:
        """Read the log files and print the timeline and the cause."""
        from bendshed.operators.explanation import LogLine, explain, read_line

        lines: list[LogLine] = []
        for name in self.argument("logs"):
            try:
                content = Path(name).read_bytes()
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}: name a file that can be read")
                return EXIT_BAD_INPUT
            parsed_lines = (read_line(raw, Path(name).stem) for raw in content.splitlines())
            lines.extend(line for line in parsed_lines if line is not None)
        explanation = explain(self.argument("request"), lines)
        start_s = explanation.lines[0].at_s if explanation.lines else 0.0
        for line in explanation.lines:
            self.line(_format_line(line, start_s))
        self.line(f"Cause: {explanation.cause}")
        return EXIT_DONE if explanation.lines else EXIT_NOT_FOUND


def _format_line(line: "LogLine", start_s: float) -> str:
    offset_ms = (line.at_s - start_s) * 1000
    marker = "*" if line.request else " "
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items() if value != "")
    return f"{offset_ms:9.1f} ms {marker} {line.process}: {line.text} {fields}"
