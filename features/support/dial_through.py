"""Starts a program whose outgoing connections go through the links of a test.

Usage: ``python dial_through.py MAP MODULE ARGUMENTS``. MAP is a JSON file that maps
addresses to the addresses to dial instead. It is read at each dial; an address that
is not in it is dialled unchanged. The code of the program runs unchanged: only the
two library calls that open connections are wrapped.
"""

import json
import runpy
import sys
from pathlib import Path

import pynng
from tornado.tcpclient import TCPClient


def install(path):
    """Wraps the dial calls of pynng and tornado."""

    def translate(address):
        return json.loads(path.read_text(encoding="utf-8")).get(address, address)

    nng_dial = pynng.Socket.dial
    tcp_connect = TCPClient.connect

    def dial(self, address, **options):
        scheme, _, rest = address.partition("://")
        return nng_dial(self, f"{scheme}://{translate(rest)}", **options)

    async def connect(self, host, port, *arguments, **options):
        host, _, port = translate(f"{host}:{port}").rpartition(":")
        return await tcp_connect(self, host, int(port), *arguments, **options)

    pynng.Socket.dial = dial
    TCPClient.connect = connect


def main():
    install(Path(sys.argv[1]))
    sys.argv = sys.argv[2:]
    # Runs the program as ``python FILE`` or ``python -m`` does.
    if sys.argv[0].endswith(".py"):
        sys.path.insert(0, str(Path(sys.argv[0]).resolve().parent))
        runpy.run_path(sys.argv[0], run_name="__main__")
    else:
        runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
