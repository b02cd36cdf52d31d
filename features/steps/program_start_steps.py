"""Steps for programs whose settings or dependencies cannot be used."""

import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from support.platform_programs import PATH_VARIABLE, logged, prepare, start
from support.processes import ROOT, wait_until

START_TIMEOUT_S = 30


@given('"{program}" starts with a settings file that {fault}')
@when('"{program}" starts with a settings file that {fault}')
def step_start(context, program, fault):
    start(context, program, prepare(context, fault))


@when('"{program}" starts without its dependencies')
def step_start_without(context, program):
    path = prepare(context, "is complete")
    log = Path(context.folder) / "log"
    with log.open("wb") as output:
        result = subprocess.run(
            [sys.executable, "-I", "-S", f"platform/{program}.py"],
            cwd=ROOT,
            env={PATH_VARIABLE: str(path)},
            stdout=output,
            stderr=output,
            check=False,
        )
    context.exit_code = result.returncode
    context.log_text = log.read_text()


@when("the settings file is completed")
def step_complete(context):
    wait_until(lambda: logged(context, "settings_unreadable"), what="a first read")
    context.settings_path.write_text(context.whole_text)


@when("the settings file is cut short")
def step_cut(context):
    wait_until(lambda: logged(context, "started"), what="a start")
    context.settings_path.write_text(context.whole_text[:40])


@then('it logs a failure of type "{error}" that names "{name}"')
def step_failure(context, error, name):
    if "log_text" not in context:
        context.exit_code = context.program.process.wait(START_TIMEOUT_S)
        context.log_text = context.program.log_path.read_text()
    lines = context.log_text.splitlines()
    failures = [line for line in lines if '"program_failed"' in line]
    assert len(failures) == 1, context.log_text
    assert f'"{error}"' in failures[0] and name in failures[0], failures[0]
    assert "Traceback" not in context.log_text, context.log_text


@then("it exits with {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code, context.exit_code


@then('"{program}" starts')
def step_started(context, program):
    wait_until(lambda: logged(context, "started"), what="a start")


@then('"{program}" logs that the last settings stay in use')
def step_last_settings(context, program):
    def warned():
        lines = logged(context, "message")
        return [line for line in lines if "settings unreadable" in line["text"]]

    wait_until(warned, what="a line about the unreadable file")
