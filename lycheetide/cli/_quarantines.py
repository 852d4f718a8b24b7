"""Read and lift quarantines in the platform's store."""

from lycheetide import platform
from lycheetide.relay import lift_quarantine, read_quarantines


async def list_or_lift(address, prefix):
    """Return all quarantines, or the one that was lifted.

    Parameters
    ----------
    address : str
        Address of the store.
    prefix : str
        Beginning of the name of the quarantine to lift; empty to lift none.

    Returns
    -------
    list of QuarantineEntry
        Empty if no quarantine, or more than one, begins with the prefix.

    Raises
    ------
    StoreUnavailable
        If the store doesn't answer.
    """
    topic = platform.QUARANTINE_TOPIC
    store = platform.StoreClient(address)
    try:
        if prefix:
            lifted = await lift_quarantine(store, topic, prefix)
            return [] if lifted is None else [lifted]
        entries, _ = await read_quarantines(store, topic)
        return entries
    finally:
        await store.aclose()


def format_entry(entry):
    """Return the line that describes a quarantine."""
    state = "lifted" if entry.is_lifted else "imposed"
    parts = ", ".join(part.hex() for part in entry.parts)
    kind = "request" if entry.is_request else "parts"
    return f"{entry.name} {state} after {entry.crashes} crashes; {kind} {parts}"
