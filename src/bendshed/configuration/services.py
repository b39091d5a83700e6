"""Services and routes as operators declare them, validated by pydantic, and their conversion."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from bendshed.model.service_document import (
    ClientLimits,
    Route,
    RouteKind,
    Service,
    ServiceDocument,
    WeightedService,
)

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
Host = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$")]
RoutePrefix = Annotated[str, Field(pattern=r"^/([!-~]*/)?$")]
"""A path prefix that begins and ends with a slash."""
MAX_TIMEOUT_MS = 3_600_000
MAX_ATTEMPTS = 10
LEAST_URGENT_PRIORITY = 9


class _Declared(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class ServiceDeclaration(_Declared):
    """Runners of one kind; the machine list says which machines they are.

    Attributes:
        slots: requests that each runner runs concurrently.

    """

    slots: int = Field(default=8, ge=1, le=100_000)


class TargetDeclaration(_Declared):
    """A service that gets a weighted share of a route's requests."""

    service: Name
    weight: float = Field(default=1.0, gt=0, le=1_000_000)


class RouteDeclaration(_Declared):
    """Which requests go to which services; see ``bendshed.model.service_document.Route``."""

    host: Host
    path_prefix: RoutePrefix
    targets: list[TargetDeclaration] = Field(min_length=1)
    kind: Literal["idempotent", "non_idempotent", "stream"] = "non_idempotent"
    timeout_ms: int = Field(default=30_000, ge=1, le=MAX_TIMEOUT_MS)
    priority: int = Field(default=5, ge=0, le=LEAST_URGENT_PRIORITY)
    max_attempts: int = Field(default=1, ge=1, le=MAX_ATTEMPTS)
    is_sticky: bool = False


class LimitsDeclaration(_Declared):
    """Limits on requests to routes."""

    max_body_bytes: int = Field(default=4_194_304, ge=1, le=1 << 32)


def to_service_document(
    revision: int,
    services: dict[str, ServiceDeclaration],
    routes: dict[str, RouteDeclaration],
    limits: LimitsDeclaration,
) -> ServiceDocument:
    """Return the services and routes that forwarding uses at a revision."""
    return ServiceDocument(
        version=revision,
        routes=tuple(_to_route(name, declared) for name, declared in routes.items()),
        services={name: Service(name) for name in services},
        limits=ClientLimits(max_body_bytes=limits.max_body_bytes),
    )


def _to_route(name: str, declared: RouteDeclaration) -> Route:
    return Route(
        name=name,
        host=declared.host,
        path_prefix=declared.path_prefix,
        kind=RouteKind(declared.kind),
        timeout_ms=declared.timeout_ms,
        target_ms=declared.timeout_ms,
        priority=declared.priority,
        targets=tuple(
            WeightedService(target.service, target.weight) for target in declared.targets
        ),
        max_attempts=declared.max_attempts,
        is_sticky=declared.is_sticky,
    )
