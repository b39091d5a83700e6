"""Decides at the turn log's leader whether a request may be dispatched to cold runners.

Owns the permits granted by this process and the requests that it rejected recently.
`admission/cold_permits.py` decides how many permits a leader may grant, and
`admission/retry_schedule.py` when rejected requests retry.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bendshed.admission.cold_permits import PERMIT_VALID_S, WINDOW_MS, ColdPermitCounts
from bendshed.admission.retry_schedule import RetrySchedule, cold_retry_after_ms
from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.model.runner import ServiceRunner
from bendshed.placement.cold_runners import ColdRateLimit
from bendshed.turns.metrics import PermitOutcome, TurnLogMetrics

PERMIT_MS = int(1000 * PERMIT_VALID_S)
"""Validity of a permit, in milliseconds from the request for it."""
REJECTION_TTL_S = 2.0
"""Time, in seconds, for which the rejection of a turn's preview also rejects its begin, which may
arrive later. Otherwise the program would count as started when its client retries."""

log = PartLog("cold")


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request that may need a permit.

    Attributes:
        program_id: id of its program, or the request's own id if it has none.
        is_new_program: no turn of the program has run yet; such requests are rejected first.
        chain: id of the turn's chain; empty: unknown.

    """

    request_id: str
    program_id: str
    is_new_program: bool
    chain: str = ""

    @property
    def retry_key(self) -> tuple[str, str]:
        """Identifies a rejected request when it is retried under a new request id."""
        return self.program_id, self.chain


@dataclass(frozen=True, slots=True)
class Placement:
    """Decision on where a request may run.

    Attributes:
        runner_id: the chosen runner; empty: no eligible runner is known here.
        permit_ms: if positive, the request may be dispatched there once, within this time from its
            request for the permit.
        retry_after_ms: if positive, the request is rejected and may retry after this time.

    """

    runner_id: str = ""
    permit_ms: int = 0
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class PermittedRunners:
    """Runners to which a request may be dispatched now.

    Attributes:
        runners: warm runners, and cold ones with permits left.
        cold: ids of those that need a permit.

    """

    runners: Sequence[ServiceRunner]
    cold: Collection[str] = ()


