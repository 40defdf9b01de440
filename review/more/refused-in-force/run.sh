#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
command -v python3 >/dev/null || { echo "python3 (3.11 or newer) is needed"; exit 2; }
exec python3 "$(dirname "$0")/scenario.py"
