"""The services that the newest committed configuration names."""

from collections.abc import Callable

from plantainstage._registry.machine import ConfigurationMachine


class ConfiguredServices:
    """Answers which services exist, as far as this replica knows.

    ``decode(document)`` returns the names in a document. A version is decoded once.
    """

    def __init__(
        self,
        *,
        machine: ConfigurationMachine,
        decode: Callable[[bytes], frozenset[str]],
    ):
        self.machine = machine
        self.decode = decode
        self.version = machine.newest.version
        self.names = frozenset()

    def is_named(self, service: str) -> bool:
        """Whether the newest committed configuration names the service."""
        newest = self.machine.newest
        if newest.version != self.version:
            self.names = self.decode(newest.document)
            self.version = newest.version
        return service in self.names
