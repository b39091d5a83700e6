"""Performs the attempts of one request at runners, until one answers or the request is given up.

A shell: ``retries/decisions.py`` decides whether there is another attempt, ``RunnerPlacement``
where; this connects, dispatches, counts what happened and logs it.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import assert_never

from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.model.service_document import Route
from bendshed.placement.allowed_regions import describe_regions
from bendshed.placement.node_choice import Choice
from bendshed.ports.http_messages import (
    ClientRequest,
    ConnectFailed,
    ResponseBroken,
    ResponseHead,
)
from bendshed.ports.runner import RunnerDispatch, ServiceRequest, Verdict
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections
from bendshed.retries.decisions import (
    GiveUp,
    GiveUpReason,
    RequestQuota,
    TryRunner,
    decide_next_attempt,
    refusal_of,
    refusal_or_outcome_unknown,
)
from bendshed.retries.history import AttemptHistory
from bendshed.services.metrics import AttemptEnd
from bendshed.services.runner_placement import RunnerPlacement, RunnerPorts
from bendshed.services.runners import RunnerRecord

__all__ = ["Attempts", "OpenAnswer", "RunnerPorts"]

log = PartLog("forward")


@dataclass(slots=True)
class OpenAnswer:
    """An answer whose head has come.

    ``close`` must be called once, whatever happens.

    Attributes:
        sent_s: loop time at which the request was dispatched.

    """

    head: ResponseHead
    record: RunnerRecord
    connection: RunnerConnection
    pool: RunnerConnections
    sent_s: float
    _closed: bool = False

    async def body(self) -> AsyncIterator[bytes]:
        """Chunks; raise ``ResponseBroken``."""
        async for chunk in self.connection.body():
            yield chunk

    def close(self, whole: bool) -> None:
        """Return the connection to the pool if the answer was read whole, or end it."""
        if self._closed:
            return
        self._closed = True
        self.record.in_flight -= 1
        if whole:
            self.record.note_success()
            self.connection.finish()
        else:
            self.connection.abort()
        self.pool.release(self.record.listed.address, self.connection)


@dataclass(slots=True)
class Attempts:
    """The attempts of one request.

    Attributes:
        principal: on whose behalf the request runs.
        placement: finds the runner of each attempt.
        history: what the attempts came to so far.
        admit_again: charges the principal's quota for another run of a request that may have run;
            returns why it does not hold one. ``None``: no quota is counted.
        answered_by: id of the runner whose answer was taken; empty: none yet.

    """

    request: ServiceRequest
    route: Route
    principal: Principal
    placement: RunnerPlacement
    history: AttemptHistory
    admit_again: Callable[[], Awaitable[Refusal | None]] | None = None
    answered_by: str = ""

    @property
    def ports(self) -> RunnerPorts:
        """What attempts need of a node."""
        return self.placement.ports

    @property
    def may_have_run(self) -> bool:
        """Whether any runner may have begun work on the request."""
        return self.history.may_have_run

    async def open(self, body: bytes) -> OpenAnswer | Refusal:
        """Send the request with this body until a runner answers; return why none does."""
        loop = asyncio.get_running_loop()
        while True:
            decision = decide_next_attempt(self.history, self.route, loop.time())
            match decision:
                case GiveUp():
                    return refusal_of(decision, self.history)
                case RequestQuota():
                    if not await self._is_admitted_again():
                        no_quota = GiveUp(GiveUpReason.NO_QUOTA, "the quota holds no second run")
                        return refusal_of(no_quota, self.history)
                case TryRunner():
                    pass
                case _:
                    assert_never(decision)
            choice = await self.placement.find(self.history)
            if isinstance(choice, GiveUp):
                return refusal_of(choice, self.history)
            if isinstance(choice, Refusal):
                return refusal_or_outcome_unknown(choice, self.history)
            answer = await self._try(choice, body)
            if answer is not None:
                return answer

    async def _is_admitted_again(self) -> bool:
        """Every run is charged to the principal's quota, the second one of a request too."""
        if self.admit_again is not None and await self.admit_again() is not None:
            return False
        self.history.record_admitted_run()
        return True

    def reject_if_no_eligible_runner(self) -> Refusal | None:
        """Reject at once what no runner may get in the present closed zones and allowed regions."""
        regions, service = self.placement.regions, self.placement.service
        if regions is not None and not regions:
            described = describe_regions(self.route, self.principal)
            return Refusal(ErrorKind.NO_RUNNER, f"no region is allowed: {described}")
        if self.ports.table.has_no_eligible_runner(service, regions):
            return Refusal(ErrorKind.NO_RUNNER, self.placement.describe_no_runner())
        return None

    def note_work_time(self, answer: OpenAnswer) -> None:
        """A plain request was answered whole: update the measured pace of its runner."""
        now_s = asyncio.get_running_loop().time()
        pace = self.ports.table.work_times.relative_time(self.route.name, now_s - answer.sent_s)
        answer.record.health.note_pace(pace, now_s)

    async def _try(self, choice: Choice, body: bytes) -> OpenAnswer | None:
        """Try one runner once; ``None``: no answer, the history says what may have happened."""
        record = choice.record
        runner = record.listed
        self.history.record_choice(runner.runner_id)
        record.in_flight += 1
        answer: OpenAnswer | None = None
        try:
            answer = await self._connect_and_dispatch(choice, body)
        finally:
            if answer is None:
                record.in_flight -= 1
        if answer is None:
            return None
        match self.ports.protocol.verdict(answer.head):
            case Verdict.ANSWERED:
                self.answered_by = runner.runner_id
                self._count(AttemptEnd.ANSWERED)
                return answer
            case Verdict.NOT_RUN:
                record.note_full(asyncio.get_running_loop().time())
                await self._drop_not_run(answer, "turned it away unrun")
            case Verdict.OTHER_RUNNER:
                record.note_unreachable(asyncio.get_running_loop().time())
                await self._drop_not_run(answer, "another runner has the address")
        return None

    async def _connect_and_dispatch(self, choice: Choice, body: bytes) -> OpenAnswer | None:
        loop = asyncio.get_running_loop()
        record, runner = choice.record, choice.record.listed
        was_connected = self.ports.is_connected(record)
        try:
            connection = await self.ports.pool.acquire(runner.address)
        except ConnectFailed as error:
            self.history.record_unreachable(runner.runner_id)
            self._count(AttemptEnd.UNREACHABLE)
            record.note_unreachable(loop.time())
            self._say("attempt failed: runner unreachable", choice, reason=str(error))
            return None
        if not self.placement.may_get(record, choice.permit, loop.time()):
            self._withdraw(choice, connection)
            return None
        left_ms = max(1, int((self.history.deadline_s - loop.time()) * 1000))
        message = self.ports.protocol.request(
            self.request, body, self._runner_dispatch(choice, left_ms)
        )
        self.history.record_dispatch()
        self._log_dispatch(choice, was_connected, left_ms)
        return await self._dispatch(choice, connection, message)

    async def _dispatch(
        self, choice: Choice, connection: RunnerConnection, message: ClientRequest
    ) -> OpenAnswer | None:
        loop = asyncio.get_running_loop()
        record = choice.record
        sent_s = loop.time()
        try:
            head = await connection.send(message)
        except ResponseBroken as error:
            connection.abort()
            self.history.record_no_answer(record.listed.runner_id)
            self._count(AttemptEnd.NO_ANSWER)
            record.note_broken(loop.time())
            self._say("attempt failed: no answer", choice, reason=str(error))
            return None
        except BaseException:
            # Also a cancelled request: its answer may still come, so the connection is not reused.
            connection.abort()
            raise
        return OpenAnswer(head, record, connection, self.ports.pool, sent_s)

    def _runner_dispatch(self, choice: Choice, left_ms: int) -> RunnerDispatch:
        principal = self.principal
        return RunnerDispatch(
            self.route,
            choice.record.listed,
            principal.name,
            principal.is_unasked,
            principal.urgency,
            left_ms,
        )

    def _withdraw(self, choice: Choice, connection: RunnerConnection) -> None:
        """Do not dispatch: what held at the choice does not hold once the connection is there.

        The runner's zone was closed meanwhile, connecting took longer than the permit for a cold
        runner is valid, or the runner has just turned cold.
        """
        runner = choice.record.listed
        if not self.ports.table.filter.allows(runner, self.placement.regions):
            connection.finish()
            self.ports.pool.release(runner.address, connection)
            self._say(
                "dispatch withdrawn: zone closed", choice, reason="its zone was closed meanwhile"
            )
            return
        self.history.record_expired_permit(runner.runner_id)
        connection.abort()
        self.ports.pool.release(runner.address, connection)
        self._say(
            "dispatch withdrawn: no valid permit",
            choice,
            reason="there is no leave for a cold runner any more",
        )

    async def _drop_not_run(self, answer: OpenAnswer, reason: str) -> None:
        """Read the rest of an answer that proves that the request was not run."""
        self.history.record_not_run()
        self._count(AttemptEnd.NOT_RUN)
        log.say(
            "attempt failed: runner did not run it",
            request=self.request.request_id,
            runner=answer.record.listed.runner_id,
            reason=reason,
            status=answer.head.status,
        )
        whole = False
        try:
            async for _chunk in answer.body():
                pass
            whole = True
        except ResponseBroken:
            pass  # the head proves it already; only the connection is lost, and ``close`` ends it
        finally:
            answer.close(whole)

    def _count(self, end: AttemptEnd) -> None:
        self.ports.metrics.attempts.labels(end.value).inc()

    def _log_dispatch(self, choice: Choice, was_connected: bool, left_ms: int) -> None:
        runner_id = choice.record.listed.runner_id
        log.say(
            "request dispatched",
            request=self.request.request_id,
            runner=runner_id,
            tenant=self.principal.name,
            chosen_by=choice.reason,
            in_flight_there=choice.record.in_flight,
            was_connected=was_connected,
            left_ms=left_ms,
            attempt=self.history.num_possible_runs,
            is_cold=self.ports.table.cold.is_cold(runner_id),
        )

    def _say(self, sentence: str, choice: Choice, reason: str) -> None:
        log.say(
            sentence,
            request=self.request.request_id,
            runner=choice.record.listed.runner_id,
            chosen_by=choice.reason,
            reason=reason,
        )
