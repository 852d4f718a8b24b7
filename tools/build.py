"""Build the executable archive of the program and its libraries."""

import compileall
import shutil
import subprocess
import sys
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAGING_DIR = ROOT / "build" / "binary"
OUTPUT_PATH = ROOT / "dist" / "lycheetide"
INTERPRETER = f"/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}"
EXCLUDED_PATTERNS = ("__pycache__", "tests", "bin", "*.pyi")


def main():
    """Install into a staging folder, remove what isn't needed, and pack it."""
    shutil.rmtree(STAGING_DIR, ignore_errors=True)
    subprocess.run(
        [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile",
         "--target", str(STAGING_DIR), str(ROOT)],
        check=True,
    )  # fmt: skip
    for pattern in EXCLUDED_PATTERNS:
        for path in list(STAGING_DIR.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
    shutil.copy(ROOT / "tools" / "bootstrap.py", STAGING_DIR / "__main__.py")
    # Bytecode is placed beside each source file, so that a start of the program neither
    # compiles nor writes any.
    compileall.compile_dir(str(STAGING_DIR), quiet=1, legacy=True)
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    zipapp.create_archive(
        STAGING_DIR, OUTPUT_PATH, interpreter=INTERPRETER, compressed=True
    )
    print(f"{OUTPUT_PATH.relative_to(ROOT)}: {OUTPUT_PATH.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
