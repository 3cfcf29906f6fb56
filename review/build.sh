#!/usr/bin/env bash
# The stand-ins of the scripts are written in Python (standard library only), so nothing has to be compiled:
# checks that they can be read. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/fleet.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/release/zinnia-platform || echo "build the deploy file before the scripts run"
