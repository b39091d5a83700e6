"""The turn log's side of one turn: its reservation, its count of tokens, and its end.

A facade for ``StreamExchange``: ``TurnReservation`` begins the turn, ``TurnOutput`` counts what is
handed on, ``TurnCodec`` writes the commands; this commits the end.
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

    Invariant: tokens are counted before they are handed on; a begun turn is finished exactly once.

    Attributes:
        attempts: dispatches to runners, which follow the placement of the preview.
        engine: features of the service; ``None``: not a model engine.
        deadline_s: loop time after which the turn is not begun any more.

    """

    ports: TurnPorts
    request: ServiceRequest
    route: Route
    attempts: Attempts
    engine: EngineFeatures | None
    deadline_s: float
    _codec: TurnCodec = field(init=False)
    _output: TurnOutput = field(init=False)
    _reservation: TurnReservation = field(init=False)
    _is_finished: bool = False

    def __post_init__(self) -> None:
        self._codec = TurnCodec(self.request, self.route, self._tenant)
        self._output = TurnOutput(self.engine, self.route.keeps_turns)
        self._reservation = TurnReservation(self.ports, self._codec, self.attempts, self.deadline_s)

    @property
    def _tenant(self) -> str:
        return self.attempts.principal.name

    @property
    def body(self) -> bytes:
        """What a runner gets: the chain's transcript, then the new input."""
        return self._reservation.transcript + self.request.body

    async def begin(self) -> Refusal | None:
        """Find the chain and reserve the tokens; return why the turn may not run."""
        return await self._reservation.begin()

    async def confirm(self) -> Refusal | None:
        """Wait until the reservation is committed; return why it is not."""
        return await self._reservation.confirm()

    def count(self, event: StreamEvent) -> None:
        """Count an event before it is handed on."""
        self._output.count(event)

    async def finish_whole(self) -> bool:
        """Commit the turn's end; ``False``: not known to be committed in time."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        command = self._finish_command(is_whole=True)
        note_reported = self.ports.report_calls(self.attempts.principal, command)
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
        note_reported()
        self.ports.quotas.take_allowance(self.attempts.principal, reply.spend_ceiling)
        if self.route.keeps_turns:
            self._cache_transcript()
        took_s = loop.time() - began_s
        self.ports.metrics.turn_end_s.observe(took_s)
        log.say(
            "turn ended",
            request=self.request.request_id,
            tokens=self._output.num_tokens,
            took_ms=round(took_s * 1000, 1),
        )
        return True

    def finish_broken(self) -> None:
        """Charge a turn that did not end well; no caller waits for that."""
        if not self._reservation.needs_end or self._is_finished:
            return
        self._is_finished = True
        self.ports.ends.add(self._finish_command(is_whole=False))

    def _finish_command(self, is_whole: bool) -> wire.TurnCommand:
        attempts = self.attempts
        end = TurnEnd(
            is_whole, attempts.answered_by, attempts.history.failed, attempts.may_have_run
        )
        return self._codec.finish(self._reservation.group, self._output, end)

    def _cache_transcript(self) -> None:
        """Turns that continue this one through the same node find its chain here."""
        turn = (self._tenant, self.request.request_id)
        self.ports.group_locator.record_turn(*turn, self._reservation.group)
        self.ports.transcripts.put(turn, self.body + self._output.content)
