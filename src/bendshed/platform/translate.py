"""Converts objects of the metadata store to and from the product's types."""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

from bendshed.identifiers import credential_digest
from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner, birth_ms
from bendshed.model.service_document import (
    ClientLimits,
    EngineFeatures,
    Route,
    RouteKind,
    Service,
    ServiceDocument,
    Tenant,
    WeightedService,
)
from bendshed.platform import names
from bendshed.ports.objects import StoredObject
from bendshed.ports.registry import ReplicaNode
from bendshed.ports.registry_objects import RegistryFormat, UnreadableObject

MAX_FIGURE = 2**31 - 1
"""Larger figures do not fit the messages between nodes."""
READ_ERRORS = (KeyError, ValueError, TypeError, AttributeError, OverflowError)
"""What a reader raises for content of another form; ``msgspec.ValidationError`` is one of these."""

ReadT = TypeVar("ReadT")
Figure = Annotated[int, msgspec.Meta(ge=0, le=MAX_FIGURE)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class RunnerEntry(msgspec.Struct, rename={"cold_left_ms": "coldLeftMs"}):
    """A runner's entry. It can be used whatever the fields of type ``Any`` hold.

    Attributes:
        state: any other text than ``ready`` means that the runner gets no new request.
        version, born: empty or not known if they are of another type.

    """

    service: Text
    addr: Text
    zone: str | None = None
    slots: Figure | None = None
    state: Any = None
    cold_left_ms: Milliseconds | None = None
    version: Any = None
    born: Any = None


class ReplicaEntry(msgspec.Struct, rename={"node_id": "nodeId"}):
    """A replica machine's announcement."""

    node_id: Text
    addr: Text
    zone: str


def read_document(spec: Any) -> ServiceDocument:
    """Parse the configuration; raise one of ``READ_ERRORS``."""
    services = [_read_service(row) for row in spec["services"]]
    return ServiceDocument(
        version=int(spec["version"]),
        routes=tuple(_read_route(row) for row in spec["routes"]),
        services={service.name: service for service in services},
        limits=_read_limits(spec.get("limits") or {}),
        tenants=tuple(_read_tenant(row) for row in spec.get("tenants") or ()),
    )


def _read_route(row: Any) -> Route:
    split = row.get("split") or [{"service": row["service"], "weight": 1}]
    timeout_ms = int(row["timeoutMs"])
    return Route(
        name=str(row["name"]),
        host=str(row["host"]),
        path_prefix=str(row["pathPrefix"]),
        kind=RouteKind(row["kind"]),
        timeout_ms=timeout_ms,
        target_ms=int(row.get("targetMs") or timeout_ms),
        priority=int(row.get("priority") or 0),
        targets=tuple(
            WeightedService(str(part["service"]), float(part["weight"])) for part in split
        ),
        max_attempts=max(1, int(row.get("maxAttempts") or 1)),
        keeps_turns=bool(row.get("retain")),
        retention_ms=int(float(row.get("retainS") or 0) * 1000),
        is_sticky=bool(row.get("sticky")),
        is_resumable=bool(row.get("resumable")),
        gap_target_ms=int(row.get("gapTargetMs") or 0),
        is_public=bool(row.get("public")),
        allowed_regions=_read_regions(row),
    )


def _read_tenant(row: Any) -> Tenant:
    """Parse a tenant; API keys are kept only as digests."""
    return Tenant(
        name=str(row["name"]),
        credentials=tuple(credential_digest(str(key)) for key in row.get("apiKeys") or ()),
        priority=int(row.get("priority") or 0),
        rate_per_s=float(row.get("ratePerS") or 0),
        burst=float(row.get("burst") or 0),
        allowed_regions=_read_regions(row),
    )


def _read_regions(row: Any) -> tuple[str, ...]:
    return tuple(sorted(str(region) for region in row.get("allowedRegions") or ()))


def _read_service(row: Any) -> Service:
    engine = row.get("engine")
    return Service(
        name=str(row["name"]),
        health_path=str(row.get("healthPath") or ""),
        max_connections=int(row.get("maxConns") or 0),
        engine=_read_engine(engine) if engine else None,
        cold_per_s=float(row.get("coldPerS") or 0),
        cold_start_ms=int(float(row.get("coldStartS") or 0) * 1000),
    )


def _read_engine(row: Any) -> EngineFeatures:
    return EngineFeatures(
        slots=int(row.get("slots") or 1),
        event_tokens=int(row.get("eventTokens") or 1),
        memory_tokens=int(row.get("kvCapTokens") or 0),
    )


def _read_limits(row: Any) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=int(row.get("maxHeaderBytes") or defaults.max_header_bytes),
        max_body_bytes=int(row.get("maxBodyBytes") or defaults.max_body_bytes),
        header_timeout_ms=int(row.get("headerTimeoutMs") or defaults.header_timeout_ms),
        idle_timeout_ms=int(row.get("idleTimeoutMs") or defaults.idle_timeout_ms),
    )


def read_runner(item: StoredObject) -> ServiceRunner:
    """Parse a runner's entry; raise one of ``READ_ERRORS``."""
    entry = msgspec.convert(item.spec, RunnerEntry)
    return ServiceRunner(
        runner_id=item.name,
        service=entry.service,
        address=_read_address(entry.addr),
        zone=entry.zone or "",
        slots=entry.slots or 1,
        state=RunnerState.READY if entry.state == "ready" else RunnerState.DRAINING,
        cold_left_ms=int(entry.cold_left_ms or 0),
        software_version=entry.version if isinstance(entry.version, str) else "",
        born_ms=birth_ms(entry.born),
    )


def _read_address(text: str) -> Address:
    address = Address.parse(text)
    if not address.host or not 0 < address.port < 2**16:
        raise ValueError(f"addr: {text} is not IP:PORT")
    return address


def write_replica(node: ReplicaNode) -> dict[str, str]:
    """Encode a replica machine's announcement."""
    return {"nodeId": node.node_id, "addr": str(node.address), "zone": node.zone}


def read_replica(item: StoredObject) -> ReplicaNode:
    """Parse a replica machine's announcement; raise one of ``READ_ERRORS``."""
    entry = msgspec.convert(item.spec, ReplicaEntry)
    return ReplicaNode(item.name, entry.node_id, _read_address(entry.addr), entry.zone)


def _read_configuration(item: StoredObject) -> ServiceDocument:
    return read_document(item.spec)


def _safe(
    read: Callable[[StoredObject], ReadT],
) -> Callable[[StoredObject], ReadT | UnreadableObject]:
    """Return the outcome of a reader, whatever the object holds."""

    def read_safely(item: StoredObject) -> ReadT | UnreadableObject:
        try:
            return read(item)
        except READ_ERRORS as error:
            return UnreadableObject(f"{type(error).__name__}: {error}")

    return read_safely


REGISTRY_FORMAT = RegistryFormat(
    names.RUNNER_KIND,
    names.CONFIGURATION_KIND,
    names.CONFIGURATION_NAME,
    names.REPLICA_KIND,
    names.RETIREMENT_KIND,
    names.CLOSED_ZONE_KIND,
    _safe(_read_configuration),
    _safe(read_runner),
    _safe(read_replica),
)
