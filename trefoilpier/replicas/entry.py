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
        warm_up_s: Seconds for which the leaf was still cold when it wrote the
            entry; it may rise without a new incarnation.
        revision: Revision of the store in which the entry was written; 0 if
            unknown.
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
    revision: int = 0

    def is_same_process(self, other: "LeafEntry") -> bool:
        """Return whether both entries describe one process at one address."""
        return (
            self.incarnation == other.incarnation
            and self.service == other.service
            and self.host == other.host
            and self.port == other.port
        )
