#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 14. They and the project's own stand-ins that they use
# (platform/tests/soak/store.py and messages.py, tests/process/ports.py) are Python and need no build: this
# checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-3 python3 -c "import world"
