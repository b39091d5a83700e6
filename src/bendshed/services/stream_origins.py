"""Finds the origin of a stream that a caller resumes, and records it before the first event.

The turn log remembers origins. A turn's begin contains the expected one, which costs no message;
this module corrects it if another runner answered. Invariant: an event goes to the caller only if
the recorded origin names the version that wrote it, or names none, so that the stream is not
resumed. Source: docs/design/0013.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.runner import RunnerProcess, ServiceRunner
from bendshed.model.service_document import Route
from bendshed.model.stream_origin import StreamOrigin
from bendshed.placement.proven_version import version_of_process
from bendshed.ports.runner import ServiceRequest
from bendshed.turns.client import TurnClient
from bendshed.turns.group_locator import GroupLocator
from bendshed.wire import turns_pb2 as wire

ORIGIN_TIMEOUT_S = 0.6
"""Timeout of reading or recording an origin; outlasts an election of the group. Both delay the
first event, and a caller that is refused soon can begin again from the start."""

MAX_TTL_MS = 600_000
"""Upper bound on the time for which an origin is remembered, whatever a caller states."""
UNKNOWN_VERSION = "the software version that began the stream is not known"

log = PartLog("origins")


def ttl_ms(request: ServiceRequest, route: Route) -> int:
    """How long a stream may be resumed: as long as its caller waits for the whole of it."""
    return min(MAX_TTL_MS, max(request.wait_ms or 0, route.timeout_ms))


def route_key(route: Route) -> str:
    """What tells a route from others, whatever it is called."""
    return route.host + route.path_prefix


@dataclass(frozen=True, slots=True)
class AnsweringProcess:
    """The process that responds to a request.

    Attributes:
        software_version: proven for it; empty: not proven.
        process: which one it is; ``None``: it did not report its start.

    """

    software_version: str
    process: RunnerProcess | None = None

    @property
    def origin_process(self) -> RunnerProcess | None:
        """The process to record: only where its version is not proven."""
        return None if self.software_version else self.process


def is_resumed(request: ServiceRequest, route: Route) -> bool:
    """Whether a request continues a stream; other routes ignore the caller's event id."""
    return bool(request.last_event_id) and route.is_resumable


@dataclass(frozen=True, slots=True)
class StreamOriginClient:
    """Reads and records origins in the turn log."""

    client: TurnClient
    group_locator: GroupLocator

    async def find_on_route(
        self,
        request: ServiceRequest,
        route: Route,
        tenant: str,
        service: str,
        left_s: float,
        find_entry: Callable[[str], ServiceRunner | None],
    ) -> StreamOrigin | Refusal:
        """Return the origin of the stream that a request resumes, with its version.

        Args:
            request, tenant, left_s: as for ``find``.
            service: the one that the split of the route gives now.
            route: kind ``VERSION_GONE`` if it does not lead to the origin's service any more.
            find_entry: entry of a runner; kind ``VERSION_UNPROVEN`` if that of the process which
                began the stream is not written yet.

        """
        found = await self.find(request, route, tenant, service, left_s)
        origin = found if isinstance(found, Refusal) else _with_version(found, find_entry)
        if isinstance(origin, Refusal):
            return origin
        if all(target.service != origin.service for target in route.targets):
            detail = f"the route does not lead to {origin.service} any more"
            return Refusal(ErrorKind.VERSION_GONE, detail)
        return origin

    async def find(
        self, request: ServiceRequest, route: Route, tenant: str, service: str, left_s: float
    ) -> StreamOrigin | Refusal:
        """Return the origin of the stream that a request resumes.

        A caller that does not name the stream gets the origin that all streams of the route share,
        whichever services it led to, if they share one.

        Kinds: ``STREAM_UNKNOWN``; ``TURN_LOG_UNAVAILABLE`` if a group that may know it did not
        answer in time.
        """
        if self.client.is_isolated:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "no other node answers this one")
        find = wire.FindOrigin(tenant=tenant, request_id=request.resumes)
        if not request.resumes:
            find.service, find.route = service, route_key(route)
            find.wait_ms = ttl_ms(request, route)
        found: set[StreamOrigin] = set()
        first = self.group_locator.group_of(tenant, request.program_id, "")
        for group in (first, *self.group_locator.others(tenant, first)):
            command = wire.TurnCommand(find_origin=find, group=group)
            timeout_s = min(ORIGIN_TIMEOUT_S, left_s)
            reply = await self._commit(command, request.request_id, timeout_s)
            if reply is None:
                detail = "a group that may know the stream is silent"
                return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, detail)
            if reply.HasField("origin"):
                found.add(_origin_of(reply, request, group))
            if found and request.resumes:
                break
        return _sole_origin(found)

    async def record(
        self, request_id: str, tenant: str, group: int, origin: wire.StreamOrigin
    ) -> bool:
        """Record the origin of a stream; ``False``: not known to be recorded in time."""
        record = wire.RecordOrigin(tenant=tenant, request_id=request_id, origin=origin)
        command = wire.TurnCommand(record_origin=record, group=group)
        return await self._commit(command, request_id, ORIGIN_TIMEOUT_S) is not None

    async def _commit(
        self, command: wire.TurnCommand, request_id: str, timeout_s: float
    ) -> wire.TurnReply | None:
        try:
            return await self.client.command(command, timeout_s)
        except GroupUnavailable as error:
            log.say(
                "no leader answered",
                request=request_id,
                command=command.WhichOneof("command"),
                group=command.group,
                reason=str(error),
            )
            return None


