"""Replicas that keep a record of all that they did, for the judge."""

import time

import anyio

from standins.http import Answer
from standins.replica import Replica

EVENTS = 6
LONG_EVENTS = 100
PATIENT_EVENTS = 20
EVENT_S = 0.1
"""Between two events; a real engine's passes take 50 ms and more. With streams much
shorter than real ones, packing takes a replica over its cold limit."""
COLD_PER_S = 30.0


class SoakReplica(Replica):
    """A replica that signs each event with its attempt, and lets reservations lapse.

    Attributes
    ----------
    arrivals : list of (float, str, str)
        Time, attempt id and credential's customer of each request.
    cold : list of (float, float)
        When it was cold.
    quiet : list of (float, float)
        When it said nothing.
    spoken_s : list of float
        When it wrote.
    ends : dict of str to float
        When its work on each attempt ended.
    """

    def __init__(self, name, *, events=EVENTS, pause_s=EVENT_S):
        super().__init__(name, events=events, pause_s=pause_s)
        self.signs = True
        self.arrivals = []
        self.cold = []
        self.quiet = []
        self.spoken_s = []
        self.lapses_s = {}
        self.ends = {}
        self.kv_tokens = 100_000

    async def answer(self, request, stream):
        """Answer one request and note it."""
        if request.target == "/-/order":
            self._let_lapse()
        else:
            headers = request.headers
            self.arrivals.append(
                (
                    time.monotonic(),
                    headers.get("lycheetide-attempt-id", ""),
                    headers.get("lycheetide-tenant", ""),
                )
            )
        return await super().answer(request, stream)

    async def _run(self, request, stream, step, attempt):
        """Run a request and note its end."""
        try:
            return await super()._run(request, stream, step, attempt)
        finally:
            self.ends[attempt] = time.monotonic()

    def be_quiet(self, seconds):
        """Say nothing for a while, as an engine that reads a huge prompt."""
        now_s = time.monotonic()
        self.quiet.append((now_s, now_s + seconds))

    async def wait_to_speak(self):
        """Wait until it says something again."""
        while True:
            now_s = time.monotonic()
            ends_s = [to_s for _, to_s in self.quiet if to_s > now_s]
            if not ends_s:
                self.spoken_s.append(now_s)
                return
            await anyio.sleep(max(ends_s) - now_s)

    def count_events(self, request):
        """Return how many events a stream has; more where its caller will leave."""
        if "patient" in request.target:
            return PATIENT_EVENTS
        return LONG_EVENTS if "long" in request.target else self.events

    def _take_order(self, order):
        """Note how long a reservation holds."""
        answer: Answer = super()._take_order(order)
        if order["operation"] == "reserve" and answer.status == 200:
            self.lapses_s[order["id"]] = time.monotonic() + order["holdMs"] / 1000
        return answer

    def _let_lapse(self):
        """Drop reservations that nobody renewed."""
        now_s = time.monotonic()
        for ticket, at_s in list(self.lapses_s.items()):
            if at_s <= now_s:
                del self.lapses_s[ticket]
                self.tickets.pop(ticket, None)

    def held(self):
        """Return the reservations that are held now."""
        self._let_lapse()
        return dict(self.tickets)

    def forget_all(self):
        """Be as after a crash."""
        self.tickets.clear()
        self.lapses_s.clear()
