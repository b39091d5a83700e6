"""The leader's advice on where turns run: the load board between its messages and the catalog."""

import random

from bendshed.catalog.state import Catalog
from bendshed.logs import PartLog
from bendshed.placement.board import Demand, Ended, LoadBoard
from bendshed.placement.distance import DistanceCosts
from bendshed.placement.prompt_cache import PromptPart
from bendshed.wire import turns_pb2 as wire

log = PartLog("placement")


class TurnAdvice:
    """Advises nodes, and learns from what they report."""

    def __init__(
        self, catalog: Catalog, rng: random.Random, distance: DistanceCosts | None = None
    ) -> None:
        self.board = LoadBoard(rng, distance)
        self._catalog = catalog
        self._listed_at = 0

    def advise(self, preview: wire.TurnPreview, ran_at: str, now_s: float) -> str:
        """Id of the runner where a turn had best run; empty: none is known here.

        Args:
            preview: the turn.
            ran_at: where the program's latest turn ran; empty: nowhere.
            now_s: steady time.

        """
        self._follow_list()
        demand = _read_demand(preview, ran_at)
        service = preview.demand.service
        advice = self.board.advise(
            demand, self._catalog.ready_runners(service), self._memory_tokens(service), now_s
        )
        if advice is None:
            return ""
        log.say(
            "advises a runner",
            request=demand.turn_id,
            runner=advice.runner_id,
            cost_ms=round(advice.cost_ms, 1),
            distance=advice.distance.value,
            running_there=advice.num_running,
            running=self.board.num_running,
            cached_tokens=advice.cached_tokens,
            prompt_tokens=demand.prompt_tokens,
            is_connected=advice.runner_id in demand.connected,
            runners_at=self._catalog.runners_at,
        )
        return advice.runner_id

    def take_report(self, turn_id: str, report: wire.TurnReport, now_s: float) -> None:
        """A turn has ended."""
        ended = Ended(turn_id, report.runner_id, report.event_gap_us / 1000, report.failed)
        self.board.end(ended, now_s)

    def take_refusal(self, turn_id: str, now_s: float) -> None:
        """A turn that was advised may not run after all."""
        self.board.end(Ended(turn_id), now_s)

    def _memory_tokens(self, service: str) -> int:
        document = self._catalog.document
        known = document.services.get(service) if document is not None else None
        return known.engine.memory_tokens if known is not None and known.engine is not None else 0

    def _follow_list(self) -> None:
        if self._catalog.runners_at != self._listed_at:
            self._listed_at = self._catalog.runners_at
            self.board.keep_only(self._catalog.runner_ids)


def _read_demand(preview: wire.TurnPreview, ran_at: str) -> Demand:
    wanted = preview.demand
    return Demand(
        turn_id=preview.begin.turn_id,
        line=wanted.line,
        parts=[PromptPart(part.part_id, part.tokens) for part in wanted.parts],
        most_tokens=preview.begin.most_tokens,
        left_s=wanted.left_ms / 1000,
        connected=frozenset(wanted.connected),
        avoided=frozenset(wanted.avoided),
        zone=wanted.zone,
        ran_at=ran_at,
        body_bytes=wanted.body_bytes,
    )