@dataclass(slots=True)
class ColdAdmission:
    """Grants permits for cold runners while this process leads a group.

    Rejected requests of running programs retry later; until then the permits that they will need
    are withheld from new programs.

    Attributes:
        tracker: tracks which runners are cold.
        rate_limit: bound on the request rate to a cold runner.
        num_leaders: number of turn log groups, whose leaders share the bound.
        permit_counts: recently granted permits.

    """

    tracker: ColdRunnerTracker
    rate_limit: ColdRateLimit
    metrics: TurnLogMetrics
    num_leaders: int = 1
    permit_counts: ColdPermitCounts = field(init=False)
    _rejected: "OrderedDict[str, tuple[float, int]]" = field(default_factory=OrderedDict)
    _retries: dict[bool, RetrySchedule] = field(init=False)

    def __post_init__(self) -> None:
        self.permit_counts = ColdPermitCounts(self.rate_limit, self.num_leaders)
        self._retries = {is_new: RetrySchedule() for is_new in (True, False)}

    def permitted_runners(
        self, runners: Sequence[ServiceRunner], request: PermitRequest, now_s: float
    ) -> PermittedRunners:
        """Leave out cold runners without a permit left; a repeated request is decided again."""
        self._rejected.pop(request.request_id, None)
        if not self.tracker.has_cold:
            return PermittedRunners(runners)
        cold = [runner for runner in runners if self.tracker.is_cold(runner.runner_id)]
        if not cold:
            return PermittedRunners(runners)
        ids_with_room = {
            runner.runner_id for runner in self._runners_with_room(cold, request, now_s)
        }
        full_ids = {runner.runner_id for runner in cold} - ids_with_room
        return PermittedRunners([r for r in runners if r.runner_id not in full_ids], ids_with_room)

    def permit_limited_runners(
        self, runners: Sequence[ServiceRunner], request: PermitRequest, now_s: float
    ) -> PermittedRunners:
        """Apply the bound to all runners: one that is warm here may be cold at the requesting
        node."""
        runners_with_room = self._runners_with_room(runners, request, now_s)
        return PermittedRunners(
            runners_with_room, {runner.runner_id for runner in runners_with_room}
        )

    def _runners_with_room(
        self, runners: Sequence[ServiceRunner], request: PermitRequest, now_s: float
    ) -> list[ServiceRunner]:
        reserved = self._reserved_for_others(request, now_s) / max(1, len(runners))
        return [runner for runner in runners if self._room(runner, request, now_s) > reserved]

    def _reserved_for_others(self, request: PermitRequest, now_s: float) -> int:
        """Return how many rejected requests of running programs are expected to retry."""
        if not request.is_new_program:
            return 0
        return self._retries[False].num_expected_others(request.retry_key, int(1000 * now_s))

    def _room(self, runner: ServiceRunner, request: PermitRequest, now_s: float) -> int:
        rate = self.tracker.rate_of(runner.runner_id)
        return self.permit_counts.num_available(
            runner.runner_id, rate, request.is_new_program, now_s
        )

    def least_loaded(
        self,
        runners: Sequence[ServiceRunner],
        request_id: str,
        zone: str,
        avoided: Collection[str],
        now_s: float,
    ) -> str:
        """Choose a runner for a request of unknown load: warm ones first, then fewest permits."""
        rank = rendezvous_rank(request_id, [runner.runner_id for runner in runners])

        def cost(runner: ServiceRunner) -> tuple[bool, bool, int, bool, int]:
            runner_id = runner.runner_id
            return (
                runner_id in avoided,
                self.tracker.is_cold(runner_id),
                self.permit_counts.num_granted(runner_id, now_s),
                runner.zone != zone,
                rank.index(runner_id),
            )

        return min(runners, key=cost).runner_id

    def grant(self, runner_id: str, request: PermitRequest, now_s: float) -> Placement:
        """Grant and count a permit for one dispatch."""
        self.permit_counts.grant(runner_id, now_s)
        self._rejected.pop(request.request_id, None)
        self._retries[request.is_new_program].forget(request.retry_key)
        self.metrics.cold_permits.labels(PermitOutcome.GRANTED.value).inc()
        log.say(
            "dispatch permitted",
            request=request.request_id,
            runner=runner_id,
            is_new_program=request.is_new_program,
            granted=self.permit_counts.num_granted(runner_id, now_s),
            most=self.permit_counts.max_permits(self.tracker.rate_of(runner_id), False, now_s),
            cold_for_ms=self.tracker.left_ms(runner_id),
        )
        return Placement(runner_id, PERMIT_MS)

    def reject(
        self, runners: Sequence[ServiceRunner], request: PermitRequest, now_s: float
    ) -> Placement:
        """Reject a request; its retry time allows for the requests rejected before it."""
        self.permit_counts.sweep(now_s)
        now_ms = int(1000 * now_s)
        retries = self._retries[request.is_new_program]
        num_before = retries.num_expected_others(request.retry_key, now_ms)
        retry_ms = self._retry_after_ms(runners, request, num_before, now_s)
        retries.note(request.retry_key, now_ms + retry_ms)
        self._note_rejected(request.request_id, retry_ms, now_s)
        self.metrics.cold_permits.labels(PermitOutcome.REFUSED.value).inc()
        log.say(
            "request rejected: its runners are cold and full",
            request=request.request_id,
            is_new_program=request.is_new_program,
            runners=len(runners),
            share=self.permit_counts.leadership.share(now_s),
            retry_after_ms=retry_ms,
        )
        return Placement(retry_after_ms=retry_ms)

    def _retry_after_ms(
        self,
        runners: Sequence[ServiceRunner],
        request: PermitRequest,
        num_before: int,
        now_s: float,
    ) -> int:
        rates = {runner.runner_id: self.tracker.rate_of(runner.runner_id) for runner in runners}
        is_new = request.is_new_program
        least_ms = min(
            self.permit_counts.wait_ms(r, rate, is_new, now_s) for r, rate in rates.items()
        )
        per_window = sum(
            self.permit_counts.max_permits(rate, is_new, now_s) for rate in rates.values()
        )
        return cold_retry_after_ms(least_ms, num_before, per_window, WINDOW_MS)

    def _note_rejected(self, request_id: str, retry_ms: int, now_s: float) -> None:
        self._rejected[request_id] = (now_s, retry_ms)
        self._rejected.move_to_end(request_id)
        while next(iter(self._rejected.values()))[0] < now_s - REJECTION_TTL_S:
            self._rejected.popitem(last=False)

    def forget_rejection(self, request_id: str) -> None:
        """Drop a rejection that no begin will follow."""
        self._rejected.pop(request_id, None)

    def rejection_retry_ms(self, request_id: str, now_s: float) -> int:
        """Return the retry time, in ms, of a turn rejected within ``REJECTION_TTL_S``; 0: it was
        not rejected."""
        if not self._rejected:
            return 0
        at_s, retry_ms = self._rejected.get(request_id, (float("-inf"), 0))
        return retry_ms if now_s - at_s <= REJECTION_TTL_S else 0
