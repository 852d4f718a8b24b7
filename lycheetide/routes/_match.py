"""Find the route and the customer of a request."""

import math
from collections.abc import Iterator

from lycheetide.routes._types import Customer, Route, Routing


class NoRoute(Exception):
    """No route has the request's host and a prefix of its path."""


class NoCustomer(Exception):
    """The credential belongs to no customer."""


def iter_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, the longest first.

    Examples
    --------
    >>> list(iter_prefixes("/a/b/c"))
    ['/a/b/', '/a/', '/']
    """
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]


class RouteTable:
    """A configuration, indexed for look-ups.

    Parameters
    ----------
    routing : Routing
        The configuration.
    """

    def __init__(self, routing: Routing):
        self.routing = routing
        self.services = {service.name: service for service in routing.services}
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in routing.routes
        }
        self._customers: dict[str, Customer] = {
            credential: customer
            for customer in routing.customers or ()
            for credential in customer.credentials
        }

        self._shortest_targets_s: dict[str, float] = {}
        for route in routing.routes:
            for share in route.shares:
                target_s = self._shortest_targets_s.get(share.service, math.inf)
                target_s = min(target_s, route.target_latency_s)
                self._shortest_targets_s[share.service] = target_s

    def find_shortest_target_s(self, service: str) -> float:
        """Return the shortest time in which a route of a service wants its answer."""
        return self._shortest_targets_s.get(service, math.inf)

    def find_route(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of the path.

        Parameters
        ----------
        host : str
            The name that the caller asked for, without a port.
        path : str
            The raw path without the query.

        Raises
        ------
        NoRoute
            If there is none.
        """
        for prefix in iter_prefixes(path):
            route = self._routes.get((host, prefix))
            if route is not None:
                return route
        raise NoRoute(f"got {host}{path}, expected a path of a configured route")

    def find_customer(self, route: Route, credential: str) -> Customer | None:
        """Return whose credential it is; None where the route needs none.

        Raises
        ------
        NoCustomer
            If nobody has it.
        """
        customer = self._customers.get(credential)
        if customer is not None:
            return customer
        if route.is_public or self.routing.customers is None:
            return None
        raise NoCustomer("the credential belongs to no customer")
