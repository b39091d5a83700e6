"""The configuration of rehearsed sites."""

from dataclasses import dataclass, replace

from bendshed.admission.quota_limits import QuotaTolerance
from bendshed.identifiers import credential_digest
from bendshed.model.service_document import (
    EngineFeatures,
    Route,
    RouteKind,
    Service,
    ServiceDocument,
    Tenant,
    WeightedService,
)
from bendshed.rehearsal.site.cold import COLD_PER_S, COLD_START_S
from bendshed.rehearsal.site.runner import EVENT_TOKENS

SITE_HOST = "site"
STREAM_SERVICE = "engines"
TURN_TIMEOUT_MS = 4_000
RETENTION_MS = 60_000
NARROW, WIDE, GUEST = "narrow", "wide", "guest"
"""Tenants: one with a limit that programs reach, one without, one whose key may be removed."""
QUOTA_TERMS = QuotaTolerance(window_s=5.0, excess_share=0.1, slack=5.0)
NARROW_RATE_PER_S, NARROW_BURST = 2.0, 4.0


def key_of(tenant: str) -> str:
    """The credential that a tenant's clients send."""
    return f"key-of-{tenant}"


def all_keys() -> dict[str, list[str]]:
    """Credentials by tenant, as an operator writes them."""
    return {tenant: [key_of(tenant)] for tenant in (NARROW, WIDE, GUEST)}


def narrow_most() -> float:
    """Requests of the narrow tenant that may run in any window."""
    own = NARROW_RATE_PER_S * QUOTA_TERMS.window_s + NARROW_BURST
    return own * (1 + QUOTA_TERMS.excess_share) + QUOTA_TERMS.slack


@dataclass(frozen=True, slots=True)
class TurnRouteTimes:
    """What operators change of the route that stores turns, in ms."""

    timeout_ms: int = TURN_TIMEOUT_MS
    retention_ms: int = RETENTION_MS


def make_document(
    version: int,
    has_guest: bool = True,
    has_tenants: bool = True,
    times: TurnRouteTimes = TurnRouteTimes(),
) -> ServiceDocument:
    """Turns of two kinds, repeatable and unrepeatable calls; two or three tenants, or none."""
    turn = Route(
        name="turns",
        host=SITE_HOST,
        path_prefix="/turn/",
        kind=RouteKind.STREAM,
        timeout_ms=times.timeout_ms,
        target_ms=200,
        priority=1,
        targets=(WeightedService(STREAM_SERVICE, 1),),
        keeps_turns=True,
        retention_ms=times.retention_ms,
        is_sticky=True,
    )
    resumable = replace(
        turn,
        name="resumable",
        path_prefix="/resumable/",
        timeout_ms=TURN_TIMEOUT_MS,
        keeps_turns=False,
        retention_ms=0,
        is_resumable=True,
    )
    routes = (
        turn,
        resumable,
        replace(resumable, name="resumable-call", path_prefix="/resumable-call/"),
        _plain("repeatable", RouteKind.IDEMPOTENT, 2),
        _plain("unrepeatable", RouteKind.NON_IDEMPOTENT, 1),
    )
    services = {
        "engines": _service("engines", EngineFeatures(8, EVENT_TOKENS)),
        "tools": _service("tools"),
    }
    tenants = [
        Tenant(
            NARROW,
            (credential_digest(key_of(NARROW)),),
            rate_per_s=NARROW_RATE_PER_S,
            burst=NARROW_BURST,
        ),
        Tenant(WIDE, (credential_digest(key_of(WIDE)),)),
    ]
    if has_guest:
        tenants.append(Tenant(GUEST, (credential_digest(key_of(GUEST)),)))
    named = tuple(tenants) if has_tenants else ()
    return ServiceDocument(version, routes, services, tenants=named)


def _service(name: str, engine: EngineFeatures | None = None) -> Service:
    cold_ms = int(1000 * COLD_START_S)
    return Service(name, engine=engine, cold_per_s=COLD_PER_S, cold_start_ms=cold_ms)


def _plain(name: str, kind: RouteKind, attempts: int) -> Route:
    return Route(
        name=name,
        host=SITE_HOST,
        path_prefix=f"/{name}/",
        kind=kind,
        timeout_ms=2000,
        target_ms=200,
        priority=2,
        targets=(WeightedService("tools", 1),),
        max_attempts=attempts,
    )
