"""How long the caller of a request may wait for it."""

from bendshed.model.service_document import Route
from bendshed.ports.runner import ServiceRequest

MAX_WAIT_MS = 600_000
"""Upper bound, whatever a caller states: it sizes what the turn log stores for its return."""


def longest_wait_ms(request: ServiceRequest, route: Route) -> int:
    """Return how long a caller may wait, over all its tries, in ms."""
    return min(MAX_WAIT_MS, max(request.wait_ms or 0, route.timeout_ms))
