"""Steps for the build of a deployment."""

import os
import stat
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from support.checkouts import (
    ABSENT_INSTALLER,
    KILLED_INSTALLER,
    PACKAGES,
    Checkout,
)

UNAVAILABLE = "sample-absent==1.0 --hash=sha256:" + "0" * 64


def new_checkout(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.checkout = Checkout(folder=Path(folder.name))
    return context.checkout


def built_checkout(context):
    checkout = new_checkout(context)
    code, output = checkout.build()
    assert code == 0, output
    return checkout


def make_newer(folder):
    """Sets the time of a folder to after that of all other files."""
    later = time.time() + 60
    os.utime(folder, (later, later))


@given("a new checkout")
def step_new(context):
    new_checkout(context)


@given("a built checkout")
def step_built(context):
    built_checkout(context)


@given("a built checkout whose build lock cannot be opened")
def step_locked(context):
    checkout = built_checkout(context)
    build_lock = checkout.folder / "target" / "deps.lock"
    build_lock.unlink()
    build_lock.mkdir()


@given("a checkout whose dependency folder {state}")
def step_folder(context, state):
    match state:
        case "is empty":
            checkout = new_checkout(context)
            checkout.dependencies.mkdir(parents=True)
        case "lacks a file of a package":
            checkout = built_checkout(context)
            (checkout.dependencies / f"{PACKAGES[0]}.py").unlink()
        case "belongs to another lock":
            checkout = new_checkout(context)
            checkout.write_lock(PACKAGES[:1])
            code, output = checkout.build()
            assert code == 0, output
            checkout.write_lock(PACKAGES)
        case "belongs to another Python":
            checkout = built_checkout(context)
            stamp = checkout.dependencies / ".installation.json"
            assert stamp.exists(), "the folder does not say for which Python it is"
            text = stamp.read_text()
            assert "cpython-3" in text, text
            stamp.write_text(text.replace("cpython-3", "cpython-2"))
            (checkout.dependencies / f"{PACKAGES[0]}.py").write_text(
                "raise ImportError"
            )
    make_newer(checkout.dependencies)


@given("a checkout in which a build was killed while it installed")
def step_killed(context):
    checkout = new_checkout(context)
    code, _ = checkout.build(installer=KILLED_INSTALLER)
    assert code != 0
    if checkout.dependencies.exists():
        make_newer(checkout.dependencies)


@given("a checkout whose lock names a package that cannot be had")
def step_unavailable(context):
    new_checkout(context).write_lock(PACKAGES, extra=UNAVAILABLE)


@given("a built checkout whose lock then names a package that cannot be had")
def step_then_unavailable(context):
    built_checkout(context).write_lock(PACKAGES, extra=UNAVAILABLE)


@when("the checkout is built")
def step_build(context):
    code, output = context.checkout.build()
    assert code == 0, output


@when("the checkout is built {count:d} times at once")
def step_build_at_once(context, count):
    builds = [context.checkout.start_build() for _ in range(count)]
    outputs = [build.communicate()[0] for build in builds]
    assert [build.returncode for build in builds] == [0] * count, outputs


@when("the checkout is built without an installer")
def step_build_without_installer(context):
    code, output = context.checkout.build(installer=ABSENT_INSTALLER)
    assert code == 0, output


@when("the checkout is built with a private file mode")
def step_build_private(context):
    code, output = context.checkout.build(umask=0o077)
    assert code == 0, output


@then("its programs can load their dependencies")
def step_load(context):
    error = context.checkout.import_error()
    assert error == "", error


@then("its build fails and names the lock")
def step_fails(context):
    code, output = context.checkout.build()
    assert code != 0
    assert "requirements.lock" in output, output


@then("all users can read its dependency folder")
def step_readable(context):
    folder = context.checkout.dependencies
    hidden = [
        path
        for path in (folder, *folder.rglob("*"))
        if not path.stat().st_mode & stat.S_IROTH
    ]
    assert hidden == [], hidden
