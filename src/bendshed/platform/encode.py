"""Encodes documents, runner entries and settings as operators and runners do, for simulators."""

from collections.abc import Mapping, Sequence
from typing import Any

import yaml

from bendshed.model.address import Address
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import Route, Service, ServiceDocument, Tenant


def write_document(
    document: ServiceDocument, keys: Mapping[str, Sequence[str]] | None = None
) -> dict[str, Any]:
    """Encode a configuration as an operator does; ``keys``: API keys by tenant name."""
    limits = document.limits
    content: dict[str, Any] = {
        "version": document.version,
        "routes": [_write_route(route) for route in document.routes],
        "services": [_write_service(service) for service in document.services.values()],
        "limits": {
            "maxHeaderBytes": limits.max_header_bytes,
            "maxBodyBytes": limits.max_body_bytes,
            "headerTimeoutMs": limits.header_timeout_ms,
            "idleTimeoutMs": limits.idle_timeout_ms,
        },
    }
    if document.tenants:
        keys_by_tenant = keys or {}
        content["tenants"] = [
            _write_tenant(row, keys_by_tenant.get(row.name, ())) for row in document.tenants
        ]
    return content


def _write_tenant(tenant: Tenant, keys: Sequence[str]) -> dict[str, Any]:
    return {
        "name": tenant.name,
        "apiKeys": list(keys),
        "priority": tenant.priority,
        "ratePerS": tenant.rate_per_s,
        "burst": tenant.burst,
    }


def _write_route(route: Route) -> dict[str, Any]:
    row: dict[str, Any] = {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": route.kind.value,
        "timeoutMs": route.timeout_ms,
        "targetMs": route.target_ms,
        "priority": route.priority,
        "maxAttempts": route.max_attempts,
        "retain": route.keeps_turns,
        "retainS": route.retention_ms / 1000,
        "sticky": route.is_sticky,
        "resumable": route.is_resumable,
        "gapTargetMs": route.gap_target_ms,
        "public": route.is_public,
    }
    if len(route.targets) == 1:
        row["service"] = route.targets[0].service
    else:
        row["split"] = [{"service": t.service, "weight": t.weight} for t in route.targets]
    return row


def _write_service(service: Service) -> dict[str, Any]:
    row: dict[str, Any] = {
        "name": service.name,
        "healthPath": service.health_path,
        "maxConns": service.max_connections,
        "coldPerS": service.cold_per_s,
        "coldStartS": service.cold_start_ms / 1000,
    }
    if service.engine is not None:
        row["engine"] = {
            "slots": service.engine.slots,
            "eventTokens": service.engine.event_tokens,
        }
    return row


def write_runner(runner: ServiceRunner) -> dict[str, Any]:
    """Encode a runner's entry as the runner does."""
    return {
        "service": runner.service,
        "addr": str(runner.address),
        "zone": runner.zone,
        "slots": runner.slots,
        "state": runner.state.value,
        "version": runner.software_version,
        "coldLeftMs": runner.cold_left_ms,
        "seq": 1,
        **({"born": runner.born_ms} if runner.born_ms else {}),
    }


def write_settings(
    name: str,
    zone: str,
    ports: tuple[int, int, int],
    store: Address,
    host: str,
    data_folder: str | None,
    zone_close_ms: int | None = None,
) -> str:
    """Encode the settings file of one process; ``ports``: for peers, clients and readiness."""
    peer_port, front_port, ready_port = ports
    listen = {"front": f"{host}:{front_port}", "ready": f"{host}:{ready_port}"}
    content = {
        "nodeName": name,
        "ip": host,
        "zone": zone,
        "listen": {} if data_folder is not None else listen,
        "portRange": [peer_port, peer_port],
        "bootstrap": True,
        "dataDir": data_folder,
        "faultTolerance": {"machines": 1},
        "bounds": {"evacMs": zone_close_ms},
        "platform": {"addr": str(store)},
    }
    return yaml.safe_dump(content)
