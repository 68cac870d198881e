#!/usr/bin/env bash
# The stand-ins are Python files that need the standard library only, so there
# is nothing to compile. The programs under test need the build of the deploy
# file in target/deps.
set -euo pipefail
cd "$(dirname "$0")"
test -d ../target/deps || {
  echo 'run the build of deploy/system.toml first' >&2
  exit 1
}
for file in harness.py [1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
