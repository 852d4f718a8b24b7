"""Rank the cells of a model for a request."""

import xxhash

UNKNOWN_WAIT_S = 1.0
AFFINITY_BONUS_S = 0.5
LONG_PROMPT_TOKENS = 32_000


def rank_cells(cells, summaries, *, prefix_key, prompt_tokens, draw):
    """Return the cells in the order in which their owners are asked for a permit.

    Parameters
    ----------
    cells : sequence of str
        Cells that serve the model.
    summaries : mapping of str to CellSummary
        Latest load summaries from the cells' owners. They are slightly out of date.
    prefix_key : str
        Key of the prompt's prefix. Prompts with the same key prefer the same cell.
    prompt_tokens : int
        Length of the prompt.
    draw : callable
        Returns a random number between 0 and 1.

    Returns
    -------
    list of str
        Cells in ascending order of their estimated wait. The wait of the cell that the
        prefix is assigned to is reduced by ``AFFINITY_BONUS_S``.

    Notes
    -----
    Summaries are out of date, and all nodes see the same ones. If each node chose the
    cell with the shortest wait, all of them would overload the same cell. Each wait is
    therefore multiplied by a random factor, which spreads the requests as a choice
    between two random cells does.
    """

    def wait_s(cell):
        summary = summaries.get(cell)
        if summary is None or summary.tokens_per_s <= 0:
            return UNKNOWN_WAIT_S * (1 + draw())
        queued_tokens = summary.waiting_tokens + summary.running_tokens
        if prompt_tokens < LONG_PROMPT_TOKENS:
            # Engines prefill short prompts first, so long ones don't delay them.
            queued_tokens = summary.short_tokens
        queued_tokens += prompt_tokens
        estimate_s = queued_tokens / summary.tokens_per_s * (0.75 + 0.5 * draw())
        return estimate_s + (UNKNOWN_WAIT_S if summary.free_requests <= 0 else 0.0)

    preferred = _find_preferred_cell(cells, prefix_key)
    waits = {cell: wait_s(cell) for cell in cells}
    if preferred is not None:
        waits[preferred] -= AFFINITY_BONUS_S
    return sorted(cells, key=lambda cell: (waits[cell], cell))


def _find_preferred_cell(cells, prefix_key):
    """Return the cell that a prefix is assigned to by rendezvous hashing.

    The cell is the same at every node. None if there is no prefix or no cell.
    """
    if not prefix_key or not cells:
        return None

    def weight(cell):
        return xxhash.xxh3_64_intdigest(f"{prefix_key}\0{cell}".encode())

    return max(cells, key=weight)
