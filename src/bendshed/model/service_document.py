"""The operators' declaration of services: routes, traffic splits, limits, tenants."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """How the requests of a route may be repeated or resumed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A target service of a route and its share of the traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests are forwarded to which services, and how.

    Attributes:
        host, path_prefix: requests that match the route; the longest prefix of a host wins.
        timeout_ms: maximum time for which a request may be pending.
        target_ms: response time objective.
        priority: 0 is the most urgent.
        targets: services by weight; a single one if the traffic is not split.
        max_attempts: maximum number of runners to which one request may be sent.
        keeps_turns: requests are turns that contain only their new input; the transcripts of their
            chains are stored here.
        retention_ms: how long a turn is stored after its answer.
        is_sticky: requests share prompt prefixes, so a session stays on its runner.
        is_resumable: an interrupted stream may be continued by another runner.
        is_public: requests need no credential.
        allowed_regions: regions in which requests may be served, cached and stored; empty for any.

    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    priority: int
    targets: tuple[WeightedService, ...]
    max_attempts: int = 1
    keeps_turns: bool = False
    retention_ms: int = 0
    is_sticky: bool = False
    is_resumable: bool = False
    gap_target_ms: int = 0
    is_public: bool = False
    allowed_regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again after it may have been run."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineFeatures:
    """Capacities of the model engines of a service.

    Attributes:
        slots: requests that run concurrently.
        event_tokens: maximum number of tokens in one event of a stream.
        memory_tokens: capacity for running requests and cached prompt parts together; 0 if not
            configured.

    """

    slots: int
    event_tokens: int
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A service: a group of equivalent runners.

    Attributes:
        cold_per_s: requests per second that a cold runner can serve; 0 for no limit.
        cold_start_ms: how long a runner is cold after its start.

    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineFeatures | None = None
    cold_per_s: float = 0.0
    cold_start_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and timing of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant whose callers are admitted, and its limits.

    Attributes:
        credentials: hexadecimal SHA-256 digests; the credentials themselves are not stored.
        priority: 0 is the most urgent; the route's priority decides between equal tenants.
        rate_per_s: requests per second over all nodes; 0 for no limit.
        burst: requests admitted in one window in addition to the rate.
        allowed_regions: regions in which its requests may be served, cached and stored; empty for
            any.

    """

    name: str
    credentials: tuple[str, ...] = ()
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """The complete configuration at one version.

    Attributes:
        tenants: if empty, callers need no credential.

    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()
