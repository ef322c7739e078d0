"""Rules that decide which VMs act as gatherers."""

from collections.abc import Iterable

# A gatherer must merge about 50 parts within a few milliseconds.
_CORES_MIN = 1.0
# About 50 parts of 1 KB must arrive within 10 ms.
_LINK_MBPS_MIN = 40.0
# Share of a leaf's connections that gatherers may use. The rest is left for
# VMs that are being replaced.
_GATHERER_CONNECTION_SHARE = 0.75


def can_gather(*, cores: float, link_mbps: float) -> bool:
    """Return whether a VM of this size can act as a gatherer.

    >>> can_gather(cores=2.1, link_mbps=70), can_gather(cores=0.5, link_mbps=7)
    (True, False)
    """
    return cores >= _CORES_MIN and link_mbps >= _LINK_MBPS_MIN


def gatherers_max(connection_limits: Iterable[int]) -> int:
    """Return how many VMs may hold connections to every leaf.

    Args:
        connection_limits: Connections that a leaf of each service accepts.

    >>> gatherers_max([26, 100])
    19
    """
    smallest_limit = min(connection_limits, default=0)
    return max(1, int(smallest_limit * _GATHERER_CONNECTION_SHARE))
