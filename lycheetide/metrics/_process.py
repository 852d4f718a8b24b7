"""Age and size of this process as recorded by the operating system."""

import ctypes
import os

_START_FIELD = 19
"""Index of the start time among the fields after the command's name; see proc(5)."""


def read_process_age_s():
    """Return the time since the system started this process, in seconds.

    Returns
    -------
    float or None
        Resolution is a hundredth of a second; None where /proc isn't available.
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


def read_resident_bytes():
    """Return the memory that this process occupies, in bytes.

    Returns
    -------
    int or None
        None where /proc isn't available.
    """
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return None


def release_free_memory():
    """Return free memory of the allocator to the system, where it can do that.

    Without this, 62 MB of 71 MB in blocks of 5 kB stayed resident when they were freed.
    """
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        return
