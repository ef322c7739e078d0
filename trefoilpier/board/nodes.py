"""What this node knows of the entry VMs."""

import enum
from dataclasses import dataclass


class NodeState(enum.IntEnum):
    """How far gone a node is; a higher state wins at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeRecord:
    """One entry VM process.

    Attributes:
        id: Name of the VM's process.
        host: IP number.
        peer_port: TCP and UDP port for peers.
        caller_port: Port for callers and operators.
        region: Region of the VM.
        zone: Availability zone of the VM.
        incarnation: Grows with each start and each refutation.
        state: What is believed of it.
    """

    id: str
    host: str
    peer_port: int
    caller_port: int
    region: str
    zone: str
    incarnation: int
    state: NodeState = NodeState.ALIVE

    def supersedes(self, other: "NodeRecord") -> bool:
        """Tells whether this record is newer than another of the same id.

        A leaving node never comes back under the same incarnation, and a
        dead one only under a higher one.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state > other.state
