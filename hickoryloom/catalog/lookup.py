"""Finds the route of a request and selects one of its services. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hickoryloom.catalog.messages import Catalog, Route

__all__ = ["RouteTable", "build_route_table", "choose_service"]


@attrs.frozen
class RouteTable:
    """Routes by host, sorted by descending length of the path prefix."""

    _by_host: dict[str, tuple[Route, ...]]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Args:
            host: Value of the `Host` header.
            path: Path of the request as received, without the query.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def build_route_table(catalog: Catalog) -> RouteTable:
    """Build the route table of a catalog."""
    by_host: dict[str, list[Route]] = {}
    for route in catalog.routes:
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return RouteTable({host: tuple(routes) for host, routes in by_host.items()})


def choose_service(route: Route, draw: Callable[[], float]) -> str:
    """Select the service for a request at random, weighted by the targets of its route.

    Args:
        route: A route with at least one target.
        draw: Returns a random number in the range [0, 1).
    """
    point = draw() * sum(target.weight for target in route.targets)
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
