"""Places turns at the turn log's leader: decodes previews, delegates and logs decisions.

`placement/cluster_load.py` chooses the runner, and `turns/cold_admission.py` decides whether a cold
one may be used; eligible runners come from the catalog.
"""

import random
from collections.abc import Sequence

from bendshed.catalog.state import Catalog
from bendshed.logs import PartLog
from bendshed.model.prompt import PromptPart
from bendshed.model.runner import ServiceRunner
from bendshed.placement.cluster_load import ClusterLoad, NotPlaced
from bendshed.placement.distance import DistanceCosts
from bendshed.placement.turn_demand import EndedTurn, TurnDemand
from bendshed.turns.cold_admission import ColdAdmission, PermitRequest, PermittedRunners, Placement
from bendshed.wire import turns_pb2 as wire

log = PartLog("placement")


class TurnPlacement:
    """Places turns and updates the load from nodes' reports of ended turns.

    Attributes:
        cluster_load: load of all nodes at each runner.
        cold: admission to cold runners.

    """

    def __init__(
        self,
        catalog: Catalog,
        cold: ColdAdmission,
        rng: random.Random,
        distance: DistanceCosts | None = None,
    ) -> None:
        self.cluster_load = ClusterLoad(rng, distance)
        self.cold = cold
        self._catalog = catalog
        self._runners_at = 0

    def place_turn(
        self, preview: wire.TurnPreview, last_runner: str, is_new_program: bool, now_s: float
    ) -> Placement:
        """Place a turn, or reject it because all its runners are cold and at capacity.

        Args:
            preview: preview of the turn.
            last_runner: runner of the program's latest turn; empty: none.
            is_new_program: no turn of the program is known.
            now_s: monotonic time.

        """
        self._drop_unlisted_runners()
        regions = frozenset(preview.demand.regions) or None
        runners = self._catalog.ready_runners(
            preview.demand.service, regions, preview.demand.software_version
        )
        begin, chain = preview.begin, preview.demand.line
        request = PermitRequest(begin.turn_id, begin.program_id, is_new_program, chain)
        permitted_runners = self.cold.permitted_runners(runners, request, now_s)
        if runners and not permitted_runners.runners:
            return self.cold.reject(runners, request, now_s)
        demand = _decode_demand(preview.begin, preview.demand, last_runner)
        runner_id = self._choose(demand, preview.demand.service, permitted_runners, now_s)
        if runner_id in permitted_runners.cold:
            return self.cold.grant(runner_id, request, now_s)
        return Placement(runner_id)

    def permit_dispatch(self, ask: wire.RunnerAsk, now_s: float) -> Placement:
        """Permit one dispatch of a request without a preview, even to a runner that is warm
        here."""
        self._drop_unlisted_runners()
        demand = ask.demand
        regions = frozenset(demand.regions) or None
        runners = [
            runner
            for runner in self._catalog.ready_runners(
                demand.service, regions, demand.software_version
            )
            if runner.runner_id not in demand.tried
        ]
        if not runners:
            return Placement()
        request = PermitRequest(ask.request_id, ask.request_id, ask.is_new_program)
        permitted_runners = self.cold.permit_limited_runners(runners, request, now_s)
        if not permitted_runners.runners:
            placement = self.cold.reject(runners, request, now_s)
            self.cold.forget_rejection(ask.request_id)  # no begin will follow
            return placement
        return self.cold.grant(
            self._choose_permitted(ask, permitted_runners.runners, now_s), request, now_s
        )

    def _choose_permitted(
        self, ask: wire.RunnerAsk, runners: Sequence[ServiceRunner], now_s: float
    ) -> str:
        """Place a turn by cluster load, and any other request by its permits.

        The cluster load excludes other requests, since their ends are not reported.
        """
        demand = ask.demand
        if not demand.parts:
            avoided = frozenset(demand.avoided)
            return self.cold.least_loaded(runners, ask.request_id, demand.zone, avoided, now_s)
        turn = _decode_demand(wire.BeginTurn(turn_id=ask.request_id), demand, "")
        cold = {r.runner_id for r in runners if self.cold.tracker.is_cold(r.runner_id)}
        return self._choose(turn, demand.service, PermittedRunners(runners, cold), now_s)

    def _choose(
        self, demand: TurnDemand, service: str, permitted_runners: PermittedRunners, now_s: float
    ) -> str:
        """Return the id of the runner with the lowest cost; empty: no runner is eligible."""
        memory_tokens = self._memory_tokens(service)
        placed = self.cluster_load.place(
            demand, permitted_runners.runners, memory_tokens, now_s, permitted_runners.cold
        )
        if isinstance(placed, NotPlaced):
            return ""
        log.say(
            "turn placed",
            request=demand.turn_id,
            runner=placed.runner_id,
            cost_ms=round(placed.cost_ms, 1),
            distance=placed.distance.value,
            running_there=placed.num_running,
            running=self.cluster_load.num_running,
            cached_tokens=placed.cached_tokens,
            prompt_tokens=demand.prompt_tokens,
            is_connected=placed.runner_id in demand.connected,
            is_cold=placed.runner_id in permitted_runners.cold,
            runners_at=self._catalog.runners_at,
        )
        return placed.runner_id

    def software_version_of(self, turn_id: str) -> str:
        """Software version of the runner where a turn was placed; empty: not known."""
        return self._catalog.software_version_of(self.cluster_load.runner_of(turn_id))

    def end_turn(self, turn_id: str, report: wire.TurnReport, now_s: float) -> None:
        """Remove an ended turn from the load."""
        ended = EndedTurn(turn_id, report.runner_id, report.event_gap_us / 1000, report.failed)
        self.cluster_load.end(ended, now_s)

    def cancel_turn(self, turn_id: str, now_s: float) -> None:
        """Remove from the load a turn that was rejected after its placement."""
        self.cluster_load.end(EndedTurn(turn_id), now_s)

    def _memory_tokens(self, service: str) -> int:
        document = self._catalog.document
        known = document.services.get(service) if document is not None else None
        return known.engine.memory_tokens if known is not None and known.engine is not None else 0

    def _drop_unlisted_runners(self) -> None:
        if self._catalog.runners_at != self._runners_at:
            self._runners_at = self._catalog.runners_at
            self.cluster_load.retain_only(self._catalog.runner_ids)


def _decode_demand(
    begin: wire.BeginTurn, wire_demand: wire.TurnDemand, last_runner: str
) -> TurnDemand:
    """Decode a turn's demand; the wire field ``line`` is the id of the chain."""
    return TurnDemand(
        turn_id=begin.turn_id,
        chain=wire_demand.line,
        parts=[PromptPart(part.part_id, part.tokens) for part in wire_demand.parts],
        max_answer_tokens=begin.most_tokens,
        time_left_s=wire_demand.left_ms / 1000,
        connected=frozenset(wire_demand.connected),
        avoided=frozenset(wire_demand.avoided),
        zone=wire_demand.zone,
        last_runner=last_runner,
        body_bytes=wire_demand.body_bytes,
    )
