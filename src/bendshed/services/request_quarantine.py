"""A node's quarantine: the requests under which runners ended, as it and other nodes saw it.

``retries/quarantine.py`` decides; this module logs, and passes what the node sees on to others.
``dispatched_run.py`` follows the runs of the node.
"""

import asyncio
import itertools
import random
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from bendshed.logs import PartLog
from bendshed.model.runner import RunnerProcess, RunnerState, ServiceRunner
from bendshed.retries.fingerprint import describe
from bendshed.retries.quarantine import (
    LAPSE_S,
    ProcessKnowledge,
    Quarantine,
    QuarantinedRequest,
    RunnerEnd,
    num_ended_runners,
)

MAX_ABANDONED = 1024
"""Abandoned runs that are remembered, about 0.3 MB; the oldest are forgotten first."""
_END_IDS = random.SystemRandom()
"""Ids that no two nodes draw, also if their other generators are seeded alike."""

log = PartLog("quarantine")


class EndReporter(Protocol):
    """Passes ends on to other nodes."""

    def report(self, ends: list[RunnerEnd]) -> None:
        """Report ends in the background."""

    async def wait_reported(self) -> None:
        """Wait until others know what was reported, for a limited time."""

    async def wait_informed(self) -> None:
        """After a start, wait until this node knows what others know, for a limited time."""


