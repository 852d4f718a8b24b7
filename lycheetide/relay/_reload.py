"""Take over settings that change while the node runs, and cut nothing.

The settings file may change with a signal or without one. A node that restarted for it
would cut its callers' requests; a broken file must not end it either.
"""

from dataclasses import replace

import anyio

from lycheetide.settings import RelaySettings, read_settings

LOOK_S = 2.0
"""Pause between looks at the file; a change without a signal is in force after that."""
FIXED = frozenset(
    {
        "name",
        "region",
        "failure_domain",
        "caller_address",
        "readiness_address",
        "peer_address",
        "store_address",
        "metrics_address",
        "statsd_address",
        "statsd_prefix",
        "log_lines_per_s",
    }
)
"""Settings that need a restart: sockets are open, and peers know the node by them."""


def merge_settings(present, wanted):
    """Return the settings to go on with, and what would need a restart.

    Parameters
    ----------
    present, wanted : RelaySettings
        What is in force, and what the file says now.

    Returns
    -------
    settings : RelaySettings
        What is wanted, but for fixed ones.
    kept : list of str
        Names of fixed settings that differ.
    """
    kept = sorted(
        name for name in FIXED if getattr(present, name) != getattr(wanted, name)
    )
    return replace(wanted, **{name: getattr(present, name) for name in FIXED}), kept


def reload_settings(relay, path):
    """Read the file again and put in force what can be; log what can't."""
    try:
        wanted = read_settings(path)
    except OSError as error:
        refuse_settings(relay, [str(error)])
        return
    except ExceptionGroup as group:
        refuse_settings(relay, [str(error) for error in group.exceptions])
        return
    if not isinstance(wanted, RelaySettings):
        refuse_settings(relay, ["got a file without [relay], expected a relay's"])
        return
    settings, kept = merge_settings(relay.settings, wanted)
    relay.take_settings(settings)
    relay.counters.add("settings.reloaded")
    relay.log.info("The settings were read again.", extra={"need_a_restart": kept})


def refuse_settings(relay, findings):
    """Count and log a file that can't be used."""
    relay.counters.add("settings.broken")
    relay.log.error(
        "The settings file is broken; nothing changes.", extra={"findings": findings}
    )


async def watch_settings(relay):
    """Read the file again whenever it has changed, for ever."""
    path = relay.settings_path
    if not path:
        await anyio.sleep_forever()
    known = read_text(path)
    while True:
        await anyio.sleep(LOOK_S)
        text = read_text(path)
        if text != known:
            known = text
            reload_settings(relay, path)


def read_text(path):
    """Return a file's text, or nothing where it can't be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError:
        return ""
