"""Injected defects of groups, budget shares and voter zones, and scenarios that detect them."""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterator
from unittest import mock

from bendshed.admission import program_budget
from bendshed.admission.program_budget import ProgramBudget
from bendshed.consensus import bootstrap
from bendshed.consensus.replica_choice import DiskNode, VoterTopology
from bendshed.rehearsal.site.layout import THREE_ZONES, TWO_REGIONS, SiteLayout
from bendshed.rehearsal.site.oracle import Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld
from bendshed.services.group_search import GroupSearch
from bendshed.turns.service import TurnService
from bendshed.wire import turns_pb2 as wire

LOOPING_PLAN = ProgramPlan(turns=1, tools=0, sub_agents=4, loops=True)
ZONE_LOSS_ELECTION_S = 1.0
"""With a zone down, the turn log has a leader again within this time."""


@contextlib.contextmanager
def world(seed: int, layout: SiteLayout = TWO_REGIONS) -> Iterator[SiteWorld]:
    started = SiteWorld.started(seed, layout)
    try:
        yield started
    finally:
        started.close()


def region(site: SiteWorld, machine: SimMachine) -> str:
    return site.layout.places.region(machine.zone)


def cut_regions(site: SiteWorld) -> None:
    hosts = sorted(site.network.regions.items())
    for one, here in hosts:
        site.network.cuts.update((one, other) for other, there in hosts if there != here)


def start_program_in_region(site: SiteWorld, program_id: str, at: str, budget_tokens: int) -> None:
    """Start the part of a program that enters through region ``at``; others enter elsewhere."""
    program = site.start_program(LOOPING_PLAN, budget_tokens=budget_tokens)
    program.program_id = program_id
    fronts = [front.name for front in site.fronts.values() if region(site, front) == at]
    program.pick_node = lambda: site.rng.choice(fronts)


def loops_in_both_regions(seed: int) -> list[Violation]:
    with world(seed) as site:
        for number in range(3):
            for at in ("near", "far"):
                start_program_in_region(site, f"both-{number}", at, budget_tokens=500)
        site.run_for(8.0)
        return site.settle()


