"""Routing configuration: services, routes, customers and limits, and their look-up."""

from lycheetide.routes._match import CustomerNotFound, RouteNotFound, RouteTable
from lycheetide.routes._types import (
    DEFAULT_ENGINE,
    CallerLimits,
    Customer,
    DomainDelay,
    EngineProfile,
    Route,
    RouteKind,
    RoutingConfig,
    Service,
    ServiceShare,
)

__all__ = [
    "DEFAULT_ENGINE",
    "CallerLimits",
    "Customer",
    "CustomerNotFound",
    "DomainDelay",
    "EngineProfile",
    "Route",
    "RouteKind",
    "RouteNotFound",
    "RouteTable",
    "RoutingConfig",
    "Service",
    "ServiceShare",
]
