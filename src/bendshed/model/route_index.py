"""Route look-up by host and path, and weighted choice of a route's target service."""

import xxhash

from bendshed.model.service_document import Route, ServiceDocument

HASH_RANGE = 1 << 64


class RouteIndex:
    """Routes of one document by host, longest path prefix first."""

    def __init__(self, document: ServiceDocument) -> None:
        self.document = document
        self._by_host: dict[str, list[Route]] = {}
        for route in document.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or ``None``. A port in ``host`` is ignored."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_target(route: Route, key: str) -> str:
    """Return the target service for a key; over many keys the shares approach the weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    digest = xxhash.xxh3_64_intdigest(f"{route.name}/{key}".encode())
    point = digest / HASH_RANGE * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
