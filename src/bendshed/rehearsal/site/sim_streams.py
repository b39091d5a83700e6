"""Streams that clients take up again: which versions wrote them, and how many go on."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Protocol

from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.rehearsal.site.documents import STREAM_SERVICE
from bendshed.rehearsal.site.records import RESUMABLE_KINDS, SiteRecords, SiteRequest
from bendshed.rehearsal.site.runner import RunRecord, SiteRunner

MIN_RESUMED = 12
"""With fewer streams that are taken up, their share says nothing."""
NUM_SERVING = 2
"""Runners of a version that must serve before its streams are owed to go on."""


class StreamWorld(Protocol):
    """What the rules of streams need to know of a world."""

    seen: SiteRecords
    runners: dict[str, SiteRunner]
    listed: dict[str, ServiceRunner]


def has_two_runners(world: StreamWorld, request: SiteRequest) -> bool:
    """Whether two runners serve the version that began a stream; of a new one, any two."""
    if request.kind not in RESUMABLE_KINDS or not request.names_stream:
        return False
    begun = _runs_with_events(world.seen).get(request.resumes)
    serving = [
        row.software_version
        for row in world.listed.values()
        if row.service == STREAM_SERVICE and row.state is RunnerState.READY
        if not world.runners[row.runner_id].is_dead
        if world.runners[row.runner_id].software_version == row.software_version
    ]
    if not request.resumes:
        return len(serving) >= NUM_SERVING
    return begun is not None and serving.count(begun.software_version) >= NUM_SERVING


def mixed_streams(seen: SiteRecords) -> Iterable[str]:
    """Streams whose clients hold events of more than one software version."""
    runs = _runs_with_events(seen)
    versions: dict[str, set[str]] = defaultdict(set)
    for request in seen.requests:
        if request.kind in RESUMABLE_KINDS and request.num_events:
            stream = request.resumes or request.request_id
            run = runs[request.request_id]
            versions[stream].add(run.software_version)
    for stream, found in versions.items():
        if len(found) > 1:
            yield f"{stream} holds events of {', '.join(sorted(found))}"


def neglected_resumptions(seen: SiteRecords) -> Iterable[str]:
    """Resumed streams go on less than half as often as new ones begin, at machines in touch."""
    streams = [r for r in seen.requests if r.kind in RESUMABLE_KINDS and r.is_serviceable]
    resumed = [request for request in streams if request.resumes]
    new = [request for request in streams if not request.resumes]
    if len(resumed) < MIN_RESUMED or not new:
        return
    if share_served(resumed) < share_served(new) / 2:
        num_going_on = round(share_served(resumed) * len(resumed))
        yield f"{num_going_on} of {len(resumed)} resumed streams went on"


def share_served(requests: list[SiteRequest]) -> float:
    """Share of the requests that brought an event."""
    return sum(1 for request in requests if request.num_events) / len(requests)


def _runs_with_events(seen: SiteRecords) -> Mapping[str, RunRecord]:
    """The run that wrote the events of each request, by request id."""
    return {run.request_id: run for run in seen.runs if run.events}
