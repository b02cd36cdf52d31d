"""A small tier of separate processes for scenarios."""

import tempfile
from pathlib import Path

from support.processes import (
    Program,
    free_address,
    free_port,
    get_status,
    post_json,
    wait_until,
)

CONTROL = ("-m", "plantainstage._programs.control")
ENTRY = ("-m", "plantainstage._programs.entry")
SEARCHER = ("examples/standin_searcher.py",)


class Tier:
    """Control, entry hosts and stand-in searchers on loopback."""

    def __init__(self, resources):
        self.resources = resources
        self.folder = Path(
            resources.enter_context(tempfile.TemporaryDirectory(prefix="tier-"))
        )
        self.control_addresses = []
        self.entry_addresses = []
        self.programs = {}

    def start(self, name, module, *arguments):
        """Starts a program under ``name``; it ends with the scenario."""
        program = Program(
            module=module,
            arguments=[str(argument) for argument in arguments],
            log_path=self.folder / f"{name}.log",
        )
        self.resources.callback(program.close)
        self.programs[name] = program
        return program

    def start_control(self):
        address = free_address()
        self.control_addresses.append(address)
        return self.start("control-1", CONTROL, "--listen", address)

    def start_entry(self, name):
        address = free_address()
        self.entry_addresses.append(address)
        control = [part for a in self.control_addresses for part in ("--control", a)]
        return self.start(
            name,
            ENTRY,
            *("--entry-id", name, "--data-centre", "upper-canal"),
            *("--listen", address, "--forward-listen", free_address()),
            *control,
        )

    def start_searchers(self, *, partitions, replicas):
        return self.start(
            "searchers",
            SEARCHER,
            *("--first-port", free_port(), "--partitions", partitions),
            *("--replicas", replicas, "--entry", self.entry_addresses[0]),
        )

    def wait_until_ready(self):
        for address in self.entry_addresses:
            wait_until(
                lambda address=address: get_status(address, "/readyz") == 200,
                what=f"entry host {address} is ready",
            )

    def query(self, body, entry=0):
        return post_json(self.entry_addresses[entry], "/v1/query", body)
