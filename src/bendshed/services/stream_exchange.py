"""Relays one stream event by event and updates the record of its turn.

The turn log commits the reservation before any output is sent to the caller, and the turn's end
before the end of its stream is sent.
"""

import asyncio
from dataclasses import dataclass

from bendshed.errors import Refusal
from bendshed.logs import PartLog
from bendshed.model.runner import RunnerProcess
from bendshed.ports.http_messages import BreakCause, ResponseBroken
from bendshed.ports.runner import Caller, ServiceRequest
from bendshed.retries.decisions import GiveUp, GiveUpReason, refusal_of
from bendshed.retries.fingerprint import describe
from bendshed.services.attempts import Attempts, OpenResponse
from bendshed.services.events import EventSplitter, EventTooLarge, StreamEvent
from bendshed.services.metrics import ServedOutcome
from bendshed.services.stream_origins import AnsweringProcess, OriginRecorder
from bendshed.services.turn_record import TurnRecord

HTTP_OK = 200

log = PartLog("stream")


class StreamBroken(Exception):
    """The stream cannot be completed."""


class MalformedStream(StreamBroken):
    """The runner's stream is out of order, ends within an event, or has no end in sight.

    Without a framing, the end of the runner's process looks like the end of the body.
    """


@dataclass(slots=True)
class StreamExchange:
    """One stream.

    Attributes:
        record: the recorded turn whose output is streamed; ``None``: the stream is not recorded.
        origin: records which runners may continue a stream that is no turn; ``None``: it may not be
            resumed.
        num_events: events sent to the caller.

    """

    request: ServiceRequest
    attempts: Attempts
    caller: Caller
    record: TurnRecord | None
    origin: OriginRecorder | None = None
    num_events: int = 0

    async def run(self) -> Refusal | ServedOutcome:
        """Serve the request; a returned refusal has not been sent to the caller yet."""
        if self.record is None:
            return await self._run_attempts(self.request.body)
        try:
            refusal = await self.record.begin()
            if refusal is not None:
                return refusal
            return await self._run_attempts(self.record.body)
        finally:
            # Also after a refusal or a disconnect of the caller: the begin may be committed later,
            # and only the turn's end releases the reservation from the program's budget.
            self.record.finish_incomplete()

    async def _run_attempts(self, body: bytes) -> Refusal | ServedOutcome:
        response = await self.attempts.open(body)
        if isinstance(response, Refusal):
            return response
        is_complete = False
        try:
            if (
                self.record is not None
                and (reservation_refusal := await self.record.confirm()) is not None
            ):
                detail = f"the turn ran, but its reservation failed: {reservation_refusal.detail}"
                failed = GiveUp(GiveUpReason.RESERVATION_FAILED, detail)
                return refusal_of(failed, self.attempts.history)
            if response.head.status == HTTP_OK and not await self._confirm_origin(response):
                detail = "the version that answered may not be the one that began the stream"
                failed = GiveUp(GiveUpReason.ORIGIN_UNCONFIRMED, detail)
                return refusal_of(failed, self.attempts.history)
            is_complete = await self._relay(response)
        except (ResponseBroken, StreamBroken) as error:
            if isinstance(error, MalformedStream):
                response.run.note_broken(ResponseBroken(str(error), BreakCause.MALFORMED))
                await response.run.wait_shared()
            log.say(
                "stream broken off: not whole",
                request=self.request.request_id,
                runner=response.record.listed.runner_id,
                events=self.num_events,
                reason=str(error),
                fingerprint=describe(self.attempts.fingerprint),
            )
            self.caller.abort()
        finally:
            response.close(is_complete)
        return ServedOutcome.ANSWERED if is_complete else ServedOutcome.BROKEN_OFF

    async def _confirm_origin(self, response: OpenResponse) -> bool:
        """Whether events may be sent: a later attempt finds the version that wrote them."""
        answering = self._answering_process(response)
        if self.record is not None:
            return await self.record.confirm_origin(answering)
        return self.origin is None or await self.origin.confirm_of_call(answering)

    def _answering_process(self, response: OpenResponse) -> AnsweringProcess:
        version = response.proven_version(self.attempts.ports.table.are_births_listed)
        born_ms = response.dispatched_version.reported.born_ms
        if not born_ms:
            return AnsweringProcess(version)
        return AnsweringProcess(version, RunnerProcess(response.record.listed.runner_id, born_ms))

    async def _relay(self, response: OpenResponse) -> bool:
        """Relay the stream event by event; raise if it is incomplete."""
        loop = asyncio.get_running_loop()
        is_stream = response.head.status == HTTP_OK
        splitter = EventSplitter()
        last_id: int | None = None
        first_ms: int | None = None
        await self.caller.begin(response.head)
        async for chunk in response.body():
            if not is_stream:
                await self.caller.send(chunk)
                continue
            try:
                events = splitter.feed(chunk)
            except EventTooLarge as error:
                raise MalformedStream(str(error)) from error
            if not events:
                continue
            if first_ms is None:
                first_s = loop.time() - self.request.arrived_s
                first_ms = int(first_s * 1000)
                self.attempts.ports.metrics.first_event_s.observe(first_s)
            for event in events:
                last_id = self._check_order(event, last_id)
                self._count(event)
            await self.caller.send(b"".join(event.raw for event in events))
        if splitter.has_partial_event:
            raise MalformedStream("the stream ended in the middle of an event")
        if is_stream and self.record is not None and not await self.record.finish_complete():
            raise StreamBroken("the turn's end could not be committed")
        await self.caller.end()
        log.say(
            "stream answered",
            request=self.request.request_id,
            runner=response.record.listed.runner_id,
            status=response.head.status,
            events=self.num_events,
            first_ms=first_ms,
            total_ms=int((loop.time() - self.request.arrived_s) * 1000),
        )
        return True

    @staticmethod
    def _check_order(event: StreamEvent, last_id: int | None) -> int | None:
        if event.event_id is None:
            return last_id
        if last_id is not None and event.event_id <= last_id:
            raise MalformedStream(f"event {event.event_id} came after {last_id}")
        return event.event_id

    def _count(self, event: StreamEvent) -> None:
        """Count an event before it is sent."""
        if event.data is None:
            return
        self.num_events += 1
        if self.record is not None and not self.record.count(event):
            raise MalformedStream("the output of the turn is larger than a turn can be")
