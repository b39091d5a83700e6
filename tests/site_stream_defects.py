"""Injected defects of resumed streams and the simulated scenarios that must detect them."""

import contextlib
from collections.abc import Iterator

from bendshed.errors import ErrorKind, Refusal
from bendshed.model.stream_origin import StreamOrigin
from bendshed.rehearsal.site.documents import STREAM_SERVICE
from bendshed.rehearsal.site.oracle import Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.runner import FIRST_SOFTWARE_VERSION
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.services.stream_origins import OriginRecorder, StreamOriginClient
from bendshed.turns.stream_origins import StreamOrigins
from tests.site_defects import Defect, patch

STREAMS = ProgramPlan(turns=0, tools=0, streams=3)
NEXT_VERSION = "v2"
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


STREAM_DEFECTS: dict[str, Defect] = {
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
    "origins are not stored": Defect(
        Rule.RESUMED, streams_are_cut, patch(StreamOrigins, "_put", lambda *_: None)
    ),
}
