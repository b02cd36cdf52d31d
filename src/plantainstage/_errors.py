"""The error hierarchy.

Each class has its data as fields. The message says what happened, whether anything
was executed, and what to do next. The classes are data classes, but not frozen,
since Python assigns the traceback and the cause of a raised exception.

The names of the classes appear in logs and replies. A class without ``describe``
shows its doc comment as its message.
"""

from dataclasses import dataclass

from plantainstage._messages.callers import RunState


@dataclass(kw_only=True, eq=False)
class PlantainstageError(Exception):
    """Base of all errors of this package."""

    def __str__(self):
        return self.describe()

    def describe(self):
        """Returns the message: what happened and what to do next."""
        return self.__doc__ or type(self).__name__


# ---- Settings -------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class SettingError(PlantainstageError):
    """One setting has a value that cannot be used."""

    flag: str
    value: str
    expected: str
    remedy: str

    def describe(self):
        return (
            f"{self.flag}: {self.value!r} is not valid; expected {self.expected}. "
            f"{self.remedy}"
        )


@dataclass(kw_only=True, eq=False)
class SettingsFileError(PlantainstageError):
    """A settings file cannot be used; the program does not start with it."""

    path: str
    detail: str

    def describe(self):
        return f"{self.path}: {self.detail}. Correct the file; it is read again."


class SettingsError(ExceptionGroup):
    """All errors in the settings of one start, reported together."""

    def derive(self, excs):
        return SettingsError(self.message, excs)


# ---- Serving configuration ------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class ConfigurationProblem:
    """A problem and its place: ``document``, ``route NAME``, ``account NAME``...

    It contains no key of a client account.
    """

    place: str
    detail: str

    def __str__(self):
        return f"{self.place}: {self.detail}"


@dataclass(kw_only=True, eq=False)
class InvalidConfigurationError(PlantainstageError):
    """A configuration is refused as a whole; no part of it is in force."""

    problems: tuple[ConfigurationProblem, ...]

    @classmethod
    def unreadable(cls, detail):
        """Returns the error for a document that cannot be parsed."""
        return cls(problems=(ConfigurationProblem(place="document", detail=detail),))

    def describe(self):
        return (
            "The configuration is refused; no part of it is in force. "
            + "; ".join(map(str, self.problems))
            + ". Correct it and send it again with a higher version."
        )


@dataclass(kw_only=True, eq=False)
class InvalidAnnouncementError(PlantainstageError):
    """An announcement of a searcher cannot be parsed; it has no effect."""

    detail: str

    def describe(self):
        return f"The announcement is refused: {self.detail}. Correct it and resend it."


@dataclass(kw_only=True, eq=False)
class DepartureNotHeardError(PlantainstageError):
    """Nobody who sends requests can hear of a departure from this replica now."""

    searcher_id: str

    def describe(self):
        return (
            f"The departure of {self.searcher_id} cannot be passed on to those that "
            "send requests. Report it to another replica."
        )


@dataclass(kw_only=True, eq=False)
class RegisterFullError(PlantainstageError):
    """A control replica knows too many searchers to take another one."""

    limit: int

    def describe(self):
        return (
            f"{self.limit} searchers are known already; this one was not recorded. "
            "Stop what announces searchers that do not exist, then send it again."
        )


@dataclass(kw_only=True, eq=False)
class InvalidDataCentreError(PlantainstageError):
    """The name of a data centre in an order cannot be one; nothing has changed."""

    detail: str

    def describe(self):
        return f"The name of the data centre is refused: {self.detail}."


@dataclass(kw_only=True, eq=False)
class TooManyEvacuationsError(PlantainstageError):
    """Too many data centres are evacuated for one more; nothing has changed."""

    limit: int

    def describe(self):
        return f"{self.limit} data centres are evacuated already; end one of these."


# ---- Requests of callers --------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class RefusalError(PlantainstageError):
    """A request of a caller is refused; the caller receives all fields.

    ``run`` is a guarantee with ``NOT_RUN``: nothing was executed or will be.
    """

    code: str
    message: str
    remedy: str
    run: RunState = RunState.NOT_RUN
    http_status: int = 400

    def describe(self):
        return f"{self.code}: {self.message} {self.remedy}"


# ---- Control ----------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class NotLeaderError(PlantainstageError):
    """The replica is not the leader; the request had no effect."""

    leader_address: str = ""

    def describe(self):
        where = self.leader_address or "currently unknown"
        return f"This control replica is not the leader; the leader is {where}."


@dataclass(kw_only=True, eq=False)
class OutcomeUnknownError(PlantainstageError):
    """Leadership was lost while a proposal was pending; it may still commit."""

    def describe(self):
        return (
            "The proposal may or may not take effect. Send it again: a repeated "
            "command returns its first result."
        )


@dataclass(kw_only=True, eq=False)
class ControlUnavailableError(PlantainstageError):
    """No control replica gave a usable reply in time."""

    addresses: tuple[str, ...]
    waited_ms: int
    last_error: str = ""

    def describe(self):
        return (
            f"No leader replied within {self.waited_ms} ms on "
            f"{', '.join(self.addresses)} ({self.last_error or 'no reply'}). "
            "Check that a majority of control replicas is running and reachable, then "
            "send the request again; a repeated change gets its first verdict."
        )


# ---- Storage ------------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class StorageError(PlantainstageError):
    """The data folder cannot be used."""

    path: str
    detail: str
    remedy: str

    def describe(self):
        return f"{self.path}: {self.detail} {self.remedy}"


@dataclass(kw_only=True, eq=False)
class CorruptLogError(StorageError):
    """The log is damaged before its end, which a crash cannot cause."""


@dataclass(kw_only=True, eq=False)
class RolledBackFolderError(StorageError):
    """The data folder is older than what this replica has acknowledged."""


@dataclass(kw_only=True, eq=False)
class StorageFailedError(StorageError):
    """A write or sync failed; the replica stops without acknowledging it."""


@dataclass(kw_only=True, eq=False)
class FolderInUseError(StorageError):
    """Another process holds the data folder's lock."""


@dataclass(kw_only=True, eq=False)
class BootstrapRefusedError(StorageError):
    """A new group cannot be created with this folder."""


# ---- Transport -----------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class ExchangeError(PlantainstageError):
    """An HTTP exchange with a searcher failed.

    ``bytes_sent`` is false only if no byte of the request can have been sent.
    """

    address: str
    reason: str
    bytes_sent: bool

    def describe(self):
        sent = "may have run" if self.bytes_sent else "was not sent"
        return f"{self.address}: {self.reason}; the sub-request {sent}."


@dataclass(kw_only=True, eq=False)
class ListenError(PlantainstageError):
    """The program cannot listen on an address and does not start."""

    flag: str
    address: str
    detail: str

    def describe(self):
        return (
            f"{self.flag}: cannot listen on {self.address}: {self.detail}. "
            "End the process that uses the address, or choose another address."
        )


# ---- Invariants ----------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class InvariantViolation(PlantainstageError):
    """A condition that must always hold does not; the current operation stops."""

    invariant: str
    detail: str

    def describe(self):
        return f"invariant {self.invariant} violated: {self.detail}"


def check_invariant(condition, *, invariant, detail):
    """Raises InvariantViolation unless ``condition`` holds.

    An ``assert`` statement would disappear under ``python -O``.
    """
    if not condition:
        raise InvariantViolation(invariant=invariant, detail=detail)
