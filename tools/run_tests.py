"""Runs the behave features and prints a summary line with the counts.

Scenarios that KNOWN-RED.txt lists may fail. They run; a failure is printed as "known
red" with its location and name and does not count (KNOWN-RED.txt gives the reason). A
listed scenario that passes is printed too, so that its entry can be removed.
"""

import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PASSED = "passed"


@dataclass(frozen=True, kw_only=True)
class ScenarioResult:
    """The outcome of one scenario, named as in the feature file."""

    name: str
    location: str
    status: str


def read_known_red():
    """Returns the scenario names that KNOWN-RED.txt lists after ``test:``."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def run_behave(arguments, report_path):
    """Runs behave and returns its exit code; writes a JSON report to a file."""
    command = [
        sys.executable,
        "-m",
        "behave",
        "--format",
        "json",
        "--outfile",
        str(report_path),
        # Without an --outfile this format writes to standard output. Naming
        # /dev/stdout as its file would overwrite an output that goes to a file.
        "--format",
        "progress3",
        *(arguments or ["features"]),
    ]
    environment = dict(os.environ)
    source = str(ROOT / "src")
    inherited = environment.get("PYTHONPATH")
    environment["PYTHONPATH"] = f"{source}:{inherited}" if inherited else source
    return subprocess.run(command, cwd=ROOT, env=environment, check=False).returncode


def read_results(report_path):
    """Returns a ScenarioResult for each scenario in behave's JSON report."""
    features = msgspec.json.decode(report_path.read_bytes())
    return [
        ScenarioResult(
            name=element["name"],
            location=element["location"],
            status=element.get("status", "untested"),
        )
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] == "scenario"
    ]


def main(arguments):
    """Runs the tests; returns 0 if they ran and only listed scenarios failed."""
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.json"
        exit_code = run_behave(arguments, report_path)
        try:
            results = read_results(report_path)
        except (OSError, msgspec.DecodeError):
            print("behave wrote no readable report; see its output above")
            print("0 passed, 1 failed")
            return 1
    known_red = read_known_red()
    passed = [result for result in results if result.status == PASSED]
    red = [
        result
        for result in results
        if result.status != PASSED and result.name in known_red
    ]
    failed = [
        result
        for result in results
        if result.status != PASSED and result.name not in known_red
    ]
    for result in red:
        print(f"known red: {result.location} {result.name}")
    for name in sorted(known_red & {result.name for result in passed}):
        print(f"listed in KNOWN-RED.txt but passed: {name}")
    for result in failed:
        print(f"failed: {result.location} {result.name} ({result.status})")
    # behave also fails on errors outside scenarios, such as in a hook.
    broken = exit_code != 0 and not failed and not red
    failures = len(failed) + int(broken or not results)
    print(f"{len(passed)} passed, {failures} failed")
    return int(failures > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
