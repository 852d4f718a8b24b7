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
        """Record a number, and set the time forward if it is behind."""
        self._last = max(self._last, number)
        self.shift_s = max(self.shift_s, number / 1e3 - now_s)
