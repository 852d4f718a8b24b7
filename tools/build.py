"""Build the one binary: an executable archive of the program and its libraries."""

import compileall
import shutil
import subprocess
import sys
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAGE = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "lycheetide"
INTERPRETER = f"/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}"
LEFT_OUT = ("__pycache__", "tests", "bin", "*.pyi")


def main():
    """Install into a folder of its own, leave out what is not needed, and pack."""
    shutil.rmtree(STAGE, ignore_errors=True)
    subprocess.run(
        [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile",
         "--target", str(STAGE), str(ROOT)],
        check=True,
    )  # fmt: skip
    for pattern in LEFT_OUT:
        for path in list(STAGE.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
    shutil.copy(ROOT / "tools" / "bootstrap.py", STAGE / "__main__.py")
    # Beside each source, so that a start need not compile and nothing is written.
    compileall.compile_dir(str(STAGE), quiet=1, legacy=True)
    TARGET.parent.mkdir(exist_ok=True)
    zipapp.create_archive(STAGE, TARGET, interpreter=INTERPRETER, compressed=True)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
