"""The processes of a soak: control replicas and entry hosts."""

import shutil
from pathlib import Path

from support.processes import Program, free_ports


class Process:
    """A program of this soak that faults may end and restart.

    It serves at ``address``. ``probe`` is an address and a path that answer once it
    serves, ``data_folder`` the data folder of a control replica. ``other_build`` is the
    checkout of another release, or empty while the process runs this one.
    """

    def __init__(self, *, name, arguments, folder, address, probe, data_folder=None):
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f"{name}.log"
        self.address = address
        self.probe = probe
        self.data_folder = data_folder
        self.other_build = ""
        self.program = None

    def start(self):
        """Starts the program."""
        module = self.name.partition("-")[0]
        variables = {}
        if self.other_build:
            variables["PYTHONPATH"] = str(Path(self.other_build) / "src")
        self.program = Program(
            module=["-m", f"plantainstage._programs.{module}"],
            arguments=self.arguments,
            log_path=self.log_path,
            variables=variables,
        )

    def change_build(self, other_build: str):
        """Lets the next start run the other build, or this one again."""
        self.other_build = "" if self.other_build else other_build

    @property
    def pid(self):
        """The id of the current process."""
        return self.program.process.pid

    def has_exited(self):
        """Whether the process has exited; faults restart a process that they end."""
        return self.program.process.poll() is not None


def make_registry(folder, number, seed_ports):
    """Returns the process of one control replica.

    ``seed_ports`` holds the first port of each replica.
    """
    name = f"registry-{number}"
    address = f"127.0.0.1:{seed_ports[number]}"
    data_folder = folder / name
    arguments = [
        *("--host-id", name),
        *("--listen", address),
        *("--data-folder", str(data_folder)),
        *("--heartbeat", "0.4"),
        "--found",
    ]
    for seed_port in seed_ports:
        arguments += ["--seed", f"127.0.0.1:{seed_port}"]
    return Process(
        name=name,
        arguments=arguments,
        folder=folder,
        address=address,
        probe=(address, "/"),
        data_folder=data_folder,
    )


def make_gateway(folder, number, seed_ports):
    """Returns the process of one entry host."""
    name = f"gateway-{number}"
    port = free_ports(3)
    address, ready_address = f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}"
    arguments = [
        *("--host-id", name),
        *("--data-centre", "dc-1"),
        *("--listen", address),
        *("--ready-listen", ready_address),
        *("--relay-listen", f"127.0.0.1:{port + 2}"),
        *("--retry-slack", "1000"),
    ]
    for seed_port in seed_ports:
        arguments += ["--registry", f"127.0.0.1:{seed_port}"]
    return Process(
        name=name,
        arguments=arguments,
        folder=folder,
        address=address,
        probe=(ready_address, "/readyz"),
    )


def delete_data_folder(registry):
    """Deletes a replica's data folder, so that the replica joins the group again."""
    shutil.rmtree(registry.data_folder, ignore_errors=True)
    registry.arguments = [
        "--join" if argument == "--found" else argument
        for argument in registry.arguments
    ]
