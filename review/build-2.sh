#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases 4 to 8 start. They are Python files
# without dependencies, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2 review/[4-8]
