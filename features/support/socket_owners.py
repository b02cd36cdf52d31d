"""Finds out which process opened a TCP connection on loopback (Linux)."""

import os
import socket
import struct
from pathlib import Path

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST = 1  # NLM_F_REQUEST
ANY_STATE = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
INODE_OFFSET = HEADER.size + 4 + 48 + 16  # in an inet_diag_msg


def inode_of(local, remote) -> int:
    """Returns the inode of the socket between two addresses, 0 if there is none.

    Asks the kernel for that one socket: /proc/net/tcp lists all of the machine.
    """
    question = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ANY_STATE)
    question += struct.pack("!HH", local[1], remote[1])
    question += socket.inet_aton(local[0]) + bytes(12)
    question += socket.inet_aton(remote[0]) + bytes(12)
    question += struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    length = HEADER.size + len(question)
    header = HEADER.pack(length, SOCK_DIAG_BY_FAMILY, REQUEST, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + question)
        answer = netlink.recv(4096)
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


def owns(pid: int, local, remote) -> bool:
    """Whether a process has the socket between two addresses."""
    wanted = f"socket:[{inode_of(local, remote)}]"
    try:
        entries = list(Path(f"/proc/{pid}/fd").iterdir())
    except OSError:  # the process has ended
        return False
    return any(_target(entry) == wanted for entry in entries)


def _target(entry):
    try:
        return os.readlink(entry)
    except OSError:  # it has been closed meanwhile
        return ""
