"""Two regions with one turn log group at home in each: one failure per test, in virtual time."""

import unittest
from collections import Counter
from collections.abc import Callable
from unittest import mock

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.model.places import Places
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.rehearsal.site.layout import TWO_REGIONS, TWO_REGIONS_WITH_TENANTS, SiteLayout
from bendshed.rehearsal.site.programs import AgentProgram, ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld
from bendshed.turns.client import TurnClient
from bendshed.turns.shares import ShareGatherer
from bendshed.wire import turns_pb2 as wire

FAR, NEAR = 0, 1
"""Group ids, in the order of their regions' names."""
ELECTION_S = 0.6
PLAN = ProgramPlan(turns=3, tools=0)


class TurnGroupsTest(unittest.TestCase):
    layout: SiteLayout = TWO_REGIONS
    seed = 1

    def setUp(self) -> None:
        self.world = SiteWorld.started(self.seed, self.layout)
        self.addCleanup(self.world.close)

    def leader(self, group: int) -> SimMachine:
        leader = self.world.leader(group)
        assert leader is not None
        return leader

    def region(self, machine: SimMachine) -> str:
        return self.layout.places.region(machine.zone)

    def is_home(self, machine: SimMachine, group: int) -> bool:
        return self.region(machine) == self.layout.groups.homes[group]

    def voters(self, group: int) -> list[SimMachine]:
        replica = self.leader(group).replica
        assert replica is not None
        ids = set(replica.host.groups[group].replica.membership.voters)
        return [
            store
            for store in self.world.stores.values()
            if store.replica is not None and store.replica.host.node_id in ids
        ]

    def cut(self, one: SimMachine, other: SimMachine) -> None:
        self.world.network.cuts.update(((one.host, other.host), (other.host, one.host)))

    def cut_regions(self) -> None:
        machines = [*self.world.fronts.values(), *self.world.stores.values()]
        for one in machines:
            for other in machines:
                if self.region(one) != self.region(other):
                    self.cut(one, other)

    def start(self, region: str, plan: ProgramPlan = PLAN, **changes: object) -> AgentProgram:
        """Start a program whose clients reach the fronts of one region."""
        program = self.world.start_program(plan, **changes)  # type: ignore[arg-type]
        fronts = [
            front.name for front in self.world.fronts.values() if self.region(front) == region
        ]
        program.pick_node = lambda: self.world.rng.choice(fronts)
        return program

    def assert_no_violations(self) -> None:
        self.assertEqual(self.world.settle(), [])


class HomeRegionTest(TurnGroupsTest):
    def test_most_voters_and_the_leader_are_in_the_home_region(self) -> None:
        for group, num_home in ((FAR, 3), (NEAR, 4)):
            with self.subTest(group=group):
                voters = self.voters(group)
                self.assertEqual(len(voters), 5)
                self.assertEqual(sum(self.is_home(voter, group) for voter in voters), num_home)
                self.assertTrue(self.is_home(self.leader(group), group))

    def test_killed_leader_is_replaced_in_the_home_region(self) -> None:
        for group in (FAR, NEAR):
            with self.subTest(group=group):
                before = self.leader(group)
                self.world.kill(before)
                self.world.wait_for(lambda g=group: self.world.leader(g) is not None, ELECTION_S)
                self.assertTrue(self.is_home(self.leader(group), group))
                self.world.restart(before)
                self.world.run_for(6.0)

    def test_leader_outside_home_region_hands_over(self) -> None:
        home = [voter for voter in self.voters(FAR) if self.is_home(voter, FAR)]
        for voter in home:
            self.world.kill(voter)
        for voter in home:
            self.world.restart(voter)
        self.world.run_for(4.0)
        self.assertTrue(self.is_home(self.leader(FAR), FAR))

    def test_turn_does_not_wait_for_another_region(self) -> None:
        """Holds from the second turn on: the first one discovers the leader."""
        for region in ("near", "far"):
            with self.subTest(region=region):
                for _ in range(8):
                    program = self.start(region, ProgramPlan(turns=1, tools=0))
                    self.world.run_for(1.0)
                    self.assertTrue(program.finished)
                sent_s = {r.request_id: r.sent_s for r in self.world.seen.requests[-4:]}
                waits = [
                    run.started_s - sent_s[run.request_id]
                    for run in self.world.seen.runs
                    if run.request_id in sent_s
                ]
                self.assertEqual(len(waits), 4)
                self.assertLess(max(waits), TWO_REGIONS.between_regions_s)

    def test_isolated_region_serves_its_own_programs(self) -> None:
        self.cut_regions()
        self.world.run_for(1.0)
        programs = [self.start(region) for region in ("near", "far") for _ in range(3)]
        self.world.run_for(4.0)
        self.assertTrue(all(program.finished for program in programs))
        self.assert_no_violations()

    def test_loss_of_two_disks_in_a_region_loses_no_turn(self) -> None:
        program = self.start("far")
        self.world.run_for(3.0)
        self.assertTrue(program.finished)
        stores = [store for store in self.world.stores.values() if self.region(store) == "far"]
        for store in stores[:2]:
            self.world.kill(store)
            del self.world.stores[store.name]
        self.world.wait_for(self.world.is_led, 5.0)
        continuation = self.start("far", continues=program.last_turn)
        self.world.run_for(4.0)
        self.assertTrue(continuation.finished, continuation.statuses)
        self.assert_no_violations()

    def test_isolated_remote_voters_delay_no_commit(self) -> None:
        remote = [voter for voter in self.voters(FAR) if not self.is_home(voter, FAR)]
        for voter in remote:
            for other in self.world.stores.values():
                if other is not voter:
                    self.cut(voter, other)
        program = self.start("far")
        self.world.run_for(2.0)
        self.assertTrue(program.finished)
        self.assertEqual(set(program.statuses), {200})


