"""Usual duration of the short answers of each service."""

from collections import defaultdict, deque
from statistics import median

WINDOW_S = 10.0
"""Age from which on an answer no longer counts."""
MAX_ANSWERS = 64
"""Latest answers of a service that are kept, so that an estimate stays cheap."""


class ServiceTimes:
    """Durations of the latest answers, by service.

    Only answers that didn't wait for a slot should be noted. Otherwise a queue would
    make the answers seem longer, and each wait would be overestimated in turn.
    """

    def __init__(self):
        self._answers: dict[str, deque[tuple[float, float]]] = defaultdict(
            lambda: deque(maxlen=MAX_ANSWERS)
        )

    def note(self, service, took_s, *, now_s):
        """Record how long a replica of a service took for an answer, in seconds."""
        self._answers[service].append((now_s, max(0.0, took_s)))

    def find_s(self, service, *, now_s):
        """Return the median duration of a service's answers, None if there were none.

        The median is used because a few answers of failing replicas take far longer.
        """
        answers = self._answers.get(service)
        while answers and now_s - answers[0][0] > WINDOW_S:
            answers.popleft()
        if not answers:
            return None
        return median(took_s for _, took_s in answers)
