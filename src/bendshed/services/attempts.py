"""Performs the attempts of one request until a runner responds or no attempt is left.

Contains the I/O only: ``retries/decisions.py`` decides whether to make another attempt, and
``RunnerPlacement`` chooses the runner. This module connects, dispatches, counts and logs.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from typing import assert_never

from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.model.runner import RunnerProcess
from bendshed.model.service_document import Route
from bendshed.placement.allowed_regions import describe_regions
from bendshed.placement.node_choice import Choice
from bendshed.placement.proven_version import UNPROVEN, DispatchedVersion
from bendshed.ports.http_messages import (
    ClientRequest,
    ConnectFailed,
    ResponseBroken,
    ResponseHead,
)
from bendshed.ports.runner import ResponseClass, RunnerDispatch, ServiceRequest
from bendshed.ports.runner_connections import (
    RunnerConnection,
    RunnerConnections,
    read_body,
)
from bendshed.retries.decisions import (
    GiveUp,
    GiveUpReason,
    RequestQuota,
    TryRunner,
    decide_next_attempt,
    refusal_of,
    refusal_of_quarantined,
    refusal_or_outcome_unknown,
)
from bendshed.retries.fingerprint import NO_FINGERPRINT, describe, fingerprint_of
from bendshed.retries.history import AttemptHistory
from bendshed.retries.quarantine import QuarantinedRequest
from bendshed.services.dispatched_run import DispatchedRun
from bendshed.services.metrics import AttemptResult
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.runner_ports import RunnerPorts
from bendshed.services.runner_reports import MAX_REPORTS, request_report
from bendshed.services.runners import RunnerRecord

__all__ = ["Attempts", "OpenResponse", "RunnerPorts"]

MAX_DRAIN_BYTES = 64 * 1024
MAX_DRAIN_S = 0.1
"""Bounds of what is read of a response whose headers prove that the request was not run, before it
goes to another runner; a longer rest costs the connection."""

log = PartLog("forward")


@dataclass(slots=True)
class OpenResponse:
    """A response whose headers have arrived.

    ``close`` must be called in every case; further calls have no effect.

    Attributes:
        sent_s: loop time at which the request was dispatched.
        run: reports the outcome of the dispatch to the quarantine.
        dispatched_version: what was known of the process's software version at the dispatch.

    """

    head: ResponseHead
    record: RunnerRecord
    connection: RunnerConnection
    pool: RunnerConnections
    sent_s: float
    run: DispatchedRun
    dispatched_version: DispatchedVersion = UNPROVEN
    _closed: bool = False

    def proven_version(self, are_births_listed: bool) -> str:
        """Version of the process that responds; empty: not proven by what is known now."""
        return self.dispatched_version.confirm(self.record.listed, are_births_listed)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise ``ResponseBroken`` if it breaks off."""
        try:
            async for chunk in self.connection.body():
                self.run.note_progress()
                yield chunk
        except ResponseBroken as error:
            self.run.note_broken(error)
            await self.run.wait_shared()
            raise

    def close(self, is_complete: bool) -> None:
        """Return the connection to the pool if the response was read completely, else close it."""
        if self._closed:
            return
        self._closed = True
        self.record.in_flight -= 1
        self.run.note_over(is_complete, self.head.status)
        if is_complete:
            self.record.note_success()
            self.connection.finish()
            self.run.watch_behind_error(self.connection)
        else:
            self.connection.abort()
        self.pool.release(self.record.listed.address, self.connection)


