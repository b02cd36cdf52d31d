"""The error hierarchy.

Each type carries its data as fields. The text says what happened, whether
anything ran, and what to do next. The classes are data classes, but not frozen:
Python itself assigns the traceback and the cause of a raised exception.
"""

from dataclasses import dataclass

from plantainstage._messages.callers import RunState


@dataclass(kw_only=True, eq=False)
class PlantainstageError(Exception):
    """Base of all errors of this package."""

    def __str__(self):
        return self.describe()

    def describe(self):
        """Returns what happened and what to do next, in one or two sentences."""
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


class SettingsError(ExceptionGroup):
    """All settings errors of one start, reported together."""

    def derive(self, excs):
        return SettingsError(self.message, excs)


# ---- Serving configuration ------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class ConfigurationProblem:
    """One thing that is wrong, and where: ``route NAME``, ``service NAME``."""

    place: str
    detail: str

    def __str__(self):
        return f"{self.place}: {self.detail}"


@dataclass(kw_only=True, eq=False)
class InvalidConfigurationError(PlantainstageError):
    """A configuration that is refused as a whole; nothing of it is in force."""

    problems: tuple[ConfigurationProblem, ...]

    @classmethod
    def unreadable(cls, detail):
        """Returns the error for a document that cannot be read in full."""
        return cls(problems=(ConfigurationProblem(place="document", detail=detail),))

    def describe(self):
        return (
            "The configuration is refused; nothing of it is in force. "
            + "; ".join(map(str, self.problems))
            + ". Correct it and send it again under a higher version."
        )


@dataclass(kw_only=True, eq=False)
class InvalidAnnouncementError(PlantainstageError):
    """An announcement of a searcher that cannot be read; it changes nothing."""

    detail: str

    def describe(self):
        return f"The announcement is refused: {self.detail}. Correct it and repeat it."


# ---- Requests of callers --------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class RefusalError(PlantainstageError):
    """A request that the tier refuses; the caller sees all fields.

    ``run`` is a claim: ``NOT_RUN`` means that nothing was or will be run.
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
    """The replica asked is not the leader; nothing was done."""

    leader_address: str = ""

    def describe(self):
        where = self.leader_address or "unknown at the moment"
        return f"This control replica is not the leader; the leader is {where}."


@dataclass(kw_only=True, eq=False)
class OutcomeUnknownError(PlantainstageError):
    """Leadership was lost while a proposal was pending; it may still commit."""

    def describe(self):
        return (
            "The proposal may or may not take effect. Send it again: a repeated "
            "command gets its first result."
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
            "Check that a majority of control replicas runs and is reachable, then "
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
    """Damage before the tail of the log, which a crash cannot explain."""


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
    """A new group cannot be founded with this folder."""


# ---- Transport -----------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class ExchangeError(PlantainstageError):
    """An HTTP exchange with a searcher failed.

    ``bytes_sent`` is false only when no byte of the request can have left.
    """

    address: str
    reason: str
    bytes_sent: bool

    def describe(self):
        sent = "may have run" if self.bytes_sent else "was not sent"
        return f"{self.address}: {self.reason}; the sub-request {sent}."


@dataclass(kw_only=True, eq=False)
class ListenError(PlantainstageError):
    """An address cannot be listened on; the program does not start."""

    flag: str
    address: str
    detail: str

    def describe(self):
        return (
            f"{self.flag}: cannot listen on {self.address}: {self.detail}. "
            "End the process that uses the address, or choose another one."
        )


# ---- Invariants ----------------------------------------------------------------------


@dataclass(kw_only=True, eq=False)
class InvariantViolation(PlantainstageError):
    """A condition that must always hold does not; the work at hand stops."""

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
