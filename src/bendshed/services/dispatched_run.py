"""Follows one dispatch of a request: what becomes of it tells whether its runner may have ended."""

import asyncio
from dataclasses import dataclass

from bendshed.logs import PartLog
from bendshed.model.runner import RunnerProcess
from bendshed.ports.http_messages import BreakCause, ResponseBroken
from bendshed.ports.runner_connections import RunnerConnection
from bendshed.retries.fingerprint import describe
from bendshed.services.request_quarantine import RequestQuarantine

FIRST_ERROR_STATUS = 400
SILENCE_S = 1.0
"""A runner that has sent nothing for this long, in seconds, when a run is given up may have ended:
whether it did shows only by its entry, after its caller has returned."""
ERROR_WATCH_S = 1.0
"""A process that fails under a request ends within this time of its error answer, in seconds, if it
ends at once; later ends show by the list of runners."""

log = PartLog("quarantine")


@dataclass(slots=True)
class DispatchedRun:
    """One dispatch of a request to a runner, until its outcome is known.

    Attributes:
        fingerprint: empty: the request cannot be recognized, so nothing is counted.
        process: the process that got the request.
        end_ids: ends that this try of the request has seen, in this run and in others.

    """

    quarantine: RequestQuarantine
    fingerprint: bytes
    process: RunnerProcess
    request_id: str
    end_ids: list[int]
    _is_over: bool = False
    _has_ended_runner: bool = False
    _ahead_id: int | None = None
    _has_error_answer: bool = False
    _progress_s: float = 0.0

    def begin(self) -> None:
        """Count the run before it begins, if runners ended under the request before.

        Other nodes count it from then on, whether or not this node lives to see what becomes of it.
        """
        self.note_progress()
        if self.quarantine.has_ends(self.fingerprint):
            self._ahead_id = self.quarantine.record_ahead(
                self.fingerprint, self.process, self.request_id
            )
            self.end_ids.append(self._ahead_id)

    def note_progress(self) -> None:
        """The runner has sent something."""
        self._progress_s = asyncio.get_running_loop().time()

    def note_broken(self, error: ResponseBroken) -> None:
        """The response broke off, or never began.

        What a process sends in its last moments may be no response: that it misbehaves does not
        show that it lives.
        """
        if self._is_over:
            return
        if error.cause is BreakCause.NOT_SENT:
            self.note_not_run()
            return
        self._is_over = True
        self._count(str(error))

    async def wait_shared(self) -> None:
        """Wait, for a limited time, until other nodes know the end of the runner, if it ended.

        The caller of a try that fails returns to any of them at once.
        """
        if self._has_ended_runner:
            await self.quarantine.reporter.wait_reported()

    def note_over(self, is_complete: bool, status: int = 0) -> None:
        """The run is over: answered completely, or given up by the caller or this node.

        An error answer settles nothing: the process may end just behind it.
        """
        if self._is_over:
            return
        self._is_over = True
        if is_complete and status < FIRST_ERROR_STATUS:
            self._clear("the request was answered completely", self.end_ids)
            return
        self._has_error_answer = is_complete
        silent_s = asyncio.get_running_loop().time() - self._progress_s
        is_silent = not is_complete and silent_s >= SILENCE_S
        reason = f"answered with status {status}" if is_complete else "given up"
        if is_silent:
            reason = f"given up after {silent_s:.1f} s without a byte"
        if is_silent or self._ahead_id is not None:
            self._count(reason)
            return
        self.quarantine.note_abandoned(self.fingerprint, self.process, self.request_id)
        log.say(
            "failed run not counted",
            request=self.request_id,
            runner=self.process.runner_id,
            fingerprint=describe(self.fingerprint),
            reason=reason,
        )

    def watch_behind_error(self, connection: RunnerConnection) -> None:
        """Count the end of a process that closes its connection just behind an error answer."""
        if not self._has_error_answer or self._has_ended_runner:
            return
        if not connection.is_reusable:
            self._count("the connection ended with an error answer")
            return
        loop = asyncio.get_running_loop()
        until_s = loop.time() + ERROR_WATCH_S

        def count_end() -> None:
            if loop.time() < until_s:
                self._count("the connection ended behind an error answer")

        connection.watch_close(count_end)

    def note_not_run(self) -> None:
        """The runner proved that it did not run the request, or it was not sent."""
        self._is_over = True
        if self._ahead_id is not None:
            self._clear("the request was not run", [self._ahead_id])

    def _count(self, reason: str) -> None:
        self._has_ended_runner = bool(self.fingerprint)
        end_id = self.quarantine.note_end(
            self.fingerprint, self.process, self.request_id, reason, self._ahead_id
        )
        if end_id is not None:
            self.end_ids.append(end_id)

    def _clear(self, reason: str, end_ids: list[int]) -> None:
        self.quarantine.clear(self.fingerprint, end_ids, self.request_id, reason)
