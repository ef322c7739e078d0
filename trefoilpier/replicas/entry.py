"""What a leaf says of itself in the platform's store."""

import enum
from dataclasses import dataclass


class LeafPhase(enum.StrEnum):
    """Whether a leaf takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafEntry:
    """One incarnation of a leaf.

    Attributes:
        id: The leaf's id.
        incarnation: Unix milliseconds of its start; 0 if it does not say.
        service: Name of its service.
        host: IP number.
        port: TCP port.
        zone: Its availability zone.
        slots: Requests that it processes at a time.
        phase: Whether it takes new requests.
        warm_up_s: Seconds for which it stays slow after its start.
    """

    id: str
    incarnation: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    phase: LeafPhase
    warm_up_s: float = 0.0

    def same_process(self, other: "LeafEntry") -> bool:
        """Whether two entries speak of one process at one address."""
        return (
            self.incarnation == other.incarnation
            and self.service == other.service
            and self.host == other.host
            and self.port == other.port
        )
