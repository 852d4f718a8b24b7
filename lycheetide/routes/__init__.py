"""Routing configuration: services, routes, customers and limits, and their look-up."""

from lycheetide.routes._match import NoCustomer, NoRoute, RouteTable
from lycheetide.routes._types import (
    ANY_ENGINE,
    Customer,
    Engine,
    Kind,
    Limits,
    Route,
    Routing,
    Service,
    Share,
)

__all__ = [
    "ANY_ENGINE",
    "Customer",
    "Engine",
    "Kind",
    "Limits",
    "NoCustomer",
    "NoRoute",
    "Route",
    "RouteTable",
    "Routing",
    "Service",
    "Share",
]
