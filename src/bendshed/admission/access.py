"""Access control: on whose behalf a request runs, and with which priority. Pure.

Source: docs/design/0007.
"""

from bendshed.model.principal import Principal
from bendshed.model.service_document import Route, ServiceDocument


class AccessIndex:
    """Tenants of one document by the digest of their credentials.

    Only digests are compared, never credentials, so the duration of a lookup does not reveal
    whether a credential shares a prefix with a valid one.
    """

    def __init__(self, document: ServiceDocument) -> None:
        self._by_credential = {
            digest: tenant for tenant in document.tenants for digest in tenant.credentials
        }
        self._has_tenants = bool(document.tenants)
        self._num_ranks = 1 + max((route.priority for route in document.routes), default=0)

    def principal(self, route: Route, credential: str) -> Principal | None:
        """Return the principal of a request; ``None`` if the route requires a valid credential.

        ``credential`` is its digest; empty if the request has none. The tenant's priority takes
        precedence; the route's priority decides between equal ones.
        """
        if not self._has_tenants:
            return Principal(None, route.priority, is_authentication_disabled=True)
        tenant = self._by_credential.get(credential) if credential else None
        if tenant is not None:
            return Principal(tenant, tenant.priority * self._num_ranks + route.priority)
        return Principal(None, route.priority) if route.is_public else None
