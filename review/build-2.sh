#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases 4 to 8 start. They are Python files:
# compiling them, and loading the project's own ones with what the deploy build made, is all
# there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2 review/[4-8] standins
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "
import review.harness
import review.lib2.case
import standins.http, standins.replica, standins.store
"
