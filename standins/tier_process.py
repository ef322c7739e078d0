"""The process of one VM, whose connections come from the VM's own address.

On loopback, links tell VMs apart by it.

    python -m standins.tier_process HOST
"""

import runpy
import signal
import socket
import sys
from typing import Any

# The program does the same as soon as it runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)


class _BoundSocket(socket.socket):
    """Socket whose connections come from one address."""

    host = ""

    def connect_ex(self, address: Any) -> int:
        """Connect from the VM's address; later calls go on with that."""
        if not self.getsockname()[1]:
            self.bind((self.host, 0))
        return super().connect_ex(address)


def main() -> None:
    """Run the program, with the settings that its environment names."""
    _BoundSocket.host = sys.argv[1]
    socket.socket = _BoundSocket
    runpy.run_module("trefoilpier.tier", run_name="__main__")


if __name__ == "__main__":
    main()