@dataclass(slots=True)
class Attempts:
    """The attempts of one request.

    Attributes:
        principal: on whose behalf the request runs.
        placement: finds the runner of each attempt.
        history: outcomes of the attempts so far.
        admit_second_run: charges the principal's quota for another run of a request that may have
            run; returns the refusal if the quota is used up. ``None``: no quota applies.
        answered_by: id of the runner whose response was accepted; empty: none yet.
        fingerprint: the same for all tries of the caller; empty: they cannot be recognized.

    """

    request: ServiceRequest
    route: Route
    principal: Principal
    placement: RunnerPlacement
    history: AttemptHistory
    admit_second_run: Callable[[], Awaitable[Refusal | None]] | None = None
    answered_by: str = ""
    fingerprint: bytes = field(init=False)
    _broken_run: DispatchedRun | None = None
    _end_ids: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.fingerprint = fingerprint_of(self.request, self.principal.name)

    @property
    def ports(self) -> RunnerPorts:
        """Dependencies of the attempts on the node."""
        return self.placement.ports

    @property
    def may_have_run(self) -> bool:
        """Whether any runner may have started to execute the request."""
        return self.history.may_have_run

    async def open(self, body: bytes) -> OpenResponse | Refusal:
        """Send the request until a runner responds; return the refusal if none does."""
        response = await self._open(body)
        if isinstance(response, Refusal) and self._broken_run is not None:
            await self._broken_run.wait_shared()
        return response

    async def _open(self, body: bytes) -> OpenResponse | Refusal:
        loop = asyncio.get_running_loop()
        while True:
            decision = decide_next_attempt(self.history, self.route, loop.time())
            match decision:
                case GiveUp():
                    return refusal_of(decision, self.history)
                case RequestQuota():
                    if not await self._admit_second_run():
                        no_quota = GiveUp(GiveUpReason.NO_QUOTA, "the quota holds no second run")
                        return refusal_of(no_quota, self.history)
                case TryRunner():
                    pass
                case _:
                    assert_never(decision)
            refusal = self.reject_if_quarantined()
            if refusal is not None:
                return refusal
            choice = await self.placement.find_runner(self.history)
            if isinstance(choice, GiveUp):
                return refusal_of(choice, self.history)
            if isinstance(choice, Refusal):
                return refusal_or_outcome_unknown(choice, self.history)
            response = await self._attempt_runner(choice, body)
            if response is not None:
                return response

    async def _admit_second_run(self) -> bool:
        """Charge a second run to the principal's quota; ``False`` if the quota is used up."""
        if self.admit_second_run is not None and await self.admit_second_run() is not None:
            return False
        self.history.record_admitted_run()
        return True

    def reject_if_quarantined(self) -> Refusal | None:
        """Return a refusal if too many runners ended under the tries of the request; log them."""
        quarantined = self._find_quarantine()
        if quarantined is None:
            return None
        log.say(
            "request is quarantined: runners ended under it",
            request=self.request.request_id,
            fingerprint=describe(self.fingerprint),
            ended=[
                {
                    "runner": end.process.runner_id,
                    "ago_s": round(end.age_s, 1),
                    "seen_by": end.reporter,
                }
                for end in quarantined.ends
            ],
            retry_after_s=round(quarantined.retry_after_s, 1),
        )
        return refusal_of_quarantined(quarantined, self.history)

    def _find_quarantine(self) -> QuarantinedRequest | None:
        if not self.ports.policy.request_quarantine:
            return None
        return self.ports.table.quarantine.find(self.fingerprint)

    def reject_if_no_eligible_runner(self) -> Refusal | None:
        """Return a refusal if zones, regions or the stream's version exclude every runner."""
        regions, service = self.placement.regions, self.placement.service
        if regions is not None and not regions:
            described = describe_regions(self.route, self.principal)
            return Refusal(ErrorKind.NO_RUNNER, f"no region is allowed: {described}")
        if self.ports.table.has_no_eligible_runner(service, regions):
            return Refusal(ErrorKind.NO_RUNNER, self.placement.describe_no_runner())
        if self.placement.has_no_runner_of_version():
            return Refusal(ErrorKind.VERSION_GONE, self.placement.describe_no_runner())
        return None

    def record_work_time(self, response: OpenResponse) -> None:
        """Update the measured pace of a runner that answered a plain request completely."""
        now_s = asyncio.get_running_loop().time()
        pace = self.ports.table.work_times.relative_time(self.route.name, now_s - response.sent_s)
        response.record.health.note_pace(pace, now_s)

    async def _attempt_runner(self, choice: Choice, body: bytes) -> OpenResponse | None:
        """Make one attempt at one runner; ``None``: no response, the history holds the outcome."""
        record = choice.record
        runner = record.listed
        self.history.record_choice(runner.runner_id)
        record.in_flight += 1
        response: OpenResponse | None = None
        try:
            response = await self._connect_and_dispatch(choice, body)
        finally:
            if response is None:
                record.in_flight -= 1
        if response is None:
            return None
        match self.ports.protocol.classify(response.head):
            case ResponseClass.ANSWERED:
                self.answered_by = runner.runner_id
                record.note_answer(response.connection.reported, response.sent_s)
                self._count_result(AttemptResult.ANSWERED)
                return response
            case ResponseClass.NOT_RUN:
                record.note_answer(response.connection.reported, response.sent_s)
                record.note_full(asyncio.get_running_loop().time())
                await self._drain_not_run_response(
                    response, "runner rejected the request without running it"
                )
            case ResponseClass.OTHER_RUNNER:
                record.note_unreachable(asyncio.get_running_loop().time())
                self.ports.table.quarantine.note_unreachable(runner)
                await self._drain_not_run_response(response, "another runner uses the address")
        return None

    async def _connect_and_dispatch(self, choice: Choice, body: bytes) -> OpenResponse | None:
        loop = asyncio.get_running_loop()
        record, runner = choice.record, choice.record.listed
        was_connected = self.ports.is_connected(record)
        try:
            connection = await self._connect(record)
        except ConnectFailed as error:
            self.history.record_unreachable(runner.runner_id)
            self._count_result(AttemptResult.UNREACHABLE)
            record.note_unreachable(loop.time())
            self.ports.table.quarantine.note_unreachable(runner)
            self._say("attempt failed: runner unreachable", choice, reason=str(error))
            return None
        run = self._begin_run(record, connection)
        version = self.placement.proven_version(record, connection.reported)
        if self._withdraws(choice, connection, version):
            return None
        left_ms = max(1, int((self.history.deadline_s - loop.time()) * 1000))
        message = self.ports.protocol.build_request(
            self.request, body, self._runner_dispatch(choice, left_ms)
        )
        run.begin()
        self.history.record_dispatch()
        self._log_dispatch(choice, was_connected, left_ms, version)
        dispatched_version = DispatchedVersion(version, connection.reported)
        return await self._dispatch(choice, connection, message, run, dispatched_version)

    def _withdraws(self, choice: Choice, connection: RunnerConnection, version: str) -> bool:
        """Withdraw a dispatch whose preconditions do not hold; ``False``: the request is sent."""
        now_s = asyncio.get_running_loop().time()
        if not self.placement.may_dispatch_to(choice.record, choice.permit, now_s):
            self._withdraw_dispatch(choice, connection)
            return True
        if self._find_quarantine() is not None:
            connection.finish()
            self.ports.pool.release(choice.record.listed.address, connection)
            self._say(
                "dispatch withdrawn: request quarantined",
                choice,
                reason="runners ended under it while connecting",
            )
            return True
        return not version and self._withdraw_unproven(choice, connection)

    async def _connect(self, record: RunnerRecord) -> RunnerConnection:
        """Connect to a runner, where its version matters to a process that has reported.

        Raise ``ConnectFailed``.
        """
        address = record.listed.address
        for num_lost in count():
            connection = await self.ports.pool.acquire(address)
            may_report = self.placement.proves_version and num_lost < MAX_REPORTS
            if not may_report or await self._has_reported(record, connection):
                return connection
            self.ports.pool.release(address, connection)
        raise AssertionError("unreachable")

    async def _has_reported(self, record: RunnerRecord, connection: RunnerConnection) -> bool:
        """Whether a connection can be used after the process behind it was asked to report."""
        left_s = self.history.deadline_s - asyncio.get_running_loop().time()
        return await request_report(connection, record, self.ports, left_s)

    async def _dispatch(
        self,
        choice: Choice,
        connection: RunnerConnection,
        message: ClientRequest,
        run: DispatchedRun,
        version: DispatchedVersion,
    ) -> OpenResponse | None:
        loop = asyncio.get_running_loop()
        record = choice.record
        sent_s = loop.time()
        try:
            head = await connection.send(message)
        except ResponseBroken as error:
            connection.abort()
            self.history.record_no_answer(record.listed.runner_id)
            self._count_result(AttemptResult.NO_ANSWER)
            record.note_broken(loop.time())
            self._say("attempt failed: no answer", choice, reason=str(error))
            run.note_broken(error)
            self._broken_run = run
            return None
        except BaseException:
            # Includes cancellation: the response may still arrive, so do not reuse the connection.
            connection.abort()
            run.note_over(is_complete=False)
            raise
        run.note_progress()
        return OpenResponse(head, record, connection, self.ports.pool, sent_s, run, version)

    def _begin_run(self, record: RunnerRecord, connection: RunnerConnection) -> DispatchedRun:
        """Follow a dispatch to the process behind a connection."""
        born_ms = connection.reported.born_ms or record.listed.born_ms or 0
        process = RunnerProcess(record.listed.runner_id, born_ms)
        is_counted = self.ports.policy.request_quarantine
        fingerprint = self.fingerprint if is_counted else NO_FINGERPRINT
        quarantine = self.ports.table.quarantine
        return DispatchedRun(
            quarantine, fingerprint, process, self.request.request_id, self._end_ids
        )

    def _runner_dispatch(self, choice: Choice, left_ms: int) -> RunnerDispatch:
        principal = self.principal
        return RunnerDispatch(
            self.route,
            choice.record.listed,
            principal.name,
            principal.is_authentication_disabled,
            principal.urgency,
            left_ms,
        )

    def _withdraw_dispatch(self, choice: Choice, connection: RunnerConnection) -> None:
        """Withdraw a dispatch whose preconditions no longer hold after connecting.

        Either the runner has left in the meantime, or its zone was closed, or its entry names
        another software version than that of a resumed stream, or the permit for a cold runner
        expired while connecting, or the runner has just turned cold.
        """
        runner = choice.record.listed
        now_s = asyncio.get_running_loop().time()
        is_leaving = self.ports.table.is_leaving(choice.record, now_s)
        if is_leaving or not self.placement.is_allowed(choice.record):
            connection.finish()
            self.ports.pool.release(runner.address, connection)
            if is_leaving:
                self._say(
                    "dispatch withdrawn: runner leaves",
                    choice,
                    reason="the runner left, or said that it leaves, while connecting",
                )
            elif self.placement.is_of_version(choice.record):
                self._say(
                    "dispatch withdrawn: zone closed",
                    choice,
                    reason="the zone was closed while connecting",
                )
            else:
                self._say(
                    "dispatch withdrawn: software version changed",
                    choice,
                    reason="the list named another version while connecting",
                )
            return
        self.history.record_expired_permit(runner.runner_id)
        connection.abort()
        self.ports.pool.release(runner.address, connection)
        self._say(
            "dispatch withdrawn: no valid permit",
            choice,
            reason="the runner is cold and the permit expired or is missing",
        )

    def _withdraw_unproven(self, choice: Choice, connection: RunnerConnection) -> bool:
        """Withdraw a dispatch to a process of an unproven version; ``False``: it is sent there.

        A resumed stream is never sent there, a new one only if no other runner can take it.
        """
        placement, now_s = self.placement, asyncio.get_running_loop().time()
        if placement.software_version:
            self.history.record_unproven_version()
        elif not placement.leaves_for_proven_version(choice.record, self.history.tried, now_s):
            return False
        connection.finish()
        self.ports.pool.release(choice.record.listed.address, connection)
        self._say(
            "dispatch withdrawn: software version not proven",
            choice,
            reason="the runner may have started again since its entry was written",
        )
        return True

    async def _drain_not_run_response(self, response: OpenResponse, reason: str) -> None:
        """Read the rest of a response which proves that the request was not run."""
        response.run.note_not_run()
        self.history.record_not_run()
        self._count_result(AttemptResult.NOT_RUN)
        log.say(
            "attempt failed: runner did not run it",
            request=self.request.request_id,
            runner=response.record.listed.runner_id,
            reason=reason,
            status=response.head.status,
        )
        is_complete = False
        try:
            async with asyncio.timeout(MAX_DRAIN_S):
                await read_body(response.connection, MAX_DRAIN_BYTES)
            is_complete = True
        except (ResponseBroken, TimeoutError):
            pass  # the headers are proof enough; ``close`` aborts the connection
        finally:
            response.close(is_complete)

    def _count_result(self, result: AttemptResult) -> None:
        self.ports.metrics.attempts.labels(result.value).inc()

    def _log_dispatch(
        self, choice: Choice, was_connected: bool, left_ms: int, proven_version: str
    ) -> None:
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
            software_version=choice.record.listed.software_version,
            is_version_proven=bool(proven_version),
            fingerprint=describe(self.fingerprint),
            **self._describe_resumption(),
        )

    def _describe_resumption(self) -> dict[str, str]:
        """Log fields of a request that resumes a stream; none for any other request."""
        if not self.request.last_event_id:
            return {}
        return {
            "resumes": self.request.resumes,
            "last_event_id": self.request.last_event_id,
        }

    def _say(self, message: str, choice: Choice, reason: str) -> None:
        log.say(
            message,
            request=self.request.request_id,
            runner=choice.record.listed.runner_id,
            chosen_by=choice.reason,
            reason=reason,
            fingerprint=describe(self.fingerprint),
        )
