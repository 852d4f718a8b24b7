"""Which service a request goes to, and what the operators allow it."""

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
