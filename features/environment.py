"""behave hooks: each scenario closes the resources that it opened."""

import sys
from contextlib import ExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))


def before_scenario(context, scenario):
    context.resources = ExitStack()


def after_scenario(context, scenario):
    context.resources.close()
