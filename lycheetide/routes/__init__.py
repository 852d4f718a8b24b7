"""Routing configuration: services, routes, customers and limits, and their look-up."""

from lycheetide.routes._match import CustomerNotFound, RouteNotFound, RouteTable
from lycheetide.routes._types import (
    DEFAULT_ENGINE,
    CallerLimits,
    Customer,
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
    "EngineProfile",
    "Route",
    "RouteKind",
    "RouteNotFound",
    "RouteTable",
    "RoutingConfig",
    "Service",
    "ServiceShare",
]
