"""The leader's word on cold runners: what it grants, and whom it sends away."""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bendshed.admission.cold_permits import LEAVE_S, WINDOW_MS, ColdPermitCounts
from bendshed.admission.retry_schedule import RetrySchedule
from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.model.runner import ServiceRunner
from bendshed.placement.cold_runners import ColdTerms
from bendshed.turns.metrics import ColdEnd, TurnLogMetrics

PERMIT_MS = int(1000 * LEAVE_S)
REFUSED_KEPT_S = 2.0
"""A turn that was refused is remembered for so long: its begin may arrive behind the refusal."""
MIN_WAIT_MS = 100
"""Callers are not told to come back sooner: the way there and back takes some ms."""

log = PartLog("cold")


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """What wants to be sent.

    Attributes:
        program_id: whose; of a request without one, the request's own id.
        is_new_program: nothing of the program has run yet, so it may be refused first.
        line: of turns that follow each other; empty: not told.

    """

    request_id: str
    program_id: str
    is_new_program: bool
    line: str = ""

    @property
    def returns_as(self) -> tuple[str, str]:
        """What comes back after a refusal, whatever the id of its next try."""
        return self.program_id, self.line


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request may run.

    Attributes:
        runner_id: empty: none is known here.
        permit_ms: above 0: it may be sent there once, within this time from its question.
        retry_after_ms: above 0: no runner may take it now, and when there is room again.

    """

    runner_id: str = ""
    permit_ms: int = 0
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Openings:
    """Runners that may get a request.

    Attributes:
        runners: warm ones, and cold ones with room.
        cold: ids of the latter.

    """

    runners: Sequence[ServiceRunner]
    cold: Collection[str] = ()


@dataclass(slots=True)
class ColdAdmission:
    """Leave to send to cold runners, by this process while it leads.

    Programs that were refused in their midst come back; until then what they need is not given to
    new ones.
    """

    tracker: ColdRunnerTracker
    terms: ColdTerms
    metrics: TurnLogMetrics
    num_leaders: int = 1
    grants: ColdPermitCounts = field(init=False)
    _refused: "OrderedDict[str, tuple[float, int]]" = field(default_factory=OrderedDict)
    _returns: dict[bool, RetrySchedule] = field(init=False)

    def __post_init__(self) -> None:
        self.grants = ColdPermitCounts(self.terms, self.num_leaders)
        self._returns = {is_new: RetrySchedule() for is_new in (True, False)}

    def openings(
        self, runners: Sequence[ServiceRunner], ask: PermitRequest, now_s: float
    ) -> Openings:
        """Leave out the cold runners that have got what they bear.

        Whoever asks again for the same request is judged anew.
        """
        self._refused.pop(ask.request_id, None)
        if not self.tracker.has_cold:
            return Openings(runners)
        cold = [runner for runner in runners if self.tracker.is_cold(runner.runner_id)]
        if not cold:
            return Openings(runners)
        has_room = {runner.runner_id for runner in self._with_room(cold, ask, now_s)}
        is_full = {runner.runner_id for runner in cold} - has_room
        return Openings([r for r in runners if r.runner_id not in is_full], has_room)

    def counted_openings(
        self, runners: Sequence[ServiceRunner], ask: PermitRequest, now_s: float
    ) -> Openings:
        """Hold each runner to the bound, warm or not: the asker may know what is not known here."""
        has_room = self._with_room(runners, ask, now_s)
        return Openings(has_room, {runner.runner_id for runner in has_room})

    def _with_room(
        self, runners: Sequence[ServiceRunner], ask: PermitRequest, now_s: float
    ) -> list[ServiceRunner]:
        kept = self._kept_for_others(ask, now_s) / max(1, len(runners))
        return [runner for runner in runners if self._room(runner, ask, now_s) > kept]

    def _kept_for_others(self, ask: PermitRequest, now_s: float) -> int:
        """Sendings that programs under way will ask for once more."""
        if not ask.is_new_program:
            return 0
        return self._returns[False].num_others(ask.returns_as, int(1000 * now_s))

    def _room(self, runner: ServiceRunner, ask: PermitRequest, now_s: float) -> int:
        rate = self.tracker.rate_of(runner.runner_id)
        return self.grants.room(runner.runner_id, rate, ask.is_new_program, now_s)

    def least_loaded(
        self,
        runners: Sequence[ServiceRunner],
        request_id: str,
        zone: str,
        avoided: Collection[str],
        now_s: float,
    ) -> str:
        """Runner of a request whose work the board does not know: a warm one, with most room."""
        rank = rendezvous_rank(request_id, [runner.runner_id for runner in runners])

        def cost(runner: ServiceRunner) -> tuple[bool, bool, int, bool, int]:
            runner_id = runner.runner_id
            return (
                runner_id in avoided,
                self.tracker.is_cold(runner_id),
                self.grants.num_granted(runner_id, now_s),
                runner.zone != zone,
                rank.index(runner_id),
            )

        return min(runners, key=cost).runner_id

    def grant(self, runner_id: str, ask: PermitRequest, now_s: float) -> Placement:
        """Permit one sending."""
        self.grants.grant(runner_id, now_s)
        self._refused.pop(ask.request_id, None)
        self._returns[ask.is_new_program].forget(ask.returns_as)
        self.metrics.cold_permits.labels(ColdEnd.GRANTED.value).inc()
        log.say(
            "permits a sending",
            request=ask.request_id,
            runner=runner_id,
            is_new_program=ask.is_new_program,
            granted=self.grants.num_granted(runner_id, now_s),
            most=self.grants.most(self.tracker.rate_of(runner_id), False, now_s),
            cold_for_ms=self.tracker.left_ms(runner_id),
        )
        return Placement(runner_id, PERMIT_MS)

    def refuse(
        self, runners: Sequence[ServiceRunner], ask: PermitRequest, now_s: float
    ) -> Placement:
        """No runner may take it now: tell when to come back, each behind those told before."""
        self.grants.sweep(now_s)
        now_ms = int(1000 * now_s)
        returns = self._returns[ask.is_new_program]
        num_before = returns.num_others(ask.returns_as, now_ms)
        retry_ms = max(MIN_WAIT_MS, self._wait_ms(runners, ask, num_before, now_s))
        returns.note(ask.returns_as, now_ms + retry_ms)
        self._note_refused(ask.request_id, retry_ms, now_s)
        self.metrics.cold_permits.labels(ColdEnd.REFUSED.value).inc()
        log.say(
            "refuses a request",
            request=ask.request_id,
            is_new_program=ask.is_new_program,
            runners=len(runners),
            share=self.grants.touch.share(now_s),
            retry_after_ms=retry_ms,
        )
        return Placement(retry_after_ms=retry_ms)

    def _wait_ms(
        self, runners: Sequence[ServiceRunner], ask: PermitRequest, num_before: int, now_s: float
    ) -> int:
        rates = {runner.runner_id: self.tracker.rate_of(runner.runner_id) for runner in runners}
        is_new = ask.is_new_program
        least_ms = min(self.grants.wait_ms(r, rate, is_new, now_s) for r, rate in rates.items())
        per_window = sum(self.grants.most(rate, is_new, now_s) for rate in rates.values())
        return least_ms + WINDOW_MS * num_before // max(1, per_window)

    def _note_refused(self, request_id: str, retry_ms: int, now_s: float) -> None:
        self._refused[request_id] = (now_s, retry_ms)
        self._refused.move_to_end(request_id)
        while next(iter(self._refused.values()))[0] < now_s - REFUSED_KEPT_S:
            self._refused.popitem(last=False)

    def forget_refused(self, request_id: str) -> None:
        """A refusal that binds no begin."""
        self._refused.pop(request_id, None)

    def refused_for_ms(self, request_id: str, now_s: float) -> int:
        """When a turn that was refused a moment ago was told to come back; 0: it was not."""
        if not self._refused:
            return 0
        at_s, retry_ms = self._refused.get(request_id, (float("-inf"), 0))
        return retry_ms if now_s - at_s <= REFUSED_KEPT_S else 0
