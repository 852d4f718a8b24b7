"""Age of the process as recorded by the operating system."""

import subprocess
import sys
import time

from lycheetide.metrics import read_process_age_s


def test_process_age_includes_its_start():
    """The age must include the interpreter's start and the imports.

    Without these, a start that takes seconds on a busy host can't be told apart from a
    node that is late to become ready.
    """
    started_s = time.monotonic()
    code = (
        "import time; time.sleep(0.3);"
        "from lycheetide.metrics import read_process_age_s;"
        "print(read_process_age_s())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    took_s = time.monotonic() - started_s
    assert 0.28 <= float(done.stdout) <= took_s + 0.02


def test_process_age_grows():
    before_s = read_process_age_s()
    time.sleep(0.05)
    assert read_process_age_s() - before_s >= 0.03
