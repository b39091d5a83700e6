"""Converts objects of the metadata store to and from the product's types."""

from typing import Any

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
from bendshed.ports.registry_objects import RegistryFormat


def read_document(spec: Any) -> ServiceDocument:
    """Parse the configuration; raise ``KeyError``, ``ValueError`` or ``TypeError``."""
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
    """Parse a runner's entry."""
    row = item.spec
    return ServiceRunner(
        runner_id=item.name,
        service=str(row["service"]),
        address=Address.parse(str(row["addr"])),
        zone=str(row.get("zone") or ""),
        slots=int(row.get("slots") or 1),
        state=RunnerState.READY if row.get("state") == "ready" else RunnerState.DRAINING,
        cold_left_ms=int(row.get("coldLeftMs") or 0),
        software_version=row["version"] if isinstance(row.get("version"), str) else "",
        born_ms=birth_ms(row.get("born")),
    )


def write_replica(node: ReplicaNode) -> dict[str, str]:
    """Encode a replica machine's announcement."""
    return {"nodeId": node.node_id, "addr": str(node.address), "zone": node.zone}


def read_replica(item: StoredObject) -> ReplicaNode:
    """Parse a replica machine's announcement."""
    row = item.spec
    return ReplicaNode(
        item.name, str(row["nodeId"]), Address.parse(str(row["addr"])), str(row["zone"])
    )


REGISTRY_FORMAT = RegistryFormat(
    names.RUNNER_KIND,
    names.CONFIGURATION_KIND,
    names.CONFIGURATION_NAME,
    names.REPLICA_KIND,
    names.RETIREMENT_KIND,
    names.CLOSED_ZONE_KIND,
    read_document,
    read_runner,
    read_replica,
)
