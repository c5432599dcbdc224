#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python without
# dependencies, so that compiling them shows that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
test -d ../target/deps/swiftjunction || {
  echo 'run the build of the deploy file first' >&2
  exit 2
}
python3 - standins/*.py [1-5]/*.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
    print('compiled', path)
PYTHON
