"""Checks that the tests detect each mutation.

Each mutation is applied to a copy of the sources. Then its feature runs or, for a
mutation without one, the simulation with one seed after the other until a check
fails. The output is one JSON line per mutation; the exit code is 1 if any was not
detected. For example::

    python tools/check_mutations.py --only "vote is not synced"
"""

import json
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import click
from agreement_mutations import MUTATIONS
from membership_mutations import MEMBERSHIP_MUTATIONS
from self_repair_mutations import SELF_REPAIR_MUTATIONS

ROOT = Path(__file__).resolve().parent.parent
COPIED_FOLDERS = ("src", "features", "tools", "bench", "examples")
RUN_TIMEOUT_S = 300
ALL_MUTATIONS = (*MUTATIONS, *MEMBERSHIP_MUTATIONS, *SELF_REPAIR_MUTATIONS)


def apply(mutation, root):
    """Applies a mutation, whose old text must occur exactly once."""
    path = root / "src" / "plantainstage" / mutation.file
    text = path.read_text(encoding="utf-8")
    if text.count(mutation.old) != 1:
        raise click.ClickException(
            f"{mutation.name}: the text to replace does not occur exactly once in "
            f"{mutation.file}"
        )
    path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")


def run_seed(root, seed, steps, self_repair):
    """Returns the last line of the error, or an empty string if all checks held."""
    command = [
        sys.executable,
        str(root / "tools" / "run_agreement.py"),
        *("--seed", str(seed), "--steps", str(steps)),
    ]
    if self_repair:
        command.append("--self-repair")
    try:
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            check=False,
            timeout=RUN_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return f"no end within {RUN_TIMEOUT_S} s"
    if done.returncode == 0:
        return ""
    lines = [line for line in done.stderr.splitlines() if line.strip()]
    return lines[-1] if lines else f"exit code {done.returncode}"


def run_feature(root, feature):
    """Returns the failed scenarios, or an empty string if all passed."""
    command = [sys.executable, str(root / "tools" / "run_tests.py"), feature]
    done = subprocess.run(
        command, capture_output=True, text=True, check=False, timeout=RUN_TIMEOUT_S
    )
    failed = [
        line.removeprefix("failed: ")
        for line in done.stdout.splitlines()
        if line.startswith("failed: ")
    ]
    if done.returncode != 0 and not failed:
        raise click.ClickException(f"{feature} could not run: {done.stdout[-500:]}")
    return "; ".join(failed)


def check(mutation, *, seeds, steps):
    """Runs the tests against one mutation and returns its report."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        root = Path(folder)
        for part in COPIED_FOLDERS:
            shutil.copytree(
                ROOT / part, root / part, ignore=shutil.ignore_patterns("__pycache__")
            )
        apply(mutation, root)
        if mutation.feature:
            seen = run_feature(root, mutation.feature) or "not found"
            return {
                "mutation": mutation.name,
                "found": seen != "not found",
                "feature": mutation.feature,
                "seen": seen,
            }
        for seed in range(1, seeds + 1):
            seen = run_seed(root, seed, steps, mutation.self_repair)
            if seen:
                return {
                    "mutation": mutation.name,
                    "found": True,
                    "seed": seed,
                    "seen": seen,
                }
    return {"mutation": mutation.name, "found": False, "seen": "not found"}


@click.command()
@click.option("--seeds", default=40, show_default=True, type=int)
@click.option("--steps", default=50_000, show_default=True, type=int)
@click.option("--every", default=1, show_default=True, type=int)
@click.option("--offset", default=0, show_default=True, type=int)
@click.option(
    "--only", default="", help="Check only mutations whose name contains this text."
)
def main(seeds, steps, every, offset, only):
    """Check all mutations, or every EVERY-th one, starting at OFFSET."""
    missed = 0
    for mutation in ALL_MUTATIONS[offset::every]:
        if only in mutation.name:
            report = check(mutation, seeds=seeds, steps=steps)
            missed += not report["found"]
            click.echo(json.dumps(report))
    sys.exit(int(missed > 0))


if __name__ == "__main__":
    main()
