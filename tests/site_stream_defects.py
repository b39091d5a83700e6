"""Injected defects of resumed streams and the simulated scenarios that must detect them."""

import contextlib
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from unittest import mock

from bendshed.errors import ErrorKind, Refusal
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.stream_origin import StreamOrigin
from bendshed.placement.proven_version import NOT_PROVEN
from bendshed.rehearsal.site.documents import STREAM_SERVICE, WIDE
from bendshed.rehearsal.site.oracle import Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.runner import FIRST_SOFTWARE_VERSION
from bendshed.rehearsal.site.sim_world import (
    BOTH_BIRTHS,
    START_LIMIT_S,
    SiteWorld,
    ToldBirths,
)
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.stream_origins import (
    AnsweringProcess,
    OriginRecorder,
    StreamOriginClient,
)
from bendshed.turns.stream_origins import StreamOrigins
from tests.site_defects import Defect, patch

STREAMS = ProgramPlan(turns=0, tools=0, streams=3)
NEXT_VERSION = "v2"
UNLIMITED_TOKENS = 10**9
SLOW_STREAMS = 8.0
"""Streams last for seconds."""
RELEASE_S = 4.0
"""By then every front has applied the new list, and all machines are in touch."""
CUT_SHARE = 0.4
HEARTBEAT_S = 1.2
"""A runner's entry names its new version up to so long after its start."""


