"""Apply changed settings while the node runs, without interrupting requests.

The settings file may change with or without a signal. Restarting the node for it would
cut off its clients' requests, and a broken file must not stop the node either.
"""

from dataclasses import replace

import anyio

from lycheetide.settings import RelaySettings, read_settings

LOOK_S = 2.0
"""Interval at which the file is checked; a change without a signal is applied after
it."""
RESTART_REQUIRED = frozenset(
    {
        "name",
        "region",
        "failure_domain",
        "caller_address",
        "readiness_address",
        "peer_address",
        "tunnel_address",
        "store_address",
        "metrics_address",
        "statsd_address",
        "statsd_prefix",
        "log_lines_per_s",
    }
)
"""Settings that need a restart: they name open sockets or identify the node to
peers."""


def merge_settings(current, requested):
    """Return the settings to continue with, and those that would need a restart.

    Parameters
    ----------
    current, requested : RelaySettings
        Settings in use, and settings that the file contains now.

    Returns
    -------
    settings : RelaySettings
        The requested settings, except for those that need a restart.
    needs_restart : list of str
        Names of the settings that differ but need a restart.
    """
    needs_restart = sorted(
        name
        for name in RESTART_REQUIRED
        if getattr(current, name) != getattr(requested, name)
    )
    return replace(
        requested, **{name: getattr(current, name) for name in RESTART_REQUIRED}
    ), needs_restart


def reload_settings(relay, path):
    """Read the file again, apply what can be changed, and log what can't."""
    try:
        requested = read_settings(path)
    except (OSError, ValueError) as error:
        reject_settings(relay, [str(error)])
        return
    except ExceptionGroup as group:
        reject_settings(relay, [str(error) for error in group.exceptions])
        return
    if not isinstance(requested, RelaySettings):
        reject_settings(
            relay, ["the file has no [relay] section, which a relay requires"]
        )
        return
    settings, needs_restart = merge_settings(relay.settings, requested)
    relay.apply_settings(settings)
    relay.counters.add("settings.reloaded")
    relay.log.info(
        "The settings were reloaded.", extra={"need_a_restart": needs_restart}
    )


def reject_settings(relay, findings):
    """Count and log a settings file that can't be used."""
    relay.counters.add("settings.broken")
    relay.log.error(
        "The settings file can't be used; the current settings stay in force.",
        extra={"findings": findings},
    )


async def watch_settings(relay):
    """Read the file again whenever its content changes, forever."""
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
    """Return a file's text, or an empty string if it can't be read."""
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()
    except OSError:
        return ""
