"""Read and write the quarantines that the store keeps."""

from lycheetide.exchange import DECODE_ERRORS
from lycheetide.quarantine import decode_entries, encode_entries

TIMEOUT_S = 1.0


async def read_quarantines(store, topic):
    """Read the quarantines from the store.

    Parameters
    ----------
    store : StoreClient
        Client for the store.
    topic : str
        The topic that holds them.

    Returns
    -------
    entries : list of QuarantineEntry
    broken : list of str
        Keys of records that can't be decoded.

    Raises
    ------
    StoreUnavailable
        If the store doesn't answer.
    """
    batch = await store.read(topic, -1, wait_s=0.0, timeout_s=TIMEOUT_S)
    entries, broken = [], []
    for record in batch.records:
        try:
            entries.extend(decode_entries(record.value or b"\x90"))
        except DECODE_ERRORS:
            broken.append(record.key)
    return entries, broken


async def write_quarantine(store, topic, entry):
    """Write an entry to the store.

    Raises
    ------
    StoreUnavailable
        If it may not have been written.
    """
    data = encode_entries([entry])
    await store.append(topic, entry.name, data, timeout_s=TIMEOUT_S)


async def delete_quarantine(store, topic, name):
    """Delete the entry of a name from the store.

    Raises
    ------
    StoreUnavailable
        If it may not have been deleted.
    """
    await store.append(topic, name, b"", timeout_s=TIMEOUT_S)


async def lift_quarantine(store, topic, prefix):
    """Lift the quarantine whose name begins with a prefix.

    The nodes read the change within seconds.

    Returns
    -------
    QuarantineEntry or None
        The lifted entry; None if no quarantine, or more than one, begins so.

    Raises
    ------
    StoreUnavailable
        If the store doesn't answer.
    """
    entries, _ = await read_quarantines(store, topic)
    found = [
        entry
        for entry in entries
        if entry.name.startswith(prefix) and not entry.is_lifted
    ]
    if len(found) != 1:
        return None
    lifted = found[0].make_lifted()
    await write_quarantine(store, topic, lifted)
    return lifted
