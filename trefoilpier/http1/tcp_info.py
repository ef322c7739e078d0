"""What the kernel tells of a TCP connection."""

import socket
import struct
from typing import Any

# Position of ``tcpi_rtt``, the round trip time in microseconds, in Linux's
# ``struct tcp_info``.
_TCP_INFO_BYTES = 104
_TCP_INFO_RTT = struct.Struct("I")
_TCP_INFO_RTT_OFFSET = 68


def handshake_rtt_s(handle: Any) -> float:
    """Return the round trip time of the TCP handshake in seconds.

    It is 0.0 if the kernel does not tell.
    """
    if not isinstance(handle, socket.socket):
        return 0.0  # A test transport without a socket.
    try:
        info = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        return 0.0  # Not Linux, or the connection is already closed.
    if len(info) < _TCP_INFO_BYTES:
        return 0.0
    return _TCP_INFO_RTT.unpack_from(info, _TCP_INFO_RTT_OFFSET)[0] / 1e6
