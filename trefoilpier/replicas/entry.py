"""Entries of leaves in the platform's store."""

import enum
from dataclasses import dataclass


class LeafPhase(enum.StrEnum):
    """Whether a leaf accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafEntry:
    """One incarnation of a leaf.

    Attributes:
        id: The leaf's id.
        incarnation: Start time in Unix milliseconds; 0 if not stated.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        zone: Its availability zone.
        slots: Requests that the leaf can process at a time.
        phase: Whether the leaf accepts new requests.
        warm_up_s: Seconds for which the leaf is slow after its start.
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

    def is_same_process(self, other: "LeafEntry") -> bool:
        """Return whether both entries describe one process at one address."""
        return (
            self.incarnation == other.incarnation
            and self.service == other.service
            and self.host == other.host
            and self.port == other.port
        )
