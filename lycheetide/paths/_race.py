"""Open a connection by the first of several paths that works."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from lycheetide.httpclient import Channel, ChannelConnectError


@dataclass(frozen=True)
class Path:
    """One way to open a connection to a replica.

    Parameters
    ----------
    via : str
        Address of the peer that carries the connection; empty for a direct one.
    open : callable
        Coroutine function that returns the connection.
    """

    via: str
    open: Callable[[], Awaitable[Channel]]


@dataclass(frozen=True)
class RaceOutcome:
    """How an attempt to open a connection by several paths ended.

    Parameters
    ----------
    channel : Channel or None
        The connection; None if no path worked.
    outrun : tuple of str
        Paths that were tried before the one that worked, by ``Path.via``. If none
        worked, all paths that were tried.
    errors : dict of str to ChannelConnectError
        Errors of the paths that failed, by ``Path.via``.
    """

    channel: Channel | None
    outrun: tuple[str, ...]
    errors: dict[str, ChannelConnectError]


async def race_paths(paths, *, stagger_s, timeout_s):
    """Try paths one after the other, without waiting for one to fail.

    The next path is tried as soon as the one before has failed, or hasn't worked within
    ``stagger_s``; the first that works ends the others. No further path is tried after
    a peer has said that the replica can't be reached.

    Parameters
    ----------
    paths : iterable of Path
        The paths in the order in which they are tried. Each is drawn when its turn has
        come.
    stagger_s : float
        The longest time between two tries, in seconds.
    timeout_s : float
        The longest time for all of them together, in seconds.

    Returns
    -------
    RaceOutcome
    """
    tried: list[str] = []
    errors: dict[str, ChannelConnectError] = {}
    winner: Channel | None = None

    async def try_path(path, failed):
        nonlocal winner
        try:
            channel = await path.open()
        except ChannelConnectError as error:
            errors[path.via] = error
            failed.set()
            return
        if winner is not None:
            await channel.aclose()
            return
        winner = channel
        group.cancel_scope.cancel()

    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as group:
            for path in paths:
                if any(error.is_confirmed for error in errors.values()):
                    break
                failed = anyio.Event()
                tried.append(path.via)
                group.start_soon(try_path, path, failed)
                with anyio.move_on_after(stagger_s):
                    await failed.wait()
    if winner is None:
        return RaceOutcome(None, tuple(tried), errors)
    return RaceOutcome(winner, tuple(tried[: tried.index(winner.via)]), errors)
