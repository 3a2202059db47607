#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They and the project's own stand-in for the store
# (platform/tests/soak/store.py) are Python and need no build: this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-2 python3 -c "import world"
