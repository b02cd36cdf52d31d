"""Starts programs of the platform's folder with settings files of a scenario."""

import tempfile
from pathlib import Path

from support.processes import Program, free_port, free_ports

PATH_VARIABLE = "PLANTAINSTAGE_BOOT"


def loopback_of(context):
    """Returns a loopback address of this scenario's own, for fixed ports."""
    if "ip" not in context:
        number = free_port()
        context.ip = f"127.{number >> 8}.{number & 255}.1"
    return context.ip


def settings_text(context, fault=""):
    ip = loopback_of(context)
    folder = Path(context.folder)
    ports = free_ports(3)
    lines = {
        "node": 'node = "host-1"',
        "zone": 'zone = "dc-1"',
        "ip": f'ip = "{ip}"',
        "ports": f"internalPorts = [{ports}, {ports + 15}]",
        "seeds": f'seeds = ["{ip}:{free_port()}"]',
        "data": f'dataDir = "{folder / "data"}"',
        "listen": "[listen]",
        "front": f'front = "{ip}:{context.front_port}"',
        "ready": f'ready = "{ip}:{free_port()}"',
        "control": f'control = "{ip}:{free_port()}"',
        "bounds": "[bounds]",
        "values": "retryBudgetRatio = 0.2\nretrySlack = 56\ngraceS = 6",
    }
    match fault:
        case "is empty":
            return ""
        case "lacks the node":
            del lines["node"]
        case "has a port that is text":
            lines["ports"] = 'internalPorts = ["high", 7755]'
        case "has no ports":
            lines["ports"] = "internalPorts = []"
        case "lacks the data folder":
            del lines["data"]
        case "lacks its address":
            del lines["front"]
        case "lacks the bounds":
            del lines["bounds"], lines["values"]
    return "\n".join(lines.values()) + "\n"


def prepare(context, fault):
    """Writes a settings file with a fault; returns its path."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    if "front_port" not in context:
        context.front_port = free_port()
    path = Path(folder.name) / "local.toml"
    context.whole_text = settings_text(context, fault)
    match fault:
        case "does not exist":
            return path
        case "is cut short":
            path.write_text(context.whole_text[:40])
        case _:
            path.write_text(context.whole_text)
    context.settings_path = path
    return path


def start(context, program, path):
    """Starts a program of the folder with its log in a file."""
    context.program = Program(
        module=[f"platform/{program}.py"],
        arguments=[],
        log_path=Path(context.folder) / "log",
        variables={PATH_VARIABLE: str(path)},
    )
    context.add_cleanup(context.program.close)


def logged(context, event):
    return [line for line in context.program.log_lines() if line["event"] == event]
