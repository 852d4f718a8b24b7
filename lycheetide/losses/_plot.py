"""Plot the prefills and the lost requests of each replica over time."""

from collections.abc import Sequence

from lycheetide.losses._types import Loss, PrefillPart

LONG_PREFILL_S = 0.03
"""Shorter prefills are drawn lighter; most of them are whole short prompts."""


def save_loss_plot(reads: Sequence[PrefillPart], losses: Sequence[Loss], path: str):
    """Plot one row per replica with its prefills and lost requests over time.

    Parameters
    ----------
    reads : sequence of PrefillPart
        Prefills that were assigned to replicas.
    losses : sequence of Loss
        Lost requests.
    path : str
        Path of the PNG file to write.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    replicas = sorted({read.replica for read in reads})
    rows = {name: place for place, name in enumerate(replicas)}
    start_s = min((read.start_s for read in reads), default=0.0)
    figure, axes = pyplot.subplots(figsize=(14, 1.5 + 0.25 * len(rows)))
    for read in reads:
        axes.barh(
            rows[read.replica],
            read.prefill_s,
            left=read.start_s - start_s,
            height=0.7,
            color="tab:blue",
            alpha=0.7 if read.prefill_s > LONG_PREFILL_S else 0.2,
        )
    plotted = [loss for loss in losses if loss.replica in rows]
    axes.scatter(
        [loss.at_s - start_s for loss in plotted],
        [rows[loss.replica] for loss in plotted],
        s=8,
        color="tab:red",
        zorder=3,
        label="lost requests",
    )
    axes.set_yticks(range(len(replicas)), replicas, fontsize=6)
    axes.set_xlabel("seconds")
    axes.legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
