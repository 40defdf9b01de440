#!/bin/sh
# The stand-ins of review/4 to review/8 and review/more-2 are Python programs of the standard library: nothing is compiled.
# This checks that they can be run here.
set -eu
cd "$(dirname "$0")"
python3 - common-2/*.py [4-8]/*.py more-2/*/*.py <<'CHECK'
import ast, sys
assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
print("the stand-ins can be run")
CHECK
