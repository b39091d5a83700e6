"""Planted defects, at least one per promise, as patches that only tests apply."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from bendshed.configuration.document import Snapshot
from bendshed.configuration.service import ConfigurationService
from bendshed.dispatch.attempt_sender import AttemptSender
from bendshed.dispatch.executor import Executor
from bendshed.dispatch.history import HistoryCache
from bendshed.errors import ANSWERS, ErrorAnswer, ErrorKind, WasRun
from bendshed.programs import state
from bendshed.rehearsal.simulator.oracle import Violation
from bendshed.routing.monitor import RunnerMonitor
from bendshed.routing.runners import Runner
from tests import scenarios


@dataclass(frozen=True)
class Defect:
    promise: int
    plant: Callable[[], Any]
    seed: int = 1
    scenario: Callable[[int], list[Violation]] = scenarios.random_world


def _replace(owner: object, name: str, value: object) -> Callable[[], Any]:
    return lambda: mock.patch.object(owner, name, value)


async def _do_nothing(*_arguments: Any) -> None:
    return None


async def _no_gone_programs(*_arguments: Any) -> list[str]:
    return []


async def _always_true(*_arguments: Any) -> bool:
    return True


def _no_history(*_arguments: Any) -> list[Any]:
    return []


async def _forward_all(self: AttemptSender, run: Any, stream: Any) -> None:
    """Forward a resumed stream from its first byte again, not from where it broke off."""
    async for chunk in stream.events():
        run.live.append(chunk)


@contextmanager
def _report_unavailable_as_not_run() -> Iterator[None]:
    """Report "not run" where the outcome is unknown."""
    wrong = {ErrorKind.GROUP_UNAVAILABLE: ErrorAnswer(503, True, WasRun.NO, 2)}
    with mock.patch.dict(ANSWERS, wrong):
        yield


@contextmanager
def _ignore_order() -> Iterator[None]:
    with (
        mock.patch.object(state, "is_runnable", lambda _program, _call: True),
        mock.patch.object(state, "_later_call_started", lambda _program, _number: False),
    ):
        yield


@contextmanager
def _ignore_leaving() -> Iterator[None]:
    with (
        mock.patch.object(RunnerMonitor, "confirm", _always_true),
        mock.patch.object(Runner, "accepts_work", lambda _self, _now: True),
    ):
        yield


def _apply_any_revision(self: ConfigurationService, revision: int, change: Any) -> None:
    """Apply any revision that the store or a peer sends, whatever the current one is."""
    self._recent_changes[revision] = change
    self.snapshot = Snapshot(revision=revision, document=self.document)
    for on_change in self.on_change:
        on_change(self.document)


DEFECTS = {
    "every call may run at once": Defect(
        1,
        _ignore_order,
        scenario=scenarios.calls_arrive_out_of_order,
    ),
    "a cached history is not checked": Defect(2, _replace(HistoryCache, "assemble", _no_history)),
    "the worst case is not reserved": Defect(
        3,
        _replace(state.GroupStateMachine, "_worst_case_tokens", lambda *_: 1),
        scenario=scenarios.programs_reach_their_budgets,
    ),
    "no reconciliation with the engines": Defect(
        4, _replace(RunnerMonitor, "_find_gone", _no_gone_programs)
    ),
    "a resumed stream is sent twice": Defect(
        5,
        _replace(AttemptSender, "_forward", _forward_all),
        scenario=scenarios.connection_breaks_mid_stream,
    ),
    "unknown outcome is reported as not run": Defect(
        6, _report_unavailable_as_not_run, scenario=scenarios.executor_cut_off_after_grant
    ),
    "a broken stream counts as not started": Defect(
        7,
        _replace(AttemptSender, "_settle_broken", AttemptSender._settle_not_started),
        scenario=scenarios.connection_breaks_for_long,
    ),
    "leaving notices are ignored": Defect(
        8, _ignore_leaving, scenario=scenarios.engine_leaves_under_load
    ),
    "draining does not wait for calls": Defect(
        9, _replace(Executor, "drain", _do_nothing), scenario=scenarios.planned_stop_mid_stream
    ),
    "announced revisions are ignored": Defect(
        10, _replace(ConfigurationService, "_on_revision_seen", lambda *_: None)
    ),
    "any revision is applied": Defect(
        10, _replace(ConfigurationService, "_apply", _apply_any_revision)
    ),
}
