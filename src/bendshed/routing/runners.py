"""This node's view of the runners: soft state, which can be rebuilt from reports at any time."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bendshed.ports.engine import LoadReport
from bendshed.ports.store import Machine
from bendshed.wire.peer_pb2 import RunnerNotice

DEFAULT_SLOTS = 8
"""Concurrent requests assumed for an engine until its first load report."""
MAX_REMEMBERED_PROGRAMS = 4096
BREAKER_FAILURE_LIMIT = 3
BREAKER_OPEN_S = 5.0


@dataclass(slots=True)
class Runner:
    """One runner as known to this node.

    Attributes:
        machine: its entry of the machine list.
        leaving: whether it leaves, by any source: machine list, gossip, the engine itself.
        drained: whether the operators' configuration drains it.
        report: latest load report; ``None``: none yet.
        report_at_s: loop time of that report.
        own_in_flight: attempts of this node that run there.
        own_since_report: attempts sent since the report, which does not include them.
        failures: consecutive failures.
        open_until_s: loop time until which the circuit breaker is open: no new work.

    """

    machine: Machine
    leaving: bool = False
    drained: bool = False
    report: LoadReport | None = None
    report_at_s: float = float("-inf")
    own_in_flight: int = 0
    own_since_report: int = 0
    failures: int = 0
    open_until_s: float = 0.0

    @property
    def slots(self) -> int:
        """Requests that it can run at once."""
        return self.report.slots if self.report is not None else DEFAULT_SLOTS

    @property
    def expected_load(self) -> int:
        """Requests that are probably there now: reported plus sent since."""
        reported = self.report.running + self.report.waiting if self.report is not None else 0
        return max(reported + self.own_since_report, self.own_in_flight)

    def accepts_work(self, now_s: float) -> bool:
        """Whether new work may be sent to the runner."""
        return not self.leaving and not self.drained and now_s >= self.open_until_s

    def has_free_slot(self) -> bool:
        """Whether a request sent now would not wait in the engine."""
        return self.expected_load < self.slots


@dataclass(slots=True)
class RunnerTable:
    """All runners by id, and the last runner of each program.

    Attributes:
        last_runner: program id -> runner that probably holds its KV cache (bounded).
        notices: latest gossip by runner, including runners not yet listed.

    """

    runners: dict[str, Runner] = field(default_factory=dict)
    last_runner: OrderedDict[str, str] = field(default_factory=OrderedDict)
    notices: dict[str, RunnerNotice] = field(default_factory=dict)
    drained: frozenset[str] = frozenset()

    def update_list(self, machines: list[Machine]) -> list[RunnerNotice]:
        """Apply a new machine list; return the notices to gossip."""
        notices = []
        listed = {m.machine_id: m for m in machines if m.kind == "engine"}
        for runner_id, machine in listed.items():
            runner = self.runners.get(runner_id)
            if runner is None or runner.machine.incarnation < machine.incarnation:
                runner = Runner(machine, drained=runner_id in self.drained)
                self.runners[runner_id] = runner
            runner.machine = machine
            notice = self.notices.get(runner_id)
            if notice is not None and notice.incarnation >= machine.incarnation:
                runner.leaving = notice.leaving
            if machine.leaving and not runner.leaving:
                notices.append(self._set_leaving(runner))
        for runner_id, runner in self.runners.items():
            if runner_id not in listed and not runner.leaving:
                notices.append(self._set_leaving(runner))
        return notices

    def _set_leaving(self, runner: Runner) -> RunnerNotice:
        runner.leaving = True
        return RunnerNotice(
            runner_id=runner.machine.machine_id,
            incarnation=runner.machine.incarnation,
            leaving=True,
        )

    def mark_leaving(self, runner_id: str) -> RunnerNotice | None:
        """Mark a runner whose engine reports that it leaves; return the notice to gossip."""
        runner = self.runners.get(runner_id)
        if runner is None or runner.leaving:
            return None
        return self._set_leaving(runner)

    def apply_notice(self, notice: RunnerNotice) -> None:
        """Apply gossip about a runner."""
        self.notices[notice.runner_id] = notice
        runner = self.runners.get(notice.runner_id)
        if runner is not None and notice.incarnation >= runner.machine.incarnation:
            runner.leaving = notice.leaving

    def set_drained(self, names: frozenset[str]) -> None:
        """Set the runners that operators drain."""
        self.drained = names
        for runner_id, runner in self.runners.items():
            runner.drained = runner_id in names

    def apply_report(self, runner_id: str, report: LoadReport, now_s: float) -> None:
        """Record a load report."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.report = report
            runner.report_at_s = now_s
            runner.own_since_report = 0

    def begin_attempt(self, runner_id: str, program_id: str) -> None:
        """Count an attempt that is about to be sent."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.own_in_flight += 1
            runner.own_since_report += 1
        self.record_last_runner(program_id, runner_id)

    def record_last_runner(self, program_id: str, runner_id: str) -> None:
        """Record that the program's KV cache is probably at this runner."""
        self.last_runner[program_id] = runner_id
        self.last_runner.move_to_end(program_id)
        if len(self.last_runner) > MAX_REMEMBERED_PROGRAMS:
            self.last_runner.popitem(last=False)

    def end_attempt(self, runner_id: str, succeeded: bool, now_s: float) -> None:
        """Record the end of an attempt; consecutive failures open the circuit breaker."""
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        runner.own_in_flight = max(0, runner.own_in_flight - 1)
        runner.own_since_report = max(0, runner.own_since_report - 1)
        runner.failures = 0 if succeeded else runner.failures + 1
        if runner.failures >= BREAKER_FAILURE_LIMIT:
            runner.open_until_s = now_s + BREAKER_OPEN_S
