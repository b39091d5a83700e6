"""The configuration of rehearsed sites."""

from bendshed.rehearsal.site.runner import EVENT_TOKENS
from bendshed.services.document import (
    EngineFeatures,
    Route,
    RouteKind,
    Service,
    ServiceDocument,
    WeightedService,
)

SITE_HOST = "site"
RETENTION_MS = 60_000


def make_document(version: int) -> ServiceDocument:
    """Three routes: turns, repeatable calls, unrepeatable calls."""
    turn = Route(
        name="turns",
        host=SITE_HOST,
        path_prefix="/turn/",
        kind=RouteKind.STREAM,
        timeout_ms=4000,
        target_ms=200,
        priority=1,
        targets=(WeightedService("engines", 1),),
        keeps_turns=True,
        retention_ms=RETENTION_MS,
        is_sticky=True,
    )
    routes = (
        turn,
        _plain("repeatable", RouteKind.IDEMPOTENT, 2),
        _plain("unrepeatable", RouteKind.NON_IDEMPOTENT, 1),
    )
    services = {
        "engines": Service("engines", engine=EngineFeatures(8, EVENT_TOKENS)),
        "tools": Service("tools"),
    }
    return ServiceDocument(version, routes, services)


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
