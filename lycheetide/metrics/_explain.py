"""Remember, for recent requests, each step and its reason."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

REQUESTS_KEPT = 2_000


@dataclass(frozen=True)
class Step:
    """One step of a request.

    Parameters
    ----------
    at_s : float
        On the node's clock.
    what : str
        A short sentence.
    fields : mapping
        What it rested on.
    """

    at_s: float
    what: str
    fields: Mapping[str, Any]


class Explanations:
    """The steps of the last requests; the oldest are forgotten first."""

    def __init__(self, *, kept=REQUESTS_KEPT):
        self.kept = kept
        self._steps = {}

    def note(self, request_id, what, *, now_s, **fields):
        """Add a step."""
        steps = self._steps.get(request_id)
        if steps is None:
            steps = self._steps[request_id] = []
            while len(self._steps) > self.kept:
                del self._steps[next(iter(self._steps))]
        steps.append(Step(now_s, what, fields))

    def find(self, request_id):
        """Return a request's steps, oldest first; empty if it is not known."""
        return tuple(self._steps.get(request_id, ()))
