"""Draw what each replica read, and where requests were lost."""

from collections.abc import Sequence

from lycheetide.losses._types import Loss, Read

LONG_PART_S = 0.03
"""Shorter parts are drawn lighter; most are whole short prompts."""


def save_plot(reads: Sequence[Read], losses: Sequence[Loss], path: str):
    """Draw a row a replica: reading over time, and the requests lost there.

    Parameters
    ----------
    reads : sequence of Read
        What replicas were to read.
    losses : sequence of Loss
        What was lost.
    path : str
        The PNG to write.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    replicas = sorted({read.replica for read in reads})
    rows = {name: place for place, name in enumerate(replicas)}
    begin_s = min((read.begin_s for read in reads), default=0.0)
    figure, axes = pyplot.subplots(figsize=(14, 1.5 + 0.25 * len(rows)))
    for read in reads:
        axes.barh(
            rows[read.replica],
            read.part_s,
            left=read.begin_s - begin_s,
            height=0.7,
            color="tab:blue",
            alpha=0.7 if read.part_s > LONG_PART_S else 0.2,
        )
    drawn = [loss for loss in losses if loss.replica in rows]
    axes.scatter(
        [loss.at_s - begin_s for loss in drawn],
        [rows[loss.replica] for loss in drawn],
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
