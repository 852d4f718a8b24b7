"""Time scale on which nodes order requests, without synchronized clocks."""


class SharedClock:
    """Time scale that all nodes derive from the numbers of waiting requests.

    A number is the time in milliseconds at which a request joined the queue, on the
    clock that is furthest ahead, and above all numbers that its node knew of: a hybrid
    logical clock. A node sets its own time forward when it learns of a larger number,
    so the nodes agree up to the delay of their messages.
    """

    def __init__(self):
        self._last = 0
        self.shift_s = 0.0

    def next_number(self, *, now_s):
        """Return a number above all that are known."""
        return max(self._last + 1, int((now_s + self.shift_s) * 1e3))

    def observe(self, number, *, now_s):
        """Record a number; return by how many seconds the time was set forward."""
        self._last = max(self._last, number)
        step_s = max(0.0, number / 1e3 - (now_s + self.shift_s))
        self.shift_s += step_s
        return step_s
