#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing to build, only to
# check. The scripts also need the build of the deploy file (target/deps).
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
if not pathlib.Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of deploy/system.toml first")
names = ["stand_ins2", "6", "7", "8", "9", "10"]
for name in names:
    for path in sorted(pathlib.Path("review", name).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
