"""Records of the entry VMs."""

import enum
from dataclasses import dataclass


class NodeState(enum.IntEnum):
    """State of a node; at equal incarnation the higher state supersedes."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeRecord:
    """One process of an entry VM.

    Attributes:
        id: Id of the process.
        host: IP address.
        peer_port: TCP and UDP port for peers.
        caller_port: Port for callers and operators.
        region: Region of the VM.
        zone: Availability zone of the VM.
        incarnation: Number that grows with each start and each refutation.
        state: State of the node as far as this process knows.
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
        """Return whether this record is newer than another of the same node.

        A leaving or dead node becomes live again only with a higher
        incarnation.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state > other.state
