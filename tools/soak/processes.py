"""The programs of the soak as separate processes, with their faults."""

import shutil

from support.processes import Program, free_ports


class Process:
    """A program that is ended and started again; only this soak's own."""

    def __init__(self, *, name, module, arguments, log_path):
        self.name = name
        self.module = module
        self.arguments = arguments
        self.log_path = log_path
        self.program = None

    def start(self):
        """Starts the program."""
        self.program = Program(
            module=["-m", self.module],
            arguments=self.arguments,
            log_path=self.log_path,
        )

    @property
    def pid(self):
        """The id of the process that runs now."""
        return self.program.process.pid

    def ended_by_itself(self):
        """Whether the process has ended although nobody asked for it."""
        return self.program.process.poll() is not None


def make_registry(folder, number, seeds):
    """Returns the process of one control replica; ``seeds`` are first ports."""
    port = seeds[number]
    data = folder / f"registry-{number}"
    arguments = [
        *("--host-id", f"registry-{number}"),
        *("--listen", f"127.0.0.1:{port}"),
        *("--data-folder", str(data)),
        *("--heartbeat", "0.4"),
        "--found",
    ]
    for seed in seeds:
        arguments += ["--seed", f"127.0.0.1:{seed}"]
    process = Process(
        name=f"registry-{number}",
        module="plantainstage._programs.registry",
        arguments=arguments,
        log_path=folder / f"registry-{number}.log",
    )
    process.address = f"127.0.0.1:{port}"
    process.data = data
    return process


def make_gateway(folder, number, seeds):
    """Returns the process of one entry host."""
    listen = free_ports(2)
    arguments = [
        *("--host-id", f"gateway-{number}"),
        *("--data-centre", "dc-1"),
        *("--listen", f"127.0.0.1:{listen}"),
        *("--ready-listen", f"127.0.0.1:{listen + 1}"),
        *("--retry-slack", "1000"),
    ]
    for seed in seeds:
        arguments += ["--registry", f"127.0.0.1:{seed}"]
    process = Process(
        name=f"gateway-{number}",
        module="plantainstage._programs.gateway",
        arguments=arguments,
        log_path=folder / f"gateway-{number}.log",
    )
    process.address = f"127.0.0.1:{listen}"
    process.ready_address = f"127.0.0.1:{listen + 1}"
    return process


def lose_folder(registry):
    """Removes what a replica has on its disk; it joins the group again."""
    shutil.rmtree(registry.data, ignore_errors=True)
    registry.arguments = [
        "--join" if argument == "--found" else argument
        for argument in registry.arguments
    ]
