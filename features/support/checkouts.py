"""Checkouts with small dependencies of their own, built like a deployment."""

import base64
import hashlib
import os
import shutil
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("sample_one", "sample_two")
# Installs one package and then kills the build, like a loss of power.
KILLED_INSTALLER = """
import os, pathlib, signal, sys
folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
folder.mkdir(parents=True, exist_ok=True)
(folder / "sample_one.py").write_text("")
os.killpg(0, signal.SIGKILL)
"""
ABSENT_INSTALLER = "raise SystemExit('no installer is expected to run')"


class Checkout:
    """A folder with a deploy file, a lock and the wheels that the lock names."""

    def __init__(self, *, folder: Path):
        self.folder = folder
        self.dependencies = folder / "target" / "deps"
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        deploy = tomllib.loads((folder / "deploy" / "system.toml").read_text())
        self.command = deploy["build"]
        (folder / "wheels").mkdir()
        self.write_lock(PACKAGES)

    def write_lock(self, packages, extra=""):
        """Writes a lock that names wheels, each with its hash."""
        lines = ["--no-index"]
        for package in packages:
            wheel = _build_wheel(self.folder / "wheels", package)
            digest = hashlib.sha256(wheel.read_bytes()).hexdigest()
            lines.append(f"./wheels/{wheel.name} --hash=sha256:{digest}")
        lock = self.folder / "requirements.lock"
        lock.write_text("\n".join([*lines, extra]))

    def start_build(self, *, installer="", umask=-1):
        """Starts the build; ``installer`` is the source of a stand-in for pip."""
        environment = os.environ | {
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}"
        }
        if installer:
            stub = self.folder / "stub" / "pip"
            stub.mkdir(parents=True, exist_ok=True)
            # A package without this file ranks after the real one.
            (stub / "__init__.py").touch()
            (stub / "__main__.py").write_text(installer)
            environment["PYTHONPATH"] = str(stub.parent)
        return subprocess.Popen(
            self.command,
            shell=True,
            cwd=self.folder,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            start_new_session=True,
            umask=umask,
        )

    def build(self, **options):
        """Builds; returns the exit code and the output."""
        process = self.start_build(**options)
        output = process.communicate()[0].decode()
        return process.returncode, output

    def import_error(self):
        """Returns what an import of the dependencies prints, empty if it works."""
        result = subprocess.run(
            [sys.executable, "-c", f"import {', '.join(PACKAGES)}"],
            env={"PYTHONPATH": str(self.dependencies)},
            capture_output=True,
            check=False,
        )
        return result.stderr.decode()


def _build_wheel(folder, package):
    record = []
    wheel = folder / f"{package}-1.0-py3-none-any.whl"
    info = f"{package}-1.0.dist-info"
    files = {
        f"{package}.py": "VALUE = 1\n",
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: {package}\nVersion: 1.0\n",
        f"{info}/WHEEL": (
            "Wheel-Version: 1.0\nGenerator: test\n"
            "Root-Is-Purelib: true\nTag: py3-none-any\n"
        ),
    }
    with zipfile.ZipFile(wheel, "w") as archive:
        for name, text in files.items():
            archive.writestr(zipfile.ZipInfo(name), text)
            digest = base64.urlsafe_b64encode(hashlib.sha256(text.encode()).digest())
            record.append(f"{name},sha256={digest.decode().rstrip('=')},{len(text)}")
        record.append(f"{info}/RECORD,,")
        archive.writestr(zipfile.ZipInfo(f"{info}/RECORD"), "\n".join(record) + "\n")
    return wheel
