"""Pure decisions on which VMs gather."""

from collections.abc import Iterable

# A gatherer merges some fifty parts within a few milliseconds ...
_CORES_LEAST = 1.0
# ... and some fifty parts of 1 KB arrive within ten milliseconds.
_LINK_MBPS_LEAST = 40.0
# Of a leaf's connections; the rest is for VMs that are being replaced.
_CONNECTION_SHARE = 0.75


def can_gather(*, cores: float, link_mbps: float) -> bool:
    """Whether a VM of this size gathers.

    >>> can_gather(cores=2.1, link_mbps=70), can_gather(cores=0.5, link_mbps=7)
    (True, False)
    """
    return cores >= _CORES_LEAST and link_mbps >= _LINK_MBPS_LEAST


def gatherers_max(connection_limits: Iterable[int]) -> int:
    """Returns how many VMs may hold connections to every leaf.

    >>> gatherers_max([26, 100])
    19
    """
    least = min(connection_limits, default=0)
    return max(1, int(least * _CONNECTION_SHARE))
