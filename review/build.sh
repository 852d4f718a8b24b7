#!/bin/sh
# Checks that every stand-in a case starts can be loaded with what the deploy build made.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -c "
import review.harness
import standins.http, standins.replica, standins.store
"
