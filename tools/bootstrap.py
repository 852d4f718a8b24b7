"""The binary's entry point: import extension modules straight from the archive.

Python imports plain modules from an archive by itself, but the system's loader wants
compiled ones as files. Hosts have no disks, and a loader that unpacks needs one; so
each compiled module is copied into an anonymous file in memory, which only this
process sees, and loaded from there. No second process is started.
"""

import os
import sys
import zipfile
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader
from importlib.util import spec_from_file_location


class MemoryFinder(MetaPathFinder):
    """Finds compiled modules in an archive.

    Parameters
    ----------
    path : str
        The archive.
    """

    def __init__(self, path):
        self.archive = zipfile.ZipFile(path)
        self.names = set(self.archive.namelist())

    def find_spec(self, fullname, path=None, target=None):
        """Return a spec for a compiled module, or None."""
        base = fullname.replace(".", "/")
        for suffix in EXTENSION_SUFFIXES:
            name = base + suffix
            if name in self.names:
                return self._make_spec(fullname, name)
        return None

    def _make_spec(self, fullname, name):
        """Copy one module into memory."""
        descriptor = os.memfd_create(name)
        with os.fdopen(descriptor, "wb", closefd=False) as file:
            file.write(self.archive.read(name))
        location = f"/proc/self/fd/{descriptor}"
        loader = ExtensionFileLoader(fullname, location)
        return spec_from_file_location(fullname, location, loader=loader)


def main():
    """Make compiled modules importable and run the command line."""
    sys.dont_write_bytecode = True
    sys.meta_path.append(MemoryFinder(sys.path[0]))
    from lycheetide.cli import main as run  # noqa: PLC0415

    run()


if __name__ == "__main__":
    main()
