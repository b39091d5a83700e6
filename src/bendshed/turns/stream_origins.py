"""Which service and software version began each stream that may be resumed. Pure.

Replicated as a part of the turn log's state; time is the log's clock.
"""

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Self

from bendshed.model.runner import RunnerProcess
from bendshed.turns.methods import TenantScopedId
from bendshed.wire import turns_pb2 as wire

ORIGINS_PER_PART = 256
"""Origins in one part of a snapshot; bounds the memory of a part."""


@dataclass(frozen=True, slots=True)
class StoredOrigin:
    """The origin of one stream.

    Attributes:
        software_version: empty: not known, so that the stream is not continued.
        is_confirmed: the front reported the runner that answered; otherwise it is the runner that
            was expected when the turn began.
        recorded_ms, expires_ms: by the log's clock.
        process: the process that began the stream, where its version was not proven; ``None``: not
            recorded.
        route: host and path prefix of its route; empty: its front named none.

    """

    service: str
    software_version: str
    is_confirmed: bool
    recorded_ms: int
    expires_ms: int
    process: RunnerProcess | None = None
    route: str = ""


@dataclass(frozen=True, slots=True)
class _ServiceVersion:
    """What the streams of a group share, if they share it."""

    service: str
    software_version: str


class StreamOrigins:
    """Origins by the request id of the client attempt that brought the first event.

    Invariant: an expected origin never replaces one that is recorded, so that a late copy of a
    begin changes nothing.
    """

    def __init__(self) -> None:
        self._origins: dict[TenantScopedId, StoredOrigin] = {}
        self._by_service: dict[str, Counter[_ServiceVersion]] = {}
        self._by_route: dict[str, Counter[_ServiceVersion]] = {}
        self._without_route: dict[str, Counter[_ServiceVersion]] = {}
        self._awaited_until_ms: dict[str, dict[_ServiceVersion, int]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record_expected(
        self, stream: TenantScopedId, origin: wire.StreamOrigin, now_ms: int
    ) -> None:
        """Record the origin that a begin expects, unless one is recorded."""
        if stream not in self._origins:
            self._put(stream, origin, False, now_ms)

    def record_confirmed(
        self, stream: TenantScopedId, origin: wire.StreamOrigin, now_ms: int
    ) -> None:
        """Record the origin that the stream's front reported."""
        self._put(stream, origin, True, now_ms)

    def _put(
        self, stream: TenantScopedId, origin: wire.StreamOrigin, is_confirmed: bool, now_ms: int
    ) -> None:
        self._remove(stream)
        stored = StoredOrigin(
            sys.intern(origin.service),  # few distinct texts, thousands of entries
            sys.intern(origin.software_version),
            is_confirmed,
            now_ms,
            now_ms + origin.ttl_ms,
            RunnerProcess(origin.runner_id, origin.born_ms) if origin.runner_id else None,
            sys.intern(origin.route),
        )
        self._origins[stream] = stored
        self._count(stored, 1)

    def _remove(self, stream: TenantScopedId) -> None:
        stored = self._origins.pop(stream, None)
        if stored is not None:
            self._count(stored, -1)

    def _count(self, stored: StoredOrigin, change: int) -> None:
        """Count a stream among those of its service, and of its route if its front named one."""
        shared = _ServiceVersion(stored.service, stored.software_version)
        groups = [(self._by_service, stored.service)]
        if stored.route:
            groups.append((self._by_route, stored.route))
        else:
            groups.append((self._without_route, stored.service))
        for counters, name in groups:
            counter = counters.setdefault(name, Counter())
            counter[shared] += change
            if not counter[shared]:
                del counter[shared]
            if not counter:
                del counters[name]

    def add_to_reply(self, reply: wire.TurnReply, stream: TenantScopedId, now_ms: int) -> None:
        """Add a stream's origin to a reply; without one, the reply names none."""
        found = self._origins.get(stream)
        if found is None or found.expires_ms < now_ms:
            return
        reply.origin.service = found.service
        reply.origin.software_version = found.software_version
        _add_process(reply.origin, found.process)
        reply.is_origin_confirmed = found.is_confirmed
        reply.origin_age_ms = now_ms - found.recorded_ms

    def add_common_to_reply(
        self, reply: wire.TurnReply, request: wire.FindOrigin, now_ms: int
    ) -> None:
        """Add the origin that all streams of a route share; none: no stream is recorded.

        Streams whose fronts named no route may be of this one if they are of its service. Without a
        route, the requesting front is of such a build: all streams of the service count. A reply
        without a version says that there are several origins, or one that is not known.

        The client may come back, with a stream of any of these origins: they count on for as long
        as it waits, whether or not they are recorded then.
        """
        service, route = request.service, request.route
        awaited = self._awaited_until_ms.setdefault(route or service, {})
        found = {shared for shared, until_ms in awaited.items() if until_ms >= now_ms}
        if route:
            found.update(self._by_route.get(route, ()), self._without_route.get(service, ()))
        else:
            found.update(self._by_service.get(service, ()))
        for shared in found if request.wait_ms else ():
            awaited[shared] = max(awaited.get(shared, 0), now_ms + request.wait_ms)
        if not found:
            return
        shared = next(iter(found))
        is_sole = len(found) == 1
        reply.origin.service = shared.service if is_sole else service
        reply.origin.software_version = shared.software_version if is_sole else ""

    def sweep(self, now_ms: int) -> None:
        """Remove expired origins."""
        expired = [name for name, stored in self._origins.items() if stored.expires_ms < now_ms]
        for stream in expired:
            self._remove(stream)
        self._awaited_until_ms = {
            group: kept
            for group, awaited in self._awaited_until_ms.items()
            if (kept := {name: until for name, until in awaited.items() if until >= now_ms})
        }

    def snapshot_parts(self) -> Iterator[wire.TurnLogSnapshot]:
        """Yield snapshot parts of up to ``ORIGINS_PER_PART`` origins."""
        part = wire.TurnLogSnapshot()
        for group, awaited in self._awaited_until_ms.items():
            for shared, until_ms in awaited.items():
                part.awaited_origins.add(
                    group=group,
                    service=shared.service,
                    software_version=shared.software_version,
                    until_ms=until_ms,
                )
        for (tenant, request_id), stored in self._origins.items():
            origin = wire.StreamOrigin(
                service=stored.service,
                software_version=stored.software_version,
                ttl_ms=stored.expires_ms - stored.recorded_ms,
                route=stored.route,
            )
            _add_process(origin, stored.process)
            part.origins.add(
                tenant=tenant,
                request_id=request_id,
                origin=origin,
                is_confirmed=stored.is_confirmed,
                recorded_ms=stored.recorded_ms,
            )
            if len(part.origins) == ORIGINS_PER_PART:
                yield part
                part = wire.TurnLogSnapshot()
        if part.origins or part.awaited_origins:
            yield part

    @classmethod
    def from_snapshot(cls, snapshot: wire.TurnLogSnapshot) -> Self:
        """Rebuild the origins from a snapshot."""
        origins = cls()
        for row in snapshot.origins:
            stream = (row.tenant, row.request_id)
            origins._put(stream, row.origin, row.is_confirmed, row.recorded_ms)
        for awaited in snapshot.awaited_origins:
            shared = _ServiceVersion(awaited.service, awaited.software_version)
            group = origins._awaited_until_ms.setdefault(awaited.group, {})
            group[shared] = awaited.until_ms
        return origins


def _add_process(origin: wire.StreamOrigin, process: RunnerProcess | None) -> None:
    if process is not None:
        origin.runner_id, origin.born_ms = process.runner_id, process.born_ms