def loops_while_regions_are_cut(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.run_for(1.0)
        cut_regions(site)
        for number in range(3):
            for at in ("near", "far"):
                start_program_in_region(site, f"both-{number}", at, budget_tokens=500)
        site.run_for(8.0)
        return site.settle()


def a_leader_is_lost_after_it_released(seed: int) -> list[Violation]:
    """The leader's last entries reach no peer, because its links to them were cut just before."""
    with world(seed) as site:
        far, near = site.leader(0), site.leader(1)
        assert far is not None
        assert near is not None
        peers = [machine for machine in site.stores.values() if machine not in (far, near)]
        site.network.cuts.update((far.host, peer.host) for peer in peers)
        start_program_in_region(site, "both", "near", budget_tokens=500)
        site.run_for(0.3)
        site.kill(far)
        site.network.cuts.clear()
        site.wait_for(site.is_led, 5.0)
        start_program_in_region(site, "both", "far", budget_tokens=500)
        site.run_for(8.0)
        site.restart(far)
        return site.settle()


def turns_are_continued_while_regions_are_cut(seed: int) -> list[Violation]:
    with world(seed) as site:
        for _ in range(8):
            site.start_program(ProgramPlan(turns=2, tools=0))
        site.run_for(3.0)
        cut_regions(site)
        for program in list(site.programs):
            site.start_program(ProgramPlan(turns=1, tools=0), continues=program.last_turn)
        site.run_for(5.0)
        return site.settle()


def each_zone_is_lost_in_turn(seed: int) -> list[Violation]:
    """Each zone is lost while one of its machines is being retired."""
    found: list[Violation] = []
    with world(seed, THREE_ZONES) as site:
        for zone in sorted({machine.zone for machine in site.stores.values()}):
            leader = site.leader()
            leaving = next(m for m in site.stores.values() if m is not leader and m.zone == zone)
            site.registry.retirements[leaving.name] = False
            site.run_for(0.15)
            zone_machines = [m for m in site.stores.values() if m.zone == zone]
            for machine in zone_machines:
                site.kill(machine)
            try:
                site.wait_for(site.is_led, ZONE_LOSS_ELECTION_S)
            except TimeoutError:
                found.append(Violation(Rule.ZONE, f"no leader without {zone}"))
            for machine in zone_machines:
                site.restart(machine)
            del site.registry.retirements[leaving.name]
            site.run_for(6.0)
        return [*found, *site.settle()]


def _share_whole_budget(budget_tokens: int, _group_id: int, _num_groups: int) -> int:
    return budget_tokens


def _add_taken_share(program: ProgramBudget, share: wire.TakeShare) -> None:
    known = program.taken.get(share.from_group, 0)
    program.taken[share.from_group] = known + share.released_tokens


_REAL_COMMIT = TurnService._commit


async def _answer_before_commit(
    service: TurnService, command: wire.TurnCommand, answer_by_s: float
) -> wire.TurnReply:
    """Answer a release from the state, and commit its entry in the background."""
    if not command.HasField("release"):
        return await _REAL_COMMIT(service, command, answer_by_s)
    state, _term = service._group(command.group).leader_state()
    release = command.release
    program = state.programs.get((release.tenant, release.program_id), ProgramBudget())
    left_tokens = program.available_tokens(release.budget_tokens, command.group, release.num_groups)
    commit = asyncio.get_running_loop().create_task(_REAL_COMMIT(service, command, answer_by_s))
    commit.add_done_callback(lambda done: done.cancelled() or done.exception())
    return wire.TurnReply(
        released_tokens=program.released.get(release.to_group, 0) + max(0, left_tokens)
    )


_REAL_GROUP_COMMIT = GroupSearch._commit


async def _treat_silence_as_unknown_turn(search: GroupSearch, group: int) -> wire.TurnReply | None:
    """Treat a group that does not answer as one that does not know the turn."""
    reply = await _REAL_GROUP_COMMIT(search, group)
    return reply or wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)


def _choose_by_zone_name(
    _group_id: int, nodes: Collection[DiskNode], count: int, _home: object = None
) -> list[str]:
    """Choose voters in the order of zone names, so that the first zone holds a majority."""
    ordered = sorted(nodes, key=lambda node: (node.zone, node.node_id))
    return [node.node_id for node in ordered][:count]


def majority_in_a_zone() -> object:
    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(bootstrap, "choose_replicas", _choose_by_zone_name))
    stack.enter_context(
        mock.patch.object(VoterTopology, "placement_cost", lambda _topology, _voters: (0, 0, 0))
    )
    return stack


def patch(target: object, name: str, value: object) -> Callable[[], object]:
    return lambda: mock.patch.object(target, name, value)


REGION_DEFECTS: dict[str, tuple[Rule, Callable[[int], list[Violation]], Callable[[], object]]] = {
    "each group spends the whole budget": (
        Rule.BUDGET,
        loops_while_regions_are_cut,
        patch(program_budget, "initial_share", _share_whole_budget),
    ),
    "a share that is reported twice counts twice": (
        Rule.BUDGET,
        loops_in_both_regions,
        patch(ProgramBudget, "take_over_share", _add_taken_share),
    ),
    "a release is answered before it is committed": (
        Rule.BUDGET,
        a_leader_is_lost_after_it_released,
        patch(TurnService, "_commit", _answer_before_commit),
    ),
    "a turn is reported as unknown while a group does not answer": (
        Rule.FOUND,
        turns_are_continued_while_regions_are_cut,
        patch(GroupSearch, "_commit", _treat_silence_as_unknown_turn),
    ),
    "a majority of voters in one zone": (
        Rule.ZONE,
        each_zone_is_lost_in_turn,
        majority_in_a_zone,
    ),
}
