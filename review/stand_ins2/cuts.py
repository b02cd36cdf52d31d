"""Finds which machine opened a connection, so that a searcher can be cut off from it.

All connections on loopback come from one address; the kernel's table of sockets and the
descriptors of a process that the test started tell whose a port is.
"""

import os


def _packed(address):
    """Returns an address as the kernel's table writes it."""
    ip, port = address
    packed = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    return f"{packed}:{port:04X}"


def _inode_of(local, remote):
    """Returns the inode of the socket between two addresses, or an empty string."""
    wanted = [_packed(local), _packed(remote)]
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1:3] == wanted:
                return fields[9]
    return ""


def opened_by(peer, own, machine) -> bool:
    """Whether ``machine`` opened the connection from ``peer`` to ``own``."""
    inode = _inode_of(peer, own)
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
