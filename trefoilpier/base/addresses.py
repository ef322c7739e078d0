"""Checks of network addresses that others have written."""

import socket

_PORT_MAX = 65_535


def is_ipv4_address(host: str) -> bool:
    """Return whether a host is an IPv4 address, which needs no look-up.

    >>> is_ipv4_address("10.0.0.1"), is_ipv4_address("a.example")
    (True, False)
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


def is_port(number: object) -> bool:
    """Return whether a value is a port that can be connected to.

    >>> is_port(80), is_port(65_536), is_port(True), is_port(80.0)
    (True, False, False, False)
    """
    if not isinstance(number, int) or isinstance(number, bool):
        return False
    return 0 < number <= _PORT_MAX
