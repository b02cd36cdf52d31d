#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing to build, only to
# check. The scripts also need the build of the deploy file (target/deps).
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
