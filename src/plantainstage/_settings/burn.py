"""Settings of ``plantainstage-burn``."""

import os
from dataclasses import dataclass

from plantainstage._reports.recorder import KEPT_MINUTES
from plantainstage._settings.base import SettingsCheck

FORMATS = ("text", "json")
PLOT_SUFFIXES = (".png", ".svg")
STANDARD_INPUT = "-"


@dataclass(frozen=True, kw_only=True)
class BurnSettings:
    """The sources of minute records and profiles, and the output.

    Profiles are read from control (``control``) or from a JSON file (``profiles``)
    with a list of objects that have the fields of a profile.
    """

    entries: tuple[str, ...]
    logs: tuple[str, ...]
    control: tuple[str, ...]
    profiles: str
    minutes: int
    timeout_s: float
    format: str
    plot: str

    @classmethod
    def from_flags(
        cls, *, entry, log, control, profiles, minutes, timeout, output_format, plot
    ):
        """Checks all flags; raises SettingsError with every error."""
        check = SettingsCheck()
        check.addresses(flag="--entry", values=entry, minimum=0)
        check.addresses(flag="--control", values=control, minimum=0)
        check.require(
            flag="--entry",
            value="",
            condition=entry or log,
            expected="at least one --entry or --log",
            remedy="Name the entry hosts, or the files with their logs.",
        )
        check.require(
            flag="--profiles",
            value=profiles,
            condition=bool(control) != bool(profiles),
            expected="either --control or --profiles",
            remedy="Name the control replicas, or a JSON file with the profiles.",
        )
        for path in (*log, *((profiles,) if profiles else ())):
            _check_readable(check, "--profiles" if path == profiles else "--log", path)
        check.require(
            flag="--log",
            value=",".join(log),
            condition=len(set(log)) == len(log),
            expected="distinct files",
            remedy="Name each file once.",
        )
        check.choice(flag="--format", value=output_format, choices=FORMATS)
        _check_plot(check, plot)
        settings = cls(
            entries=entry,
            logs=log,
            control=control,
            profiles=profiles,
            minutes=check.integer(
                flag="--minutes",
                value=minutes,
                low=1,
                high=KEPT_MINUTES,
                unit="minutes",
            ),
            timeout_s=check.number(
                flag="--timeout", value=timeout, low=0.1, high=600, unit="seconds"
            ),
            format=output_format,
            plot=plot,
        )
        check.raise_errors()
        return settings


def _check_readable(check, flag, path):
    check.require(
        flag=flag,
        value=path,
        condition=path == STANDARD_INPUT
        or (not os.path.isdir(path) and os.access(path, os.R_OK)),
        expected="a file that this process may read",
        remedy="Check the path and its mode.",
    )


def _check_plot(check, path):
    if not path:
        return
    check.require(
        flag="--plot",
        value=path,
        condition=os.path.splitext(path)[1] in PLOT_SUFFIXES,
        expected="a path that ends in .png or .svg",
        remedy="Choose one of the two formats by the suffix.",
    )
    check.writable_folder(flag="--plot", value=os.path.dirname(path) or ".")
