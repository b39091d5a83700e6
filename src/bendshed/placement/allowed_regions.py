"""Regions in which a request may run: those of its route and of its tenant. Pure."""

from bendshed.model.places import Places
from bendshed.model.principal import Principal
from bendshed.model.service_document import Route, ServiceDocument


def allowed_regions(route: Route, principal: Principal) -> frozenset[str] | None:
    """Regions that route and tenant both allow.

    ``None``: neither names any, so anywhere; empty: they contradict each other, so nowhere.
    """
    tenant = principal.tenant.allowed_regions if principal.tenant is not None else ()
    named = [frozenset(regions) for regions in (route.allowed_regions, tenant) if regions]
    if not named:
        return None
    return frozenset.intersection(*named)


def describe_regions(route: Route, principal: Principal) -> str:
    """What route and tenant allow, for the error of a rejected request."""
    tenant = principal.tenant.allowed_regions if principal.tenant is not None else ()
    of_route = ", ".join(route.allowed_regions) or "any"
    of_tenant = ", ".join(tenant) or "any"
    return f"the route allows {of_route}, the tenant {of_tenant}"


def unknown_regions(document: ServiceDocument, places: Places) -> dict[str, list[str]]:
    """Regions without a declared zone, by the route or tenant that names them."""
    known = set(places.regions)
    named = {f"route {route.name}": route.allowed_regions for route in document.routes}
    named.update({f"tenant {one.name}": one.allowed_regions for one in document.tenants})
    return {
        who: [region for region in regions if region not in known]
        for who, regions in named.items()
        if set(regions) - known
    }
