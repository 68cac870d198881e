#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use
# only the standard library, so this compiles them and finds syntax errors.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q harness_2.py 6 7 8 9 10
