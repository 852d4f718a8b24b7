"""Stand-in replicas that record what they did, for the checks after a run."""

import time

import anyio

from soak.demands import Turned
from standins.http import Response
from standins.replica import Replica

STREAM_EVENTS = 6
LONG_STREAM_EVENTS = 100
PATIENT_STREAM_EVENTS = 20
EVENT_INTERVAL_S = 0.1
"""Time between two events. The passes of a real engine take 50 ms and more; with
streams much shorter than real ones, packing exceeds the cold limit of a replica."""
COLD_PER_S = 30.0


class RecordingReplica(Replica):
    """A replica that puts the attempt id into each event and expires reservations.

    Attributes
    ----------
    arrivals : list of (float, str, str)
        Time, attempt id and customer of the credential of each request.
    cold : list of (float, float)
        Start and end of each period when it was cold.
    quiet : list of (float, float)
        Start and end of each period when it sent nothing.
    written_s : list of float
        Times when it wrote to a connection.
    turned : list of Turned
        Requests that it turned away with a request for rest.
    ends : dict of str to float
        Time when its work on each attempt ended, by attempt id.
    on_crash : callable
        Called when its process ends for a prompt with ``crash_part``.
    """

    def __init__(self, name, *, events=STREAM_EVENTS, pause_s=EVENT_INTERVAL_S):
        super().__init__(name, events=events, pause_s=pause_s)
        self.adds_attempt_ids = True
        self.arrivals = []
        self.cold = []
        self.quiet = []
        self.written_s = []
        self.expires_s = {}
        self.ends = {}
        self.turned = []
        self.on_crash = lambda: None
        self.kv_tokens = 100_000

    async def answer(self, request, stream):
        """Answer one request and record its arrival."""
        if request.target == "/-/order":
            self._drop_expired()
        else:
            headers = request.headers
            self.arrivals.append(
                (
                    time.monotonic(),
                    headers.get("lycheetide-attempt-id", ""),
                    headers.get("lycheetide-tenant", ""),
                )
            )
        answer = await super().answer(request, stream)
        if answer is not None and "Retry-After" in answer.headers:
            attempt = request.headers.get("lycheetide-attempt-id", "")
            rest_s = float(answer.headers["Retry-After"])
            self.turned.append(Turned(time.monotonic(), attempt, rest_s))
        return answer

    async def _run(self, request, stream, step, attempt):
        """Run a request and record its end."""
        try:
            return await super()._run(request, stream, step, attempt)
        finally:
            self.ends[attempt] = time.monotonic()

    def crash(self):
        """End the process."""
        self.crash_times.append(time.monotonic())
        self.on_crash()

    def go_silent(self, seconds):
        """Send nothing for a while, like an engine that reads a huge prompt."""
        now_s = time.monotonic()
        self.quiet.append((now_s, now_s + seconds))

    async def wait_before_writing(self):
        """Wait until all current silences have ended."""
        while True:
            now_s = time.monotonic()
            ends_s = [to_s for _, to_s in self.quiet if to_s > now_s]
            if not ends_s:
                self.written_s.append(now_s)
                return
            await anyio.sleep(max(ends_s) - now_s)

    def count_events(self, request):
        """Return the number of events of a stream.

        Streams whose caller leaves early have more, so that they are still running.
        """
        if "patient" in request.target:
            return PATIENT_STREAM_EVENTS
        return LONG_STREAM_EVENTS if "long" in request.target else self.events

    def _take_order(self, order):
        """Apply an order and record when a reservation expires."""
        answer: Response = super()._take_order(order)
        if order["operation"] == "reserve" and answer.status == 200:
            self.expires_s[order["id"]] = time.monotonic() + order["holdMs"] / 1000
        return answer

    def _drop_expired(self):
        """Remove reservations that were not renewed in time."""
        now_s = time.monotonic()
        for ticket, at_s in list(self.expires_s.items()):
            if at_s <= now_s:
                del self.expires_s[ticket]
                self.tickets.pop(ticket, None)

    def held(self):
        """Return the reservations that have not expired."""
        self._drop_expired()
        return dict(self.tickets)

    def clear_reservations(self):
        """Remove all reservations, as a crash does."""
        self.tickets.clear()
        self.expires_s.clear()
