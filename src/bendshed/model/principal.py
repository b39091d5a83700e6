"""The tenant on whose behalf a request runs, and its urgency."""

from dataclasses import dataclass

from bendshed.model.service_document import Tenant


@dataclass(frozen=True, slots=True)
class Principal:
    """The authenticated caller of a request.

    Attributes:
        tenant: ``None`` if the configuration declares no tenants or the route is public.
        urgency: urgency of the tenant's requests on this route; 0 is the most urgent.
        is_authentication_disabled: whether the configuration declares no tenants, so that no
            request is authenticated.

    """

    tenant: Tenant | None
    urgency: int
    is_authentication_disabled: bool = False

    @property
    def name(self) -> str:
        """The tenant's name; empty if there is no tenant."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a rate limit, so that its requests are counted."""
        return self.tenant is not None and self.tenant.rate_per_s > 0
