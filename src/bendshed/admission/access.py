"""Access: on whose behalf a request runs, and how urgent it is. Pure.

Source: docs/design/0007.
"""

from bendshed.model.principal import Principal
from bendshed.model.service_document import Route, ServiceDocument


class AccessIndex:
    """Tenants of one document by the digest of their credentials.

    Digests are compared, never credentials: the time of a look-up by digest reveals nothing of
    credentials that begin alike.
    """

    def __init__(self, document: ServiceDocument) -> None:
        self._by_credential = {
            digest: tenant for tenant in document.tenants for digest in tenant.credentials
        }
        self._has_tenants = bool(document.tenants)
        self._num_ranks = 1 + max((route.priority for route in document.routes), default=0)

    def principal(self, route: Route, credential: str) -> Principal | None:
        """Principal of a request; ``None``: the route requires a credential that is in force.

        ``credential`` is its digest; empty: the request shows none. The tenant's priority comes
        first, the route's decides between equals.
        """
        if not self._has_tenants:
            return Principal(None, route.priority, is_unasked=True)
        tenant = self._by_credential.get(credential) if credential else None
        if tenant is not None:
            return Principal(tenant, tenant.priority * self._num_ranks + route.priority)
        return Principal(None, route.priority) if route.is_public else None
