"""The demo of a site: an agent program with tools and a sub-agent; a front is killed midway."""

import itertools
import random
import signal
from pathlib import Path
from tempfile import TemporaryDirectory

from bendshed.rehearsal.demo_run import DemoFailed, print_rows, run
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.installation import SiteInstallation
from bendshed.rehearsal.site.oracle import check_all
from bendshed.rehearsal.site.programs import AgentProgram, ProgramPlan
from bendshed.rehearsal.site.records import SiteRequest

COLUMNS = ("request", "kind", "front", "runner", "continues", "status", "whole", "ms")
COLUMN_WIDTH = 12
KILLED = "front-1"
BUDGET_TOKENS = 2_000


async def run_site_demo() -> None:
    """Run the demo and print its table; raise ``DemoFailed``."""
    with TemporaryDirectory(prefix="bendshed-site-") as folder:
        site = SiteInstallation(Path(folder))
        try:
            await site.start()
            await _run_programs(site)
            print_table(site)
            violations = check_all(site.seen)
            if violations:
                raise DemoFailed("; ".join(f"{v.rule}: {v.detail}" for v in violations))
        finally:
            await site.stop()


async def _run_programs(site: SiteInstallation) -> None:
    """One program over all fronts, then another over those that are left."""
    first = make_program(site, "triage-1", ProgramPlan(turns=3, tools=2, sub_agents=1))
    await first.run()
    await site.fronts[KILLED].end(signal.SIGKILL)
    left = [name for name in site.fronts if name != KILLED]
    print(f"killed {KILLED}; another program continues the first one's last turn\n")
    second = make_program(site, "triage-2", ProgramPlan(turns=2, tools=1), left)
    await second.run(first.last_turn)
    for program in (first, second):
        if not program.finished:
            raise DemoFailed(f"{program.program_id} did not end: {program.statuses}")


def make_program(
    site: SiteInstallation, name: str, plan: ProgramPlan, fronts: list[str] | None = None
) -> AgentProgram:
    """An agent program that goes round the fronts."""
    turns = itertools.cycle(fronts or list(site.fronts))
    numbers = itertools.count(1)
    return AgentProgram(
        tenant=WIDE,
        program_id=name,
        plan=plan,
        budget_tokens=BUDGET_TOKENS,
        send=site.send,
        pick_node=lambda: next(turns),
        rng=random.Random(name),
        next_id=lambda: f"{name}.{next(numbers)}",
    )


def print_table(site: SiteInstallation) -> None:
    """Print each request as its client saw it."""
    runners = {run.request_id: run.runner_id for run in site.seen.runs}
    rows = [_cells(request, runners) for request in site.seen.requests]
    print_rows([COLUMNS, *rows], COLUMN_WIDTH)


def _cells(request: SiteRequest, runners: dict[str, str]) -> tuple[object, ...]:
    return (
        request.request_id,
        request.kind.value,
        request.node,
        runners.get(request.request_id, "-"),
        request.previous or "-",
        request.status,
        request.is_whole,
        f"{(request.ended_s - request.sent_s) * 1000:.1f}",
    )


def main() -> int:
    """Run it; return the exit code."""
    return run("site demo", run_site_demo)