@contextlib.contextmanager
def half_released_site(seed: int) -> Iterator[SiteWorld]:
    """Two runners of each version serve side by side; each breaks off some of its streams."""
    site = SiteWorld.started(seed)
    try:
        for name in ("engine-1", "engine-2", "engine-3"):
            site.drain_runner(name)
        for number in range(4):
            version = (FIRST_SOFTWARE_VERSION, NEXT_VERSION)[number // 2]
            name = f"released-{number + 1}"
            site.add_runner(name, STREAM_SERVICE, 8, software_version=version)
        site.run_for(RELEASE_S)
        for runner in site.runners.values():
            runner.troubles.cut = CUT_SHARE
        yield site
    finally:
        site.close()


def start_streams(site: SiteWorld, count: int = 12) -> None:
    for _ in range(count):
        site.start_program(STREAMS)


def streams_are_cut(seed: int) -> list[Violation]:
    with half_released_site(seed) as site:
        start_streams(site)
        site.run_for(12.0)
        return site.settle()


def fronts_are_killed(seed: int) -> list[Violation]:
    with half_released_site(seed) as site:
        start_streams(site)
        site.run_for(1.0)
        for front in list(site.fronts.values())[:2]:
            site.kill(front)
            site.run_for(0.3)
            site.restart(front)
        site.run_for(10.0)
        return site.settle()


def lose_power(site: SiteWorld, with_stores: bool, for_s: float) -> None:
    """All fronts are down at once, and the stores if wanted, and come back."""
    machines = [*site.fronts.values(), *(site.stores.values() if with_stores else [])]
    for machine in machines:
        site.kill(machine)
    site.run_for(for_s)
    for machine in machines:
        site.restart(machine)


def fronts_lose_power_in_a_release(seed: int) -> list[Violation]:
    """All fronts are killed just as the last runners of a version have left.

    Half of the clients name no attempt, half of the streams are no turns; in every other series the
    stores lose power too.
    """
    with half_released_site(seed) as site:
        for number in range(4):
            for kind in (Kind.RESUMABLE_TURN, Kind.RESUMABLE_CALL):
                for is_named in (True, False):
                    plan = replace(STREAMS, stream_kind=kind, names_streams=is_named)
                    for _ in range(4):
                        site.start_program(plan, budget_tokens=UNLIMITED_TOKENS, tenant=WIDE)
            site.run_for(site.rng.uniform(0.2, 0.8))
            _release_next_version(site, number)
            site.run_for(site.rng.uniform(0.0, 0.3))
            lose_power(site, with_stores=number % 2 == 1, for_s=site.rng.uniform(0.1, 2.5))
            site.run_for(4.0)
        return site.settle()


def fronts_lose_power_behind_a_silent_turn_log(seed: int) -> list[Violation]:
    """Streams that are no turns begin while no store answers; then their version leaves."""
    with half_released_site(seed) as site:
        for row in list(site.listed.values()):
            if row.software_version == NEXT_VERSION:
                site.drain_runner(row.runner_id)
        site.run_for(RELEASE_S)
        for runner in site.runners.values():
            runner.troubles.cut, runner.troubles.slow = 0.0, SLOW_STREAMS
        for store in site.stores.values():
            site.kill(store)
        plan = replace(
            STREAMS, stream_kind=Kind.RESUMABLE_CALL, names_streams=False, stream_retry_s=0.5
        )
        start = partial(site.start_program, plan, budget_tokens=UNLIMITED_TOKENS, tenant=WIDE)
        for _ in range(8):
            start()
        site.run_for(1.5)
        _release_next_version(site, 0)
        for store in site.stores.values():
            site.restart(store)
        site.wait_for(site.is_led, START_LIMIT_S)
        site.run_for(0.5)
        for _ in range(4):
            start()
        site.run_for(site.rng.uniform(0.2, 0.5))
        lose_power(site, with_stores=False, for_s=0.1)
        site.run_for(8.0)
        return site.settle()


def _release_next_version(site: SiteWorld, number: int) -> None:
    """Runners of the oldest version leave at once, others of a new one are there."""
    serving = [row for row in site.listed.values() if row.service == STREAM_SERVICE]
    ready = [row for row in serving if row.state is RunnerState.READY]
    oldest = ready[0].software_version
    for index in range(2):
        name = f"next-{number}-{index}"
        site.add_runner(name, STREAM_SERVICE, 8, software_version=f"v{3 + number}")
        site.runners[name].troubles.cut = CUT_SHARE
    for row in ready:
        if row.software_version == oldest:
            site.drain_runner(row.runner_id)


def leaders_are_killed(seed: int) -> list[Violation]:
    with half_released_site(seed) as site:
        for _ in range(3):
            start_streams(site, 8)
            site.run_for(0.4)
            leader = site.leader()
            if leader is not None:
                site.kill(leader)
                site.run_for(0.6)
                site.restart(leader)
            site.run_for(2.0)
        return site.settle()


def runners_reject_what_was_placed(seed: int) -> list[Violation]:
    """The runner that answers is often not the one that the leader expected."""
    with half_released_site(seed) as site:
        for runner in site.runners.values():
            runner.troubles.shed = 0.5
        start_streams(site, 20)
        site.run_for(12.0)
        return site.settle()


def runners_restart_with_another_version(seed: int) -> list[Violation]:
    """Runners come back under their ids while streams are dispatched to them."""
    with half_released_site(seed) as site:
        for number in range(12):
            name = f"released-{1 + number % 4}"
            version = f"v{3 + number}"
            site.restart_runner(name, version, unlisted_for_s=HEARTBEAT_S)
            start_streams(site, 3)
            site.run_for(1.0)
        return site.settle()


SEEN_SOON_S = 0.2
"""An entry that names the new process soon after its start."""
NO_BIRTH_IN_ENTRY = ToldBirths(in_entry=False)
NO_BIRTH_IN_REPORT = ToldBirths(in_report=False)
ODD_BIRTH_IN_REPORT = ToldBirths(in_report=False, instead="yesterday")


def start_unlimited_streams(site: SiteWorld, count: int) -> None:
    """Streams of a tenant without a quota, which would refuse some of those that are resumed."""
    for _ in range(count):
        site.start_program(STREAMS, tenant=WIDE)


def _restart(
    site: SiteWorld, number: int, version: str, seen_s: float, births: ToldBirths = BOTH_BIRTHS
) -> None:
    site.restart_runner(f"released-{1 + number % 4}", version, seen_s, births)


def restarts_are_seen_soon(seed: int) -> list[Violation]:
    with half_released_site(seed) as site:
        for number in range(12):
            _restart(site, number, f"v{3 + number}", SEEN_SOON_S)
            start_unlimited_streams(site, 3)
            site.run_for(0.6)
        return site.settle()


def runners_restart_twice_within_a_heartbeat(seed: int) -> list[Violation]:
    """The entry of the first restart arrives after the second one."""
    with half_released_site(seed) as site:
        for number in range(8):
            _restart(site, number, f"v{3 + number}", HEARTBEAT_S)
            start_unlimited_streams(site, 3)
            site.run_for(HEARTBEAT_S / 2)
            _restart(site, number, f"v{30 + number}", HEARTBEAT_S)
            start_unlimited_streams(site, 3)
            site.run_for(1.0)
        return site.settle()


def runners_return_to_their_version(seed: int) -> list[Violation]:
    with half_released_site(seed) as site:
        for number in range(6):
            for version in (f"v{3 + number}", FIRST_SOFTWARE_VERSION):
                _restart(site, number, version, HEARTBEAT_S)
                start_unlimited_streams(site, 3)
                site.run_for(0.7)
        return site.settle()


def all_runners_restart(seed: int) -> list[Violation]:
    """No runner of a proven version is left for a heartbeat."""
    with half_released_site(seed) as site:
        for turn in range(5):
            for number in range(4):
                _restart(site, number, f"v{3 + turn}-{number % 2}", HEARTBEAT_S)
            start_unlimited_streams(site, 6)
            site.run_for(2.5)
        return site.settle()


def fronts_are_killed_between_restart_and_entry(seed: int) -> list[Violation]:
    with half_released_site(seed) as site:
        for number in range(8):
            _restart(site, number, f"v{3 + number}", HEARTBEAT_S)
            start_unlimited_streams(site, 4)
            site.run_for(0.4)
            front = list(site.fronts.values())[number % len(site.fronts)]
            site.kill(front)
            site.run_for(0.3)
            site.restart(front)
            site.run_for(0.7)
        return site.settle()


def restarts_do_not_tell_their_births(seed: int) -> list[Violation]:
    """Entries or reports name no start, or something that is no time."""
    with half_released_site(seed) as site:
        for number in range(12):
            births = (NO_BIRTH_IN_ENTRY, NO_BIRTH_IN_REPORT, ODD_BIRTH_IN_REPORT)[number % 3]
            _restart(site, number, f"v{3 + number}", HEARTBEAT_S, births)
            start_unlimited_streams(site, 3)
            site.run_for(1.0)
        return site.settle()


RESTARTS = (
    restarts_are_seen_soon,
    runners_restart_twice_within_a_heartbeat,
    runners_return_to_their_version,
    all_runners_restart,
    fronts_are_killed_between_restart_and_entry,
    restarts_do_not_tell_their_births,
)


def _trust_entry(entry: ServiceRunner, *_arguments: object) -> str:
    return entry.software_version


async def _find_without_version(
    _origins: StreamOriginClient, *_arguments: object
) -> StreamOrigin | Refusal:
    return StreamOrigin(STREAM_SERVICE, "")


async def _guess_version(
    _origins: StreamOriginClient, *_arguments: object
) -> StreamOrigin | Refusal:
    return StreamOrigin(STREAM_SERVICE, FIRST_SOFTWARE_VERSION)


async def _refuse_to_find(
    _origins: StreamOriginClient, *_arguments: object
) -> StreamOrigin | Refusal:
    return Refusal(ErrorKind.STREAM_UNKNOWN, "")


async def _claim_recorded(_recorder: OriginRecorder, *_arguments: object) -> bool:
    return True


async def _confirm_unrecorded(recorder: OriginRecorder, answering: AnsweringProcess) -> bool:
    if not recorder._is_bound_to(answering.software_version):
        return False
    await recorder._record(answering, 0)
    return True


@contextlib.contextmanager
def _answer_unrecorded() -> Iterator[None]:
    with (
        mock.patch.object(OriginRecorder, "confirm_of_call", _confirm_unrecorded),
        mock.patch.object(OriginRecorder, "reject_if_not_recordable", lambda _recorder: None),
    ):
        yield


STREAM_DEFECTS: dict[str, Defect] = {
    "streams that are no turns are answered unrecorded": Defect(
        Rule.VERSION,
        fronts_lose_power_behind_a_silent_turn_log,
        _answer_unrecorded,
    ),
    "a resumed stream is placed like a new one": Defect(
        Rule.VERSION, fronts_are_killed, patch(StreamOriginClient, "find", _find_without_version)
    ),
    "the version of a resumed stream is guessed": Defect(
        Rule.VERSION, streams_are_cut, patch(StreamOriginClient, "find", _guess_version)
    ),
    "the runner that answered is not recorded": Defect(
        Rule.VERSION,
        runners_reject_what_was_placed,
        patch(OriginRecorder, "_record", _claim_recorded),
    ),
    "every resumed stream is rejected": Defect(
        Rule.RESUMED, streams_are_cut, patch(StreamOriginClient, "find", _refuse_to_find)
    ),
    "the version that an entry names counts as proven": Defect(
        Rule.VERSION,
        runners_restart_with_another_version,
        patch(
            RunnerPlacement, "proven_version", lambda _self, record, _: _trust_entry(record.listed)
        ),
    ),
    "no version is ever proven": Defect(
        Rule.RESUMED,
        streams_are_cut,
        patch(RunnerPlacement, "proven_version", lambda *_arguments: NOT_PROVEN),
    ),
    "origins are not stored": Defect(
        Rule.RESUMED, streams_are_cut, patch(StreamOrigins, "_put", lambda *_: None)
    ),
}
