"""Run a node whose links to replicas can be cut: ``python -m soak.node CUT_FILE ...``.

The further arguments are those of ``python -m lycheetide``. On one machine a cut
between one process and some addresses can't be made in the network, so it is made where
the process opens its connections.
"""

import json
import sys
import threading
import time
from pathlib import Path

from lycheetide.cli import main
from standins.links import Links, node_index

POLL_S = 0.02
NODE = 0


def read_cut(path):
    """Return the kind and the addresses of a cut from its file; no file is no cut."""
    try:
        cut = json.loads(path.read_text())
    except FileNotFoundError:
        return "", ()
    return cut["kind"], tuple(cut["addresses"])


def write_cut(path, kind, addresses):
    """Write the file of a cut in one step."""
    draft = path.with_suffix(".draft")
    draft.write_text(json.dumps({"kind": kind, "addresses": sorted(addresses)}))
    draft.replace(path)


def follow_cut_file(links, path):
    """Apply the cut that a file names, forever."""
    current = ("", ())
    while True:
        wanted = read_cut(path)
        if wanted != current:
            current = wanted
            links.heal(NODE)
            if wanted[0]:
                links.cut(NODE, wanted[1], kind=wanted[0])
        time.sleep(POLL_S)


def run(cut_path, arguments):
    """Run the program with its connections passing through links that can be cut."""
    links = Links()
    node_index.set(NODE)
    follower = threading.Thread(
        target=follow_cut_file, args=(links, Path(cut_path)), daemon=True
    )
    follower.start()
    sys.argv = ["lycheetide", *arguments]
    with links.installed():
        main()


if __name__ == "__main__":
    run(sys.argv[1], sys.argv[2:])
