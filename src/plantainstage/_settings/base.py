"""Checks shared by the settings objects of all programs."""

import ipaddress
import os
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from plantainstage._errors import SettingError, SettingsError

# Fewer digits than int() takes; an address may come from another program.
_PORT = re.compile(r"[0-9]{1,5}")
_ADDRESS = re.compile(r"[0-9A-Za-z.:%_\[\]-]{1,80}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")


def is_address(value):
    """Whether ``value`` is ``IP:port`` with a port from 1 to 65535."""
    host, separator, port = value.rpartition(":")
    if not _ADDRESS.fullmatch(value):
        return False  # a scope of IPv6 may hold any text
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return bool(separator) and bool(_PORT.fullmatch(port)) and 0 < int(port) < 2**16


def is_name(value):
    """Whether ``value`` is a valid name of a host, a data centre or the like."""
    return bool(_NAME.fullmatch(value))


def can_listen(address):
    """Whether a TCP socket can be bound to ``address`` at the moment."""
    ip, _, port = address.rpartition(":")
    ip = ip.strip("[]")
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        # As the programs do, so that connections of an ended process do not block it.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, int(port)))
            probe.listen(1)
        except OSError:
            return False
    return True


@dataclass(kw_only=True)
class SettingsCheck:
    """Collects the errors of all settings, so that they are reported together.

    For example::

        check = SettingsCheck()
        check.address(flag="--listen", value=listen)
        check.raise_errors()
    """

    errors: list[SettingError] = field(default_factory=list)

    def require(self, *, flag, value, condition, expected, remedy):
        """Records an error for ``flag`` unless ``condition`` holds."""
        if not condition:
            self.errors.append(
                SettingError(
                    flag=flag, value=str(value), expected=expected, remedy=remedy
                )
            )

    def address(self, *, flag, value):
        """Checks an ``IP:port``."""
        self.require(
            flag=flag,
            value=value,
            condition=is_address(value),
            expected="IP:port with a port from 1 to 65535",
            remedy="Give the numeric address, for example 127.0.0.1:8080.",
        )

    def listen_address(self, *, flag, value):
        """Checks an ``IP:port`` that this process is going to listen on.

        The port is bound briefly. Another process may still take it before the
        program listens, which then fails at its start.
        """
        self.address(flag=flag, value=value)
        if is_address(value):
            self.require(
                flag=flag,
                value=value,
                condition=can_listen(value),
                expected="an address of this host with a free port",
                remedy="Stop the process that listens there, or choose another port.",
            )

    def addresses(self, *, flag, values, minimum=1):
        """Checks a list of at least ``minimum`` distinct addresses."""
        for value in values:
            self.address(flag=flag, value=value)
        self.require(
            flag=flag,
            value=",".join(values),
            condition=len(set(values)) == len(values) >= minimum,
            expected=f"at least {minimum} distinct addresses",
            remedy="Repeat the flag once for each address.",
        )

    def name(self, *, flag, value):
        """Checks an identifier such as a host id or a data centre."""
        self.require(
            flag=flag,
            value=value,
            condition=is_name(value),
            expected="1 to 63 of [A-Za-z0-9_.-], the first a letter or a digit",
            remedy="Choose a short name that is unique in the deployment.",
        )

    def between(self, *, flag, value, low, high, unit):
        """Checks a number against an inclusive range."""
        self.require(
            flag=flag,
            value=value,
            condition=low <= value <= high,
            expected=f"{low} to {high} {unit}",
            remedy="Choose a value in the range.",
        )

    def integer(self, *, flag, value, low, high, unit):
        """Returns the whole number in ``value``, or ``low`` with an error recorded.

        Programs take numbers as text and convert them here: click's own types stop
        at the first invalid flag and would not report the others.
        """
        return self._converted(int, flag, value, low, high, unit)

    def number(self, *, flag, value, low, high, unit):
        """Returns the finite number in ``value``, or ``low`` with an error recorded."""
        return self._converted(float, flag, value, low, high, unit)

    def _converted(self, convert, flag, value, low, high, unit):
        try:
            converted = convert(value)
        except (TypeError, ValueError):
            converted = None
        # Comparisons with NaN are false, so that NaN is refused as well.
        valid = converted is not None and low <= converted <= high
        kind = "a whole number" if convert is int else "a number"
        self.require(
            flag=flag,
            value=value,
            condition=valid,
            expected=f"{kind} from {low} to {high} {unit}".rstrip(),
            remedy="Choose a value in the range.",
        )
        return converted if valid else low

    def choice(self, *, flag, value, choices):
        """Checks that ``value`` is one of ``choices``."""
        self.require(
            flag=flag,
            value=value,
            condition=value in choices,
            expected=f"one of {', '.join(choices)}",
            remedy="Choose one of them.",
        )

    def writable_folder(self, *, flag, value):
        """Checks that a folder exists or can be created, and is writable."""
        path = os.path.abspath(value)
        existing = path
        while not os.path.exists(existing):
            existing = os.path.dirname(existing)
        self.require(
            flag=flag,
            value=value,
            condition=os.path.isdir(existing)
            and os.access(existing, os.W_OK | os.X_OK),
            expected="a folder that this process may write",
            remedy="Create it, or change its owner or mode.",
        )

    def raise_errors(self):
        """Raises SettingsError with all recorded errors, if there are any."""
        if self.errors:
            raise SettingsError("The settings are not valid", self.errors)


def build_settings(build: Callable[[], object]):
    """Returns ``build()``; prints each settings error and exits with code 2."""
    import click

    try:
        return build()
    except SettingsError as group:
        for error in group.exceptions:
            click.echo(f"error: {error}", err=True)
        raise SystemExit(2) from None
