"""The errors that this package raises."""

from plantainstage._errors import (
    BootstrapRefusedError,
    ControlUnavailableError,
    CorruptLogError,
    ExchangeError,
    FolderInUseError,
    InvariantViolation,
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
    "BootstrapRefusedError",
    "ControlUnavailableError",
    "CorruptLogError",
    "ExchangeError",
    "FolderInUseError",
    "InvariantViolation",
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