class NoReporter:
    """For a node that shares nothing with others."""

    def report(self, ends: list[RunnerEnd]) -> None:
        """Do nothing."""

    async def wait_reported(self) -> None:
        """Do nothing."""

    async def wait_informed(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class _AbandonedRun:
    fingerprint: bytes
    process: RunnerProcess
    request_id: str
    at_s: float


@dataclass(slots=True)
class RequestQuarantine:
    """Requests under which runners ended, and the runs of this node that may end further ones.

    Attributes:
        processes: what this node knows of the processes of runners.
        reporter: passes what this node sees on to other nodes.
        own_address: names this node to others.

    """

    processes: ProcessKnowledge
    reporter: EndReporter = field(default_factory=NoReporter)
    own_address: str = ""
    ledger: Quarantine = field(default_factory=Quarantine)
    _abandoned: deque[_AbandonedRun] = field(default_factory=lambda: deque(maxlen=MAX_ABANDONED))

    def find(self, fingerprint: bytes) -> QuarantinedRequest | None:
        """Return why a request must not be sent now; ``None``: it may be sent."""
        if not self.ledger:
            return None
        now_s = asyncio.get_running_loop().time()
        return self.ledger.find(fingerprint, now_s, self.processes)

    def has_ends(self, fingerprint: bytes) -> bool:
        """Whether any end counts under a request."""
        if not self.ledger:
            return False
        now_s = asyncio.get_running_loop().time()
        return bool(self.ledger.counted_ends(fingerprint, now_s, self.processes))

    # --- what this node sees -----------------------------------------------------------------

    def note_end(
        self,
        fingerprint: bytes,
        process: RunnerProcess,
        request_id: str,
        reason: str,
        replaced_id: int | None = None,
    ) -> int | None:
        """Count the end of a runner under a request, and report it to other nodes.

        Return its id; ``None``: the request cannot be recognized. ``replaced_id``: the end that
        was recorded before the run began.
        """
        if not fingerprint:
            return None
        now_s = asyncio.get_running_loop().time()
        self._forget_abandoned(fingerprint, process, request_id)
        end = self._new_end(fingerprint, process, now_s)
        replaced = () if replaced_id is None else (replaced_id,)
        cleared = self.ledger.clear(fingerprint, replaced, now_s)
        ends = self.ledger.counted_ends(fingerprint, now_s, self.processes)
        num_ended = num_ended_runners(ends)
        log.say(
            "runner counted as ended under a request",
            request=request_id,
            runner=process.runner_id,
            fingerprint=describe(fingerprint),
            reason=reason,
            num_ended=num_ended,
        )
        self.reporter.report([end, *cleared])
        return end.end_id

    def record_ahead(self, fingerprint: bytes, process: RunnerProcess, request_id: str) -> int:
        """Count a run as an end before it begins, and report it; return its id."""
        end = self._new_end(fingerprint, process, asyncio.get_running_loop().time())
        log.say(
            "run counted before it begins",
            request=request_id,
            runner=process.runner_id,
            fingerprint=describe(fingerprint),
        )
        self.reporter.report([end])
        return end.end_id

    def _new_end(self, fingerprint: bytes, process: RunnerProcess, now_s: float) -> RunnerEnd:
        end = RunnerEnd(fingerprint, _END_IDS.getrandbits(63), process, self.own_address)
        self.ledger.merge([end], now_s)
        return end

    def clear(
        self, fingerprint: bytes, end_ids: Collection[int], request_id: str, reason: str
    ) -> None:
        """Clear ends that a try saw, or recorded before its runs began."""
        if not end_ids:
            return
        now_s = asyncio.get_running_loop().time()
        cleared = self.ledger.clear(fingerprint, end_ids, now_s)
        if cleared:
            log.say(
                "ends cleared",
                request=request_id,
                fingerprint=describe(fingerprint),
                runners=sorted(end.process.runner_id for end in cleared),
                reason=reason,
            )
            self.reporter.report(cleared)

    def note_abandoned(self, fingerprint: bytes, process: RunnerProcess, request_id: str) -> None:
        """Remember a run that was given up before its runner answered completely.

        A runner that ends without closing its connections shows only later that it has ended.
        """
        if not fingerprint:
            return
        now_s = asyncio.get_running_loop().time()
        self._abandoned.append(_AbandonedRun(fingerprint, process, request_id, now_s))
        while self._abandoned[0].at_s + LAPSE_S < now_s:
            self._abandoned.popleft()

    def _forget_abandoned(
        self, fingerprint: bytes, process: RunnerProcess, request_id: str
    ) -> None:
        """Forget a run that counts now, so that it does not count again when its runner leaves."""
        for run in list(self._abandoned):
            if (run.fingerprint, run.process, run.request_id) == (fingerprint, process, request_id):
                self._abandoned.remove(run)

    def note_leaving(self, runner: ServiceRunner) -> None:
        """Refute the ends that a process has outlived, as long as its entry shows it."""
        self.ledger.settle(process_of(runner), self.processes)

    def note_runner_gone(self, runner: ServiceRunner) -> None:
        """Count the end of a process that left the list without notice, or started again."""
        if runner.state is not RunnerState.DRAINING:
            self._count_abandoned(
                process_of(runner), "the runner left the list after the request was given up"
            )

    def note_unreachable(self, runner: ServiceRunner) -> None:
        """Count the end of a process to which no connection can be opened any more."""
        self._count_abandoned(
            process_of(runner), "no connection could be opened after the request was given up"
        )

    def _count_abandoned(self, process: RunnerProcess, reason: str) -> None:
        """Count the end of a process under the runs that were given up there lately."""
        if not self._abandoned:
            return
        oldest_s = asyncio.get_running_loop().time() - LAPSE_S
        for run in [run for run in self._abandoned if run.process == process]:
            self._abandoned.remove(run)
            if run.at_s >= oldest_s and not self.processes.has_answered(process, run.at_s):
                self.note_end(run.fingerprint, process, run.request_id, reason)

    # --- what other nodes saw ----------------------------------------------------------------

    def apply_ends(self, ends: Iterable[RunnerEnd]) -> None:
        """Apply ends that other nodes reported."""
        new = self.ledger.merge(ends, asyncio.get_running_loop().time())
        new.sort(key=lambda end: end.fingerprint)
        for fingerprint, rows in itertools.groupby(new, key=lambda end: end.fingerprint):
            received = list(rows)
            log.say(
                "ends received from other nodes",
                fingerprint=describe(fingerprint),
                runners=sorted(end.process.runner_id for end in received),
                cleared=sum(end.is_cleared for end in received),
                reporters=sorted({end.reporter for end in received}),
            )

    def all_ends(self) -> list[RunnerEnd]:
        """All ends that this node knows, for a node that may know fewer."""
        return self.ledger.ends(asyncio.get_running_loop().time()) if self.ledger else []


def process_of(runner: ServiceRunner) -> RunnerProcess:
    """The process that wrote a runner's entry."""
    return RunnerProcess(runner.runner_id, runner.born_ms or 0)
