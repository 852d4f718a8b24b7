"""How long this process has run, by the system's own record."""

import os

_START_FIELD = 19
"""Place of the start time behind the command's name, as proc(5) counts fields."""


def read_process_age_s():
    """Return how long ago the system started this process, in seconds.

    Returns
    -------
    float or None
        To a hundredth; None where the system doesn't tell.
    """
    try:
        with open("/proc/self/stat", encoding="ascii", errors="replace") as file:
            fields = file.read().rpartition(")")[2].split()
        started_s = int(fields[_START_FIELD]) / os.sysconf("SC_CLK_TCK")
        with open("/proc/uptime", encoding="ascii") as file:
            up_s = float(file.read().split()[0])
        return max(0.0, up_s - started_s)
    except (OSError, ValueError, IndexError):
        return None
