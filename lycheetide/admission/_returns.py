"""Refused requests that keep their place until they return, at whichever node."""

from dataclasses import dataclass

import xxhash

KEPT_S = 2.0
"""How long a place is kept after the announced time of return. It allows for the
caller's own delay and for a new connection."""
EARLY_TOLERANCE_S = 0.05
"""Other nodes learn of a refusal after its caller does, so a caller that is on time
seems early to them by the delay of the message."""
PROMPT_TAIL_BYTES = 2048
"""Part of the prompt that identifies it. Prompts share their beginning, so the end is
used."""
SWEEP_INTERVAL_S = 0.5
MAX_PLACES = 20_000
"""Places that are kept; further refused requests return as new ones."""


def make_return_key(customer, path, prompt):
    """Return the hash by which all nodes recognize a request that returns.

    Parameters
    ----------
    customer : int
        Hash of the customer's name.
    path : str
        Path of the request.
    prompt : bytes
        The prompt, or at least its last part.

    Returns
    -------
    int
        64 bits; 0 for a request without a prompt, which can't be recognized.
    """
    if not prompt:
        return 0
    head = f"{customer}\0{path}\0".encode()
    return max(1, xxhash.xxh64_intdigest(head + prompt[-PROMPT_TAIL_BYTES:]))


@dataclass(frozen=True)
class DeferredRequest:
    """A refused request that keeps its place.

    Parameters
    ----------
    return_key : int
        Hash from ``make_return_key``.
    number : int
        Number of its first attempt.
    due_s : float
        Target time of its first attempt.
    returns_s : float
        Earliest time of return.
    kept_until_s : float
        Time until which the place is kept.
    """

    return_key: int
    number: int
    due_s: float
    returns_s: float
    kept_until_s: float


class ReturnTable:
    """Places of refused requests, as far as this node knows."""

    def __init__(self):
        self._places: dict[int, dict[int, DeferredRequest]] = {}
        self._claimed_s: dict[tuple[int, int], float] = {}
        self._count = 0
        self._swept_s = float("-inf")

    def __len__(self):
        return self._count

    def note(self, deferred, *, now_s):
        """Keep the place of a refused request, or give it up if its time is over.

        Several requests may have the same key: one for each number is kept.

        Parameters
        ----------
        deferred : DeferredRequest
            The request. If ``kept_until_s`` isn't after ``returns_s``, another node
            has given its place away.
        now_s : float
            Current time.
        """
        self._sweep(now_s)
        key, number = deferred.return_key, deferred.number
        if deferred.kept_until_s <= deferred.returns_s:
            self._remove(key, number, now_s=now_s)
        elif key and not self._is_outdated(deferred) and self._count < MAX_PLACES:
            places = self._places.setdefault(key, {})
            self._count += number not in places
            places[number] = deferred

    def claim(self, return_key, *, now_s):
        """Return the place of a request that has returned, and give it up.

        The other nodes have to be told, by ``make_withdrawal_message``.

        Returns
        -------
        DeferredRequest or None
            The place with the lowest number; None if there is none, or if the request
            has returned earlier than announced.
        """
        self._sweep(now_s)
        open_places = [
            one
            for one in self._places.get(return_key, {}).values()
            if one.returns_s - EARLY_TOLERANCE_S <= now_s <= one.kept_until_s
        ]
        if not open_places:
            return None
        found = min(open_places, key=lambda one: one.number)
        self._remove(return_key, found.number, now_s=now_s)
        return found

    def is_early(self, return_key, *, now_s):
        """Return whether a request has returned earlier than announced."""
        return any(
            now_s < one.returns_s - EARLY_TOLERANCE_S
            for one in self._places.get(return_key, {}).values()
        )

    def _is_outdated(self, deferred):
        """Return whether a place was given up after it was announced.

        A request that returned and was refused again returns later than that.
        """
        claimed_s = self._claimed_s.get((deferred.return_key, deferred.number))
        return (
            claimed_s is not None
            and deferred.returns_s <= claimed_s + EARLY_TOLERANCE_S
        )

    def _remove(self, key, number, *, now_s):
        """Give up a place, also if the message that announces it is yet to come."""
        self._claimed_s[key, number] = now_s
        places = self._places.get(key, {})
        if places.pop(number, None) is not None:
            self._count -= 1
        if not places:
            self._places.pop(key, None)

    def _sweep(self, now_s):
        """Forget places that are no longer kept."""
        if now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        self._places = {
            key: kept
            for key, places in self._places.items()
            if (kept := {n: p for n, p in places.items() if p.kept_until_s >= now_s})
        }
        self._count = sum(map(len, self._places.values()))
        self._claimed_s = {
            key: claimed_s
            for key, claimed_s in self._claimed_s.items()
            if now_s - claimed_s < KEPT_S
        }
