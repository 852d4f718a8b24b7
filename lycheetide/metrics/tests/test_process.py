"""What the system tells of this process."""

import subprocess
import sys
import time

from lycheetide.metrics import read_process_age_s


def test_a_process_knows_how_long_it_took_to_begin():
    """A start that takes seconds on a busy host can't be told from a late readiness."""
    begun_s = time.monotonic()
    code = (
        "import time; time.sleep(0.3);"
        "from lycheetide.metrics import read_process_age_s;"
        "print(read_process_age_s())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    took_s = time.monotonic() - begun_s
    assert 0.28 <= float(done.stdout) <= took_s + 0.02


def test_the_age_of_a_process_grows():
    before_s = read_process_age_s()
    time.sleep(0.05)
    assert read_process_age_s() - before_s >= 0.03
