"""Read and write the quarantines that the store keeps."""

import msgspec

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
        except msgspec.MsgspecError:
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


async def lift_quarantine(store, topic, name):
    """Lift a quarantine by its name; return the lifted entry, None if there is none.

    The nodes read the change within seconds.

    Raises
    ------
    StoreUnavailable
        If the store doesn't answer.
    """
    entries, _ = await read_quarantines(store, topic)
    for entry in entries:
        if entry.name == name and not entry.is_lifted:
            lifted = msgspec.structs.replace(
                entry, version=entry.version + 1, is_lifted=True
            )
            await write_quarantine(store, topic, lifted)
            return lifted
    return None
