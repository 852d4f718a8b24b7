"""Keep the processing steps of recent requests and the inputs of their decisions."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MAX_REQUESTS = 2_000


@dataclass(frozen=True)
class TraceStep:
    """One processing step of a request.

    Parameters
    ----------
    at_s : float
        Time on the node's clock.
    what : str
        Description of the step in a short sentence.
    fields : mapping
        Inputs that the step's decision was based on.
    """

    at_s: float
    what: str
    fields: Mapping[str, Any]


class RequestTraces:
    """Steps of the most recent requests; those of the oldest requests are evicted."""

    def __init__(self, *, max_requests=MAX_REQUESTS):
        self.max_requests = max_requests
        self._steps = {}

    def note(self, request_id, what, *, now_s, **fields):
        """Add a step to the request."""
        steps = self._steps.get(request_id)
        if steps is None:
            steps = self._steps[request_id] = []
            while len(self._steps) > self.max_requests:
                del self._steps[next(iter(self._steps))]
        steps.append(TraceStep(now_s, what, fields))

    def find(self, request_id):
        """Return the request's steps, oldest first; empty if it is unknown."""
        return tuple(self._steps.get(request_id, ()))
