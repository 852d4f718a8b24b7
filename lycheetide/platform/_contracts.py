"""Interpret the list of contracts in a node's settings."""

CONTENDED_CONTRACT = "pressure"
"""Contract under which callers compete for capacity and callers and replicas may read
slowly."""


def has_contended_capacity(contracts):
    """Return whether callers compete for capacity under the contracts in force.

    Parameters
    ----------
    contracts : collection of str
        Contracts that the settings list.
    """
    return CONTENDED_CONTRACT in contracts