def _with_version(
    origin: StreamOrigin, find_entry: Callable[[str], ServiceRunner | None]
) -> StreamOrigin | Refusal:
    """Add the version of the process that began a stream, if its entry names it by now."""
    if origin.process is None:
        return origin
    version = version_of_process(origin.process, find_entry(origin.process.runner_id))
    if version is None:
        return Refusal(ErrorKind.STREAM_UNKNOWN, UNKNOWN_VERSION)
    if not version:
        detail = f"{origin.process.runner_id} has just started and is not listed with its version"
        return Refusal(ErrorKind.VERSION_UNPROVEN, detail)
    return StreamOrigin(origin.service, version)


def _origin_of(reply: wire.TurnReply, request: ServiceRequest, group: int) -> StreamOrigin:
    found = reply.origin
    process = RunnerProcess(found.runner_id, found.born_ms) if found.runner_id else None
    origin = StreamOrigin(found.service, found.software_version, process)
    source = "answer" if reply.is_origin_confirmed else "placement"
    log.say(
        "stream bound to its version",
        request=request.request_id,
        resumes=request.resumes,
        service=origin.service,
        software_version=origin.software_version,
        runner=found.runner_id,
        born_ms=found.born_ms,
        source=source if request.resumes else "all streams",
        age_ms=reply.origin_age_ms,
        group=group,
    )
    return origin


def _sole_origin(found: Collection[StreamOrigin]) -> StreamOrigin | Refusal:
    """The origin that was found, if it is one and names a version."""
    if not found:
        return Refusal(ErrorKind.STREAM_UNKNOWN, "nothing is known of the stream")
    origin = next(iter(found))
    if len(found) > 1 or not (origin.software_version or origin.process):
        return Refusal(ErrorKind.STREAM_UNKNOWN, UNKNOWN_VERSION)
    return origin


@dataclass(slots=True)
class OriginRecorder:
    """The origin of one stream that may be resumed.

    Attributes:
        expected: origin that the turn's begin contains; without a version if it is not known.
        bound_version: version that began the stream which the request resumes; empty: a new stream.

    """

    origins: StreamOriginClient
    request: ServiceRequest
    tenant: str
    expected: wire.StreamOrigin
    bound_version: str

    async def confirm_of_turn(
        self, begun: wire.TurnReply, group: int, answering: AnsweringProcess
    ) -> bool:
        """Confirm the origin of a turn before its first event; ``False``: no event may be sent.

        Args:
            begun: reply to the turn's begin. A leader of an earlier build names no origin in it,
                but hands the expected one on to replicas that record it.
            group: group that committed the begin.
            answering: the process that answered.

        """
        version = answering.software_version
        if not self._is_bound_to(version):
            return False
        recorded = begun.origin if begun.HasField("origin") else self.expected
        recorded_version = recorded.software_version
        if recorded_version == version and answering.origin_process is None:
            return True
        is_recorded = await self._record(answering, group)
        return is_recorded or not recorded_version

    def reject_if_not_recordable(self) -> Refusal | None:
        """Refuse a stream that is no turn while the turn log does not answer."""
        if self.origins.client.unreachable_since_s is None:
            return None
        detail = "the version of a stream that may be resumed cannot be recorded"
        return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, detail)

    async def confirm_of_call(self, answering: AnsweringProcess) -> bool:
        """The same for a stream that is not a turn, of which nothing is recorded yet.

        One of an unproven version is recorded too: a caller that names no attempt is bound to the
        version of all recorded streams.
        """
        if not self._is_bound_to(answering.software_version):
            return False
        group = self.origins.group_locator.group_of(self.tenant, self.request.program_id, "")
        return await self._record(answering, group)

    def _is_bound_to(self, version: str) -> bool:
        return not self.bound_version or version == self.bound_version

    async def _record(self, answering: AnsweringProcess, group: int) -> bool:
        version, process = answering.software_version, answering.origin_process
        origin = wire.StreamOrigin(
            service=self.expected.service,
            software_version=version,
            ttl_ms=self.expected.ttl_ms,
            route=self.expected.route,
        )
        if process is not None:
            origin.runner_id, origin.born_ms = process.runner_id, process.born_ms
        is_recorded = await self.origins.record(self.request.request_id, self.tenant, group, origin)
        log.say(
            "origin recorded: not the expected one" if is_recorded else "origin not recorded",
            request=self.request.request_id,
            expected_version=self.expected.software_version,
            software_version=version,
            group=group,
        )
        return is_recorded
