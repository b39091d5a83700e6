"""On whose behalf a request runs: a frozen value."""

from dataclasses import dataclass

from bendshed.model.service_document import Tenant


@dataclass(frozen=True, slots=True)
class Principal:
    """On whose behalf a request runs.

    Attributes:
        tenant: ``None``: the configuration names no tenants, or the route is open to all.
        urgency: of its requests on this route; 0 is the most urgent.
        is_authentication_disabled: the configuration names no tenants.

    """

    tenant: Tenant | None
    urgency: int
    is_authentication_disabled: bool = False

    @property
    def name(self) -> str:
        """The tenant's name; empty: nobody's."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def is_limited(self) -> bool:
        """Whether the tenant's requests are counted."""
        return self.tenant is not None and self.tenant.rate_per_s > 0
