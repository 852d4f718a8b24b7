"""Load state charts from their files and compute transitions."""

import itertools
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from importlib.resources import files


class StateChartError(ValueError):
    """An event without a transition from the state, or an invalid chart."""


@dataclass(frozen=True)
class StateChart:
    """State chart of one life cycle.

    Parameters
    ----------
    name : str
        Name of the file without its extension.
    initial : str
        Initial state.
    flags : mapping of str to frozenset of str
        For each flag, the states that have it.
    transitions : mapping of (str, str) to str
        Next state for each pair of state and event.
    """

    name: str
    initial: str
    flags: Mapping[str, frozenset[str]]
    transitions: Mapping[tuple[str, str], str]

    def next_state(self, state, event):
        """Return the next state for ``event`` in ``state``.

        Raises
        ------
        StateChartError
            If the chart has no such transition.

        Examples
        --------
        >>> load_chart("upstream").next_state("cold", "reported_warm")
        'warm'
        """
        target = self.transitions.get((state, event))
        if target is None:
            raise StateChartError(
                f"{self.name}: no transition on {event!r} from state {state!r}"
            )
        return target

    def has_flag(self, state, flag):
        """Return whether ``state`` has ``flag``."""
        return state in self.flags.get(flag, frozenset())


@cache
def load_chart(name):
    """Load the chart ``name`` from this package's files.

    Parameters
    ----------
    name : str
        Name of the file without its extension.

    Returns
    -------
    StateChart
        The chart, with its transitions checked against its states.
    """
    text = (files("lycheetide.charts") / f"{name}.toml").read_text()
    return parse_chart(name, text)


def parse_chart(name, text):
    """Build a chart from the TOML text of its file.

    Raises
    ------
    ExceptionGroup
        With one ``StateChartError`` for each transition to an unknown state, and one
        for an unknown initial state.
    """
    document = tomllib.loads(text)
    states = document["states"]
    transitions = {
        (source, event): target
        for source, body in states.items()
        for event, target in body.get("on", {}).items()
    }
    unknown = [
        StateChartError(
            f"{name}: {source} on {event} leads to unknown state {target!r}"
        )
        for (source, event), target in transitions.items()
        if target not in states
    ]
    if document["initial"] not in states:
        unknown.append(StateChartError(f"{name}: unknown initial state"))
    if unknown:
        raise ExceptionGroup(f"chart {name} is invalid", unknown)
    state_flags = {state: body.get("flags", []) for state, body in states.items()}
    flags = {
        flag: frozenset(state for state in states if flag in state_flags[state])
        for flag in itertools.chain.from_iterable(state_flags.values())
    }
    return StateChart(name, document["initial"], flags, transitions)
