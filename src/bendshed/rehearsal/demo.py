"""The demo: one agent program across several nodes, one of which is killed between two turns."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson

from bendshed.rehearsal.caller import Call, CallReport, send_call
from bendshed.rehearsal.demo_run import DemoFailed, print_rows, run
from bendshed.rehearsal.installation import CALLER_TOKEN, Installation

PROGRAM = "demo-1"
KILLED = "node-1"
COLUMN_WIDTH = 9
COLUMNS = (
    "call",
    "branch",
    "asked",
    "runner",
    "attempt",
    "first ms",
    "total ms",
    "tokens",
    "cached",
)


async def run_demo() -> None:
    """Run the demo and print its table; raise ``DemoFailed``."""
    with TemporaryDirectory(prefix="bendshed-demo-") as folder:
        installation = await Installation.start(Path(folder))
        try:
            rows = await _run_program(installation)
            _print_table(rows)
            answer = await installation.order(f"EXPLAIN CALL '{PROGRAM}' 6", "node-2")
            print("\nEXPLAIN CALL 'demo-1' 6")
            for row in answer["rows"]:  # type: ignore[attr-defined]
                print("  " + ", ".join(f"{name}={value}" for name, value in row.items()))
        finally:
            await installation.stop()


async def _run_program(installation: Installation) -> list[tuple[Call, str, CallReport]]:
    rows: list[tuple[Call, str, CallReport]] = []

    async def turn(node: str, call: Call) -> None:
        url = installation.nodes[node].url
        report = await send_call(installation.client, url, CALLER_TOKEN, call)
        rows.append((call, node, report))
        if not report.whole:
            raise DemoFailed(f"call {call.number} at {node}: {report.error_kind or 'cut'}")

    await turn("node-1", Call(PROGRAM, 1, "Read the picks of the last minute."))
    await turn("node-2", Call(PROGRAM, 2, "Which stations disagree?"))
    await _use_tool(installation, seconds=0.3)
    async with asyncio.TaskGroup() as group:
        group.create_task(turn("node-3", Call(PROGRAM, 3, "Check the travel times.", "sub")))
        group.create_task(turn("node-4", Call(PROGRAM, 4, "Summarize what is known.")))
    await installation.kill_node(KILLED)
    print(f"killed {KILLED} between two turns\n")
    draft = Call(PROGRAM, 5, "Draft the alert.", unrepeatable=True)
    await turn("node-2", draft)
    await turn("node-3", Call(PROGRAM, 6, "Shorten the draft."))
    await turn("node-4", Call(PROGRAM, 7, "Close the case.", end=True))
    return rows


async def _use_tool(installation: Installation, seconds: float) -> None:
    """The program's own tool pause; bendshed does not see it."""
    url = f"{installation.tool.url}/tools/catalog"
    await installation.client.send("POST", url, orjson.dumps({"seconds": seconds}))


def _print_table(rows: list[tuple[Call, str, CallReport]]) -> None:
    in_order = sorted(rows, key=lambda row: row[0].number)
    print_rows([COLUMNS, *(_cells(*row) for row in in_order)], COLUMN_WIDTH)


def _cells(call: Call, node: str, report: CallReport) -> tuple[object, ...]:
    usage = report.usage
    return (
        call.number,
        call.branch,
        node,
        report.placement["runner"],
        report.placement["attempt"],
        f"{report.first_token_s * 1000:.1f}",
        f"{report.duration_s * 1000:.1f}",
        usage["total_tokens"],
        usage["prompt_tokens_details"]["cached_tokens"],
    )


def main() -> int:
    """Run it; return the exit code."""
    return run("demo", run_demo)
