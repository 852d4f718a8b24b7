"""Entry point of the executable archive; imports extension modules from the archive.

Python itself imports pure Python modules from an archive, but the system's dynamic
loader needs extension modules as files. Hosts have no disks to unpack them to, so each
extension module is copied into an anonymous file in memory, which only this process can
see, and loaded from there. No second process is started.
"""

import os
import sys
import zipfile
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader
from importlib.util import spec_from_file_location


class ExtensionFinder(MetaPathFinder):
    """Finder for extension modules in an archive.

    Parameters
    ----------
    path : str
        Path of the archive.
    """

    def __init__(self, path):
        self.archive = zipfile.ZipFile(path)
        self.names = set(self.archive.namelist())

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module; None if it isn't in the archive."""
        base = fullname.replace(".", "/")
        for suffix in EXTENSION_SUFFIXES:
            name = base + suffix
            if name in self.names:
                return self._make_spec(fullname, name)
        return None

    def _make_spec(self, fullname, name):
        """Copy a module into an anonymous file in memory and return its spec."""
        descriptor = os.memfd_create(name)
        with os.fdopen(descriptor, "wb", closefd=False) as file:
            file.write(self.archive.read(name))
        location = f"/proc/self/fd/{descriptor}"
        loader = ExtensionFileLoader(fullname, location)
        return spec_from_file_location(fullname, location, loader=loader)


def main():
    """Install the finder and run the command line."""
    sys.dont_write_bytecode = True
    sys.meta_path.append(ExtensionFinder(sys.path[0]))
    from lycheetide.cli import main as run  # noqa: PLC0415

    run()


if __name__ == "__main__":
    main()