class BudgetTest(TurnGroupsTest):
    def num_events_received(self, program: AgentProgram) -> int:
        answers = [r.answer for r in self.world.seen.requests if r.program_id == program.program_id]
        return sum(answer.count(b"\n\n") for answer in answers)

    def test_first_turns_in_both_regions_at_once(self) -> None:
        """Sub-agents of one program enter in both regions at the same time, four times over."""
        for _ in range(4):
            plan = ProgramPlan(turns=1, tools=0, sub_agents=6, loops=True)
            self.world.start_program(plan, budget_tokens=300)
        self.world.run_for(8.0)
        statuses = Counter(status for p in self.world.programs for status in p.statuses)
        self.assertGreater(statuses[402], 0)
        wrong_previews = {502}
        self.assertEqual(set(statuses) - {200, 402, 503, 0} - wrong_previews, set())
        self.assert_no_violations()

    def test_program_can_spend_its_whole_budget_in_either_region(self) -> None:
        for region in ("near", "far"):
            with self.subTest(region=region):
                plan = ProgramPlan(turns=1, tools=0, sub_agents=2, loops=True)
                program = self.start(region, plan, budget_tokens=400)
                self.world.run_for(10.0)
                self.assertIn(402, program.statuses)
                self.assertGreater(8 * self.num_events_received(program), 400 - 2 * 8 * 8)

    def test_share_is_spent_without_402_while_other_group_is_unreachable(self) -> None:
        self.cut_regions()
        self.world.run_for(1.0)
        plan = ProgramPlan(turns=1, tools=0, sub_agents=2, loops=True)
        program = self.start("near", plan, budget_tokens=400)
        self.world.run_for(12.0)
        self.assertNotIn(402, program.statuses)
        self.assertIn(503, program.statuses)
        self.assertLessEqual(8 * self.num_events_received(program), 200)
        self.assert_no_violations()

    def cut_stores_between_regions(self) -> None:
        """Cut the stores of the two regions off from each other; fronts still reach both."""
        for one in self.world.stores.values():
            for other in self.world.stores.values():
                if self.region(one) != self.region(other):
                    self.cut(one, other)
        self.world.run_for(1.0)

    def test_chain_of_other_region_gets_whole_budget_through_fronts(self) -> None:
        stored = self.start("near", ProgramPlan(turns=1, tools=0))
        self.world.run_for(2.0)
        self.cut_stores_between_regions()
        plan = ProgramPlan(turns=4, tools=0)
        program = self.start("far", plan, continues=stored.last_turn, budget_tokens=4 * 8 * 9)
        self.world.run_for(6.0)
        self.assertTrue(program.finished, program.statuses)
        self.assert_no_violations()

    def test_fronts_transfer_shares_between_disconnected_leaders(self) -> None:
        self.cut_stores_between_regions()
        plan = ProgramPlan(turns=1, tools=0, sub_agents=2, loops=True)
        program = self.start("near", plan, budget_tokens=400)
        self.world.run_for(12.0)
        self.assertIn(402, program.statuses)
        self.assertGreater(8 * self.num_events_received(program), 400 - 2 * 8 * 8)
        self.assert_no_violations()

    def test_lost_and_duplicate_releases(self) -> None:
        """Every second answer to a release is lost; every third release is sent twice."""
        send_command = TurnClient.command
        num_releases = 0

        async def unreliable(
            client: TurnClient,
            command: wire.TurnCommand,
            timeout_s: float,
            before_attempt: Callable[[], None] = lambda: None,
        ) -> wire.TurnReply:
            nonlocal num_releases
            reply = await send_command(client, command, timeout_s, before_attempt)
            if not command.HasField("release"):
                return reply
            num_releases += 1
            if num_releases % 3 == 0:
                reply = await send_command(client, command, timeout_s)
            if num_releases % 2:
                raise GroupUnavailable("the answer was lost")
            return reply

        with mock.patch.object(TurnClient, "command", unreliable):
            for _ in range(4):
                plan = ProgramPlan(turns=2, tools=0, sub_agents=4, loops=True)
                self.world.start_program(plan, budget_tokens=400)
            self.world.run_for(10.0)
        self.assertGreater(num_releases, 5)
        self.assert_no_violations()

    def test_leader_of_other_group_fails_during_release(self) -> None:
        for _ in range(4):
            plan = ProgramPlan(turns=2, tools=0, sub_agents=4, loops=True)
            self.world.start_program(plan, budget_tokens=400)
            self.world.run_for(0.15)
            leader = self.world.leader(FAR)
            if leader is not None:
                self.world.kill(leader)
                self.world.run_for(0.5)
                self.world.restart(leader)
        self.world.run_for(6.0)
        self.assert_no_violations()

    def test_short_program_requests_no_other_group(self) -> None:
        with mock.patch.object(ShareGatherer, "_gather") as gather:
            program = self.start("near", ProgramPlan(turns=1, tools=0), budget_tokens=100_000)
            self.world.run_for(2.0)
        self.assertTrue(program.finished)
        gather.assert_not_called()


