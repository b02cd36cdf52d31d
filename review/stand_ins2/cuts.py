"""Finds which machine opened a connection, so that a searcher can be cut off from it.

All connections on loopback come from one address; the kernel's table of sockets and the
descriptors of a process that the test started tell whose a port is.
"""

import os


def _inode_of(ip, port):
    """Returns the inode of the socket with this local address, or an empty string."""
    packed = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    wanted = f"{packed}:{port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1] == wanted:
                return fields[9]
    return ""


def opened_by(peer, machine) -> bool:
    """Whether the process of ``machine`` opened the connection from ``peer``."""
    inode = _inode_of(peer[0], peer[1])
    if inode in ("", "0"):
        return False
    folder = f"/proc/{machine.process.pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False
