"""The command line."""

import signal
import sys


def main():
    """Run the command line.

    SIGHUP asks a node to reload its settings, but its default action ends the process.
    A signal that arrives while the node still imports its libraries would end it.
    SIGHUP is therefore ignored until the node installs its handler; the settings are
    read after that anyway.
    """
    if "node" in sys.argv[1:2]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    match sys.argv[1:]:
        case ["node", "--settings", path]:
            from lycheetide.cli._node import run_node_from_file

            run_node_from_file(path)
        case _:
            from lycheetide.cli._main import main as run

            run()


__all__ = ["main"]
