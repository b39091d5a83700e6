"""Records one turn in the turn log: its reservation, its token count and its end.

A facade for ``StreamExchange``: ``TurnReservation`` begins the turn, ``TurnOutput`` counts the
output, and ``TurnCodec`` encodes the commands. This module commits the end.
"""

import asyncio
from dataclasses import dataclass, field

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import Refusal
from bendshed.logs import PartLog
from bendshed.model.service_document import EngineFeatures, Route
from bendshed.ports.runner import ServiceRequest
from bendshed.services.attempts import Attempts
from bendshed.services.events import StreamEvent
from bendshed.services.stream_origins import AnsweringProcess, OriginRecorder
from bendshed.services.turn_codec import TurnCodec, TurnEnd
from bendshed.services.turn_output import TurnOutput
from bendshed.services.turn_ports import FINISH_TIMEOUT_S, TurnPorts
from bendshed.services.turn_reservation import TurnReservation
from bendshed.wire import turns_pb2 as wire

__all__ = ["TurnPorts", "TurnRecord"]

log = PartLog("turns")


@dataclass(slots=True)
class TurnRecord:
    """One turn in the turn log.

    Invariant: tokens are counted before they are sent; a begun turn is finished exactly once.

    Attributes:
        attempts: dispatches to runners, which follow the placement of the preview.
        engine: features of the service; ``None``: not a model engine.
        deadline_s: loop time after which the turn is no longer begun.
        origin: records which runners may continue the stream; ``None``: it may not be resumed.

    """

    ports: TurnPorts
    request: ServiceRequest
    route: Route
    attempts: Attempts
    engine: EngineFeatures | None
    deadline_s: float
    origin: OriginRecorder | None = None
    _codec: TurnCodec = field(init=False)
    _output: TurnOutput = field(init=False)
    _reservation: TurnReservation = field(init=False)
    _is_finished: bool = False

    def __post_init__(self) -> None:
        self._codec = TurnCodec(self.request, self.route, self._tenant)
        self._output = TurnOutput(self.engine, self.route.keeps_turns)
        expected = self.origin.expected if self.origin is not None else None
        self._reservation = TurnReservation(
            self.ports, self._codec, self.attempts, self.deadline_s, expected
        )

    @property
    def _tenant(self) -> str:
        return self.attempts.principal.name

    @property
    def body(self) -> bytes:
        """Request body for the runner: the chain's transcript, then the new input."""
        return self._reservation.transcript + self.request.body

    async def begin(self) -> Refusal | None:
        """Load the chain and reserve the tokens; return the refusal if the turn may not run."""
        return await self._reservation.begin()

    async def confirm(self) -> Refusal | None:
        """Wait until the reservation is committed; return the refusal if it is not."""
        return await self._reservation.confirm()

    async def confirm_origin(self, answering: AnsweringProcess) -> bool:
        """Confirm the version that answered, after ``confirm``; ``False``: send no event."""
        begun = self._reservation.begun
        if self.origin is None or begun is None:
            return True
        return await self.origin.confirm_of_turn(begun, self._reservation.group, answering)

    def count(self, event: StreamEvent) -> bool:
        """Count an event before it is sent; ``False``: it must not be sent."""
        return self._output.count(event)

    async def finish_complete(self) -> bool:
        """Commit the end of a complete turn; ``False``: not known to be committed in time."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        command = self._finish_command(is_complete=True)
        mark_reported = self.ports.add_call_report(self.attempts.principal, command)
        try:
            reply = await self.ports.client.command(command, FINISH_TIMEOUT_S)
        except GroupUnavailable as error:
            log.say(
                "turn end not committed: no leader answered",
                request=self.request.request_id,
                reason=str(error),
            )
            return False
        self._is_finished = True
        mark_reported()
        self.ports.quotas.store_allowance(self.attempts.principal, reply.spend_ceiling)
        if self.route.keeps_turns:
            self._cache_transcript()
        took_s = loop.time() - started_s
        self.ports.metrics.turn_end_s.observe(took_s)
        log.say(
            "turn ended",
            request=self.request.request_id,
            tokens=self._output.num_tokens,
            took_ms=round(took_s * 1000, 1),
        )
        return True

    def finish_incomplete(self) -> None:
        """Charge a turn that did not complete, in the background; no effect on a finished turn."""
        if not self._reservation.needs_finish or self._is_finished:
            return
        self._is_finished = True
        self.ports.ends.add(self._finish_command(is_complete=False))

    def _finish_command(self, is_complete: bool) -> wire.TurnCommand:
        attempts = self.attempts
        end = TurnEnd(
            is_complete, attempts.answered_by, attempts.history.failed, attempts.may_have_run
        )
        return self._codec.encode_finish(self._reservation.group, self._output, end)

    def _cache_transcript(self) -> None:
        """Cache the chain for turns that continue this one through the same node."""
        turn = (self._tenant, self.request.request_id)
        self.ports.group_locator.record_turn(*turn, self._reservation.group)
        self.ports.transcripts.put(turn, self.body + self._output.content)
