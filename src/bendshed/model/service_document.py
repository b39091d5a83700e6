"""What operators declare of services: routes, splits, limits. Plain frozen values."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A part of a split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go where, and how.

    Attributes:
        host, path_prefix: requests that it takes; the longest prefix of a host wins.
        timeout_ms: longest time that a request may be held.
        target_ms: time within which an answer is in time.
        priority: 0 is the most urgent.
        targets: services by weight; one without a split.
        max_attempts: runners to which one request may be sent.
        keeps_turns: turns bring only their new input; transcripts of their chains are stored here.
        retention_ms: how long a turn is stored after its answer.
        is_sticky: requests share prompt prefixes, so a session stays at its runner.
        is_resumable: a broken stream may go on at another runner.
        is_public: requests need no credential.
        allowed_regions: it is served, cached and stored only there; empty: anywhere.

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
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineFeatures:
    """What the model engines of a service can do.

    Attributes:
        slots: requests that run at once.
        event_tokens: tokens that one event of a stream holds at most.
        memory_tokens: running requests and cached prompt parts together; 0: not configured.

    """

    slots: int
    event_tokens: int
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """Runners of one kind.

    Attributes:
        cold_per_s: requests a second that a cold runner serves; 0: no bound.
        cold_start_ms: how long a runner stays cold after its start.

    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineFeatures | None = None
    cold_per_s: float = 0.0
    cold_start_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what callers send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Tenant:
    """Whose callers are admitted, and their limits.

    Attributes:
        credentials: SHA-256 of each, in hex; the credentials themselves are not stored.
        priority: 0 is the most urgent; a route's priority decides between equals.
        rate_per_s: requests a second over all nodes; 0: without limit.
        burst: requests on top of the rate in one window.
        allowed_regions: its requests are served, cached and stored only there; empty: anywhere.

    """

    name: str
    credentials: tuple[str, ...] = ()
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """The whole configuration at one version.

    Attributes:
        tenants: empty: callers need no credential.

    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()
