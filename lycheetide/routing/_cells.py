"""Which cell of a model a request asks first."""

import xxhash

UNKNOWN_WAIT_S = 1.0
AFFINITY_S = 0.5
HUGE_TOKENS = 32_000


def rank_cells(cells, summaries, *, prefix_key, prompt_tokens, draw):
    """Return the cells in the order in which to ask their owners.

    Parameters
    ----------
    cells : sequence of str
        The cells that serve the model.
    summaries : mapping of str to CellSummary
        What the owners said lately; it lags.
    prefix_key : str
        Prompts with the same beginning prefer the same cell.
    prompt_tokens : int
        The prompt's size.
    draw : callable
        Returns a random number from 0 to 1.

    Returns
    -------
    list of str
        The best first.

    Notes
    -----
    The wait that a summary tells is old, and all nodes see the same one; if each took
    the least, all would rush to the same cell. So each wait is stretched by a random
    part, as in a choice of two.
    """

    def wait_s(cell):
        summary = summaries.get(cell)
        if summary is None or summary.tokens_per_s <= 0:
            return UNKNOWN_WAIT_S * (1 + draw())
        ahead = summary.waiting_tokens + summary.running_tokens
        if prompt_tokens < HUGE_TOKENS:
            # Engines read short prompts first, so huge ones don't hold them up.
            ahead = summary.short_tokens
        ahead += prompt_tokens
        spread = ahead / summary.tokens_per_s * (0.75 + 0.5 * draw())
        return spread + (UNKNOWN_WAIT_S if summary.free_requests <= 0 else 0.0)

    preferred = _prefer(cells, prefix_key)
    waits = {cell: wait_s(cell) for cell in cells}
    if preferred is not None:
        waits[preferred] -= AFFINITY_S
    return sorted(cells, key=lambda cell: (waits[cell], cell))


def _prefer(cells, prefix_key):
    """Return the cell that a prefix belongs to, the same at every node."""
    if not prefix_key or not cells:
        return None

    def weight(cell):
        return xxhash.xxh3_64_intdigest(f"{prefix_key}\0{cell}".encode())

    return max(cells, key=weight)
