"""All commands of ``lycheetide``."""

import sys
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from lycheetide._version import __version__
from lycheetide.metrics import set_up_logs
from lycheetide.node import run_node
from lycheetide.settings import read_settings

EXIT_FAULTS = 2


@cappa.command(name="node", help="Run a node.")
@dataclass
class NodeCommand:
    """Run a node.

    Parameters
    ----------
    settings : str
        The INI file.
    """

    settings: Annotated[str, cappa.Arg(long=True, help="the node's INI file")]

    def __call__(self):
        """Run until SIGTERM."""
        settings = load_settings(self.settings)
        set_up_logs(level=settings.log_level, node=settings.name)
        anyio.run(run_node, settings)


def load_settings(path):
    """Read settings, or print every finding and exit."""
    try:
        return read_settings(path)
    except ExceptionGroup as group:
        print_findings(group)
        raise cappa.Exit(code=EXIT_FAULTS) from None
    except OSError as error:
        raise cappa.Exit(f"{path}: {error.strerror}", code=EXIT_FAULTS) from None


def print_findings(group):
    """Print all findings of a file, a line each."""
    for error in group.exceptions:
        print(error, file=sys.stderr)


@cappa.command(name="lycheetide", help="Serve prompts of very different lengths.")
@dataclass
class Lycheetide:
    """The program.

    Parameters
    ----------
    command : object
        What to do.
    """

    command: cappa.Subcommands[NodeCommand]


def main():
    """Run the command line."""
    cappa.invoke(
        Lycheetide, version=cappa.Arg(__version__, long=True, help="the version")
    )
