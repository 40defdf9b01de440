#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/scenario.py"
