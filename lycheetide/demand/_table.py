"""Demand for each service, from the requests in flight that a node knows of."""

from dataclasses import dataclass, field

from lycheetide.demand._rates import ArrivalRates, PromptClass, classify_prefill
from lycheetide.demand._reserved import count_needed, limit_decrease, limit_reserved

DEFAULT_RESPONSE_S = 1.5
"""Assumed duration of a short prompt's response before any has ended."""
RESPONSE_SMOOTHING = 0.03
"""Weight of the latest response in the mean duration: about the last thirty count."""
REFRESH_INTERVAL_S = 0.05
"""Interval at which the number of reserved replicas is computed again. It is the same
for all placements between, which keeps the cost of a placement low."""


@dataclass
class _ServiceDemand:
    """Demand for one service."""

    rates: ArrivalRates = field(default_factory=ArrivalRates)
    in_flight: int = 0
    response_s: float = DEFAULT_RESPONSE_S
    reserved: int = 0
    computed_s: float = float("-inf")
    changed_s: float = 0.0


class DemandTable:
    """Demand for each service, from the jobs that start and end at all nodes.

    Parameters
    ----------
    find_service : callable
        Returns the service of a replica, by its id; None if it isn't known.
    """

    def __init__(self, find_service):
        self._find_service = find_service
        self._services: dict[str, _ServiceDemand] = {}
        self._short: dict[tuple[str, str], str] = {}

    def note_start(self, job, *, now_s):
        """Record the start of a job."""
        prefill_s = sum(part.read_s for part in job.parts)
        writer = next((part.replica for part in job.parts if part.writes), None)
        service = self._find_service(writer) if writer is not None else None
        if service is None or prefill_s <= 0.0:
            return
        demand = self._services.get(service)
        if demand is None:
            demand = self._services[service] = _ServiceDemand()
        kind = classify_prefill(prefill_s)
        demand.rates.note(kind, now_s=now_s)
        if kind is PromptClass.SHORT:
            self._short[job.node, job.id] = service
            demand.in_flight += 1

    def note_end(self, job, *, now_s):
        """Record the end of a job, which may have been dropped with its node."""
        service = self._short.pop((job.node, job.id), None)
        if service is None:
            return
        demand = self._services[service]
        demand.in_flight -= 1
        change_s = now_s - job.started_s - demand.response_s
        demand.response_s += RESPONSE_SMOOTHING * change_s

    def count_reserved(self, service, engine, replicas, *, now_s):
        """Return how many of a service's replicas are reserved for short prompts.

        Parameters
        ----------
        service : str
            Name of the service.
        engine : EngineProfile
            Performance model of its replicas.
        replicas : int
            Number of replicas that take work.
        now_s : float
            Current time.
        """
        demand = self._services.get(service)
        if demand is None:
            return 0
        if now_s - demand.computed_s >= REFRESH_INTERVAL_S:
            demand.computed_s = now_s
            needed = count_needed(
                demand.rates, engine, response_s=demand.response_s,
                in_flight=demand.in_flight, now_s=now_s,
            )  # fmt: skip
            demand.reserved, demand.changed_s = limit_decrease(
                needed,
                previous=demand.reserved,
                changed_s=demand.changed_s,
                now_s=now_s,
            )
        return limit_reserved(demand.reserved, replicas)
