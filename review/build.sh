#!/bin/sh
# The stand-ins are Python scripts of the standard library only: there is nothing to build.
set -e
command -v python3 >/dev/null || { echo "python3 (3.11 or newer) is needed"; exit 1; }
python3 -c "import asyncio, tomllib"
