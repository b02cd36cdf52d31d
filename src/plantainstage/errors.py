"""The errors that this package raises."""

from plantainstage._errors import (
    ControlUnavailableError,
    CorruptLogError,
    ExchangeError,
    FolderInUseError,
    InvariantViolation,
    ListenError,
    NotLeaderError,
    OutcomeUnknownError,
    PlantainstageError,
    RefusalError,
    RolledBackFolderError,
    SettingError,
    SettingsError,
    StorageError,
    StorageFailedError,
    check_invariant,
)

__all__ = [
    "ControlUnavailableError",
    "CorruptLogError",
    "ExchangeError",
    "FolderInUseError",
    "InvariantViolation",
    "ListenError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "PlantainstageError",
    "RefusalError",
    "RolledBackFolderError",
    "SettingError",
    "SettingsError",
    "StorageError",
    "StorageFailedError",
    "check_invariant",
]