class ChainTest(TurnGroupsTest):
    def store_turn(self, region: str) -> str:
        program = self.start(region)
        self.world.run_for(3.0)
        self.assertTrue(program.finished)
        return program.last_turn

    def test_turn_of_other_region_is_found(self) -> None:
        for stored_in, continued_in in (("near", "far"), ("far", "near")):
            with self.subTest(stored_in=stored_in):
                turn = self.store_turn(stored_in)
                program = self.start(continued_in, continues=turn)
                self.world.run_for(4.0)
                self.assertTrue(program.finished, program.statuses)
        self.assert_no_violations()

    def test_404_requires_an_answer_from_every_group(self) -> None:
        with mock.patch.object(SiteWorld, "tenant_of", lambda _world, _turn: ""):
            known = self.start("near", ProgramPlan(turns=1, tools=0), continues="nobody's")
            self.world.run_for(3.0)
            self.assertEqual(known.statuses, [404])
            self.cut_regions()
            silent = self.start("near", ProgramPlan(turns=1, tools=0), continues="nobody's")
            self.world.run_for(6.0)
        self.assertNotIn(404, silent.statuses)
        self.assertIn(503, silent.statuses)


class TenantTest(TurnGroupsTest):
    layout = TWO_REGIONS_WITH_TENANTS

    def test_turns_of_a_tenant_are_in_one_group(self) -> None:
        for _ in range(6):
            self.world.start_program(PLAN)
        self.world.run_for(5.0)
        for machine in self.world.stores.values():
            assert machine.replica is not None
            for number, group in machine.replica.host.groups.items():
                tenants = {tenant for tenant, _ in group.state.turns}  # type: ignore[attr-defined]
                homes = {self.layout.groups.home_group_of_tenant(tenant) for tenant in tenants}
                self.assertLessEqual(homes, {number})
        self.assert_no_violations()


class RetirementTest(TurnGroupsTest):
    def test_retired_machine_leaves_all_groups(self) -> None:
        for group in (FAR, NEAR):
            for leaving in self.voters(group):
                if leaving.name not in self.world.stores or len(self.world.stores) < 6:
                    continue
                self.world.registry.retirements[leaving.name] = False
                self.world.wait_for(
                    lambda name=leaving.name: self.world.registry.retirements[name], 15.0
                )
                assert leaving.replica is not None
                node_id = leaving.replica.host.node_id
                self.world.kill(leaving)
                del self.world.stores[leaving.name]
                self.world.run_for(2.0)
                for number in self.layout.groups.ids:
                    replica = self.leader(number).replica
                    assert replica is not None
                    members = replica.host.groups[number].replica.membership
                    self.assertNotIn(node_id, [*members.voters, *members.learners])
                break

    def test_retirement_completes_under_load_despite_leader_loss(self) -> None:
        """Distant voters always lag behind; the leader is down from 0.3 s to 3.3 s."""
        for _ in range(20):
            self.world.start_program(ProgramPlan(turns=60, tools=0), budget_tokens=100_000)
        self.world.run_for(1.0)
        leader = self.leader(FAR)
        leaving = next(voter for voter in self.voters(FAR) if voter is not leader)
        self.world.registry.retirements[leaving.name] = False
        self.world.run_for(0.3)
        self.world.kill(leader)
        self.world.run_for(3.0)
        self.world.restart(leader)
        self.world.wait_for(lambda: self.world.registry.retirements[leaving.name], 6.0)


class TurnGroupsFromPlacesTest(unittest.TestCase):
    def test_zero_or_one_region_makes_one_group(self) -> None:
        for region_of in ({}, {"a": "r", "b": "r"}, {"a": "", "b": "r"}):
            groups = TurnGroups.from_places(Places(region_of))
            self.assertEqual((groups.count, groups.home_zones(0)), (1, None))

    def test_one_group_per_region_in_name_order(self) -> None:
        groups = TurnGroups.from_places(Places({"a": "west", "b": "east", "c": "west"}))
        self.assertEqual(groups.homes, ("east", "west"))
        self.assertEqual(groups.home_zones(1), {"a", "c"})
        self.assertEqual([groups.home_group_of_zone(zone) for zone in "abc"], [1, 0, 1])

    def test_regional_groups_can_be_disabled(self) -> None:
        groups = TurnGroups.from_places(Places({"a": "west", "b": "east"}), is_regional=False)
        self.assertEqual(groups.count, ONE_GROUP.count)


if __name__ == "__main__":
    unittest.main()
