"""Installs the locked dependencies of a deployment into ``target/deps``.

The folder counts as whole only if it holds a record that fits the lock, the Python
that runs this program and each file that was installed. Otherwise the packages are
installed into a folder beside it, which takes its place once the record is written, so
that a build that ends early leaves nothing that a later one would accept. Builds of one
checkout wait for each other. For example::

    python3 deploy/install_dependencies.py
"""

import contextlib
import fcntl
import hashlib
import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOCK = ROOT / "requirements.lock"
FOLDER = ROOT / "target" / "deps"
NEW_FOLDER = ROOT / "target" / "deps.new"
OLD_FOLDER = ROOT / "target" / "deps.old"
BUILD_LOCK = ROOT / "target" / "deps.lock"
RECORD_NAME = ".installation.json"
# The programs may run as another user than the build.
FILE_MODE_MASK = 0o022


def expected_source() -> dict:
    """Returns what the dependencies are installed from: the lock and the Python."""
    return {
        "lock": hashlib.sha256(LOCK.read_bytes()).hexdigest(),
        "python": f"{sys.implementation.cache_tag} {sys.platform} {os.uname().machine}",
    }


def installed_files(folder: Path) -> dict:
    """Returns the size in bytes of each file, except those that Python adds itself."""
    return {
        str(path.relative_to(folder)): path.stat().st_size
        for path in sorted(folder.rglob("*"))
        if path.is_file()
        and "__pycache__" not in path.parts
        and path.name != RECORD_NAME
    }


def is_whole(folder: Path) -> bool:
    """Whether the folder holds what the lock names, complete and for this Python."""
    try:
        record = json.loads((folder / RECORD_NAME).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        print(f"{folder.name} has no readable record: {error}")
        return False
    if record.get("source") != expected_source():
        print(f"{folder.name} belongs to another lock or another Python")
        return False
    if record.get("files") != installed_files(folder):
        print(f"{folder.name} lacks files, or some have changed")
        return False
    return True


def install(folder: Path) -> int:
    """Installs the locked packages into a new folder; returns pip's exit code."""
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--require-hashes"]
    command = [*pip, "--target", str(folder), "-r", str(LOCK)]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def write_record(folder: Path):
    """Writes the record that makes a folder count as whole."""
    record = {"source": expected_source(), "files": installed_files(folder)}
    (folder / RECORD_NAME).write_text(json.dumps(record), encoding="utf-8")


def replace_folder():
    """Puts the new folder in the place of the one in use."""
    if FOLDER.exists():
        FOLDER.rename(OLD_FOLDER)
    NEW_FOLDER.rename(FOLDER)
    remove(OLD_FOLDER)


def remove(folder: Path):
    """Removes a folder, which an earlier build may have left."""
    with contextlib.suppress(FileNotFoundError):
        shutil.rmtree(folder)


def main() -> int:
    """Installs the dependencies unless they are whole; returns the exit code."""
    if is_whole(FOLDER):
        # Needs no write access: the checkout may be another user's, or read-only.
        return 0
    os.umask(FILE_MODE_MASK)
    FOLDER.parent.mkdir(exist_ok=True)
    with BUILD_LOCK.open("w") as build_lock:
        fcntl.flock(build_lock, fcntl.LOCK_EX)
        if is_whole(FOLDER):
            return 0  # by the build that held the lock
        remove(NEW_FOLDER)
        remove(OLD_FOLDER)
        exit_code = install(NEW_FOLDER)
        if exit_code != 0:
            print(f"cannot install {LOCK.name}: pip ended with exit code {exit_code}")
            return 1
        write_record(NEW_FOLDER)
        replace_folder()
    return 0


if __name__ == "__main__":
    sys.exit(main())
