"""Read a state chart from its file and step it."""

import itertools
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from importlib.resources import files


class ChartError(ValueError):
    """An event that the chart does not foresee in a state."""


@dataclass(frozen=True)
class Chart:
    """One life cycle.

    Parameters
    ----------
    name : str
        The file's name without its ending.
    initial : str
        The state in which a life begins.
    flags : mapping of str to frozenset of str
        For each flag, the states that carry it.
    transitions : mapping of (str, str) to str
        The next state for each state and event.
    """

    name: str
    initial: str
    flags: Mapping[str, frozenset[str]]
    transitions: Mapping[tuple[str, str], str]

    def step(self, state, event):
        """Return the state that follows ``event`` in ``state``.

        Raises
        ------
        ChartError
            If the chart has no such transition.

        Examples
        --------
        >>> load_chart("upstream").step("cold", "reported_warm")
        'warm'
        """
        target = self.transitions.get((state, event))
        if target is None:
            raise ChartError(f"{self.name}: no event {event!r} in state {state!r}")
        return target

    def has(self, state, flag):
        """Tell whether ``state`` carries ``flag``."""
        return state in self.flags.get(flag, frozenset())


@cache
def load_chart(name):
    """Read the chart ``name`` from this package's files.

    Parameters
    ----------
    name : str
        The file's name without its ending.

    Returns
    -------
    Chart
        The chart; its transitions were checked against its states.
    """
    text = (files("lycheetide.charts") / f"{name}.toml").read_text()
    return parse_chart(name, text)


def parse_chart(name, text):
    """Build a chart from the text of its file.

    Raises
    ------
    ExceptionGroup
        With one ``ChartError`` for each transition to or from an unknown state.
    """
    document = tomllib.loads(text)
    states = document["states"]
    transitions = {
        (source, event): target
        for source, body in states.items()
        for event, target in body.get("on", {}).items()
    }
    unknown = [
        ChartError(f"{name}: {source} on {event} goes to unknown state {target!r}")
        for (source, event), target in transitions.items()
        if target not in states
    ]
    if document["initial"] not in states:
        unknown.append(ChartError(f"{name}: unknown initial state"))
    if unknown:
        raise ExceptionGroup(f"chart {name} is broken", unknown)
    carried = {state: body.get("flags", []) for state, body in states.items()}
    flags = {
        flag: frozenset(state for state in states if flag in carried[state])
        for flag in itertools.chain.from_iterable(carried.values())
    }
    return Chart(name, document["initial"], flags, transitions)
