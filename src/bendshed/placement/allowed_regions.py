"""Intersects the regions that a request's route and its tenant allow. Pure."""

from bendshed.model.places import Places
from bendshed.model.principal import Principal
from bendshed.model.service_document import Route, ServiceDocument


def allowed_regions(route: Route, principal: Principal) -> frozenset[str] | None:
    """Regions that both the route and the tenant allow.

    ``None``: neither restricts the regions, so any is allowed; empty: the restrictions have no
    region in common, so the request cannot run.
    """
    tenant_regions = principal.tenant.allowed_regions if principal.tenant is not None else ()
    restrictions = [
        frozenset(regions) for regions in (route.allowed_regions, tenant_regions) if regions
    ]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


def describe_regions(route: Route, principal: Principal) -> str:
    """Describe the restrictions of route and tenant, for the error of a rejected request."""
    tenant_regions = principal.tenant.allowed_regions if principal.tenant is not None else ()
    of_route = ", ".join(route.allowed_regions) or "any"
    of_tenant = ", ".join(tenant_regions) or "any"
    return f"the route allows {of_route}, the tenant {of_tenant}"


def unknown_regions(document: ServiceDocument, places: Places) -> dict[str, list[str]]:
    """Allowed regions without a declared zone, by the route or tenant that lists them."""
    known = set(places.regions)
    restricted = {f"route {route.name}": route.allowed_regions for route in document.routes}
    restricted.update(
        {f"tenant {tenant.name}": tenant.allowed_regions for tenant in document.tenants}
    )
    return {
        owner: [region for region in regions if region not in known]
        for owner, regions in restricted.items()
        if set(regions) - known
    }
