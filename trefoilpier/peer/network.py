"""The interface for messages between entry VMs."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier.peer import messages


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddress:
    """The address on which a peer listens for TCP and UDP."""

    host: str
    port: int


class PeerNetwork(abc.ABC):
    """A message transport between nodes.

    Messages on a link to one peer arrive in order or not at all; datagrams
    may be lost, duplicated or delayed.
    """

    __slots__ = ()

    @abc.abstractmethod
    def set_listener(
        self,
        on_message: Callable[[messages.Envelope, PeerAddress | None], None],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Set the callbacks for received messages and lost links.

        Args:
            on_message: Called with each message and the address of a
                datagram's sender; the address is None for a link.
            on_link_lost: Called with the id of the node whose link was lost.
        """

    @abc.abstractmethod
    def has_link(self, node_id: str) -> bool:
        """Return whether a link to or from a node is open."""

    @abc.abstractmethod
    def send(
        self,
        node_id: str,
        address: PeerAddress | None,
        envelope: messages.Envelope,
    ) -> int:
        """Send a message over a link and return its size in bytes.

        If there is no link, one is opened to the address; without an address
        the message is dropped.
        """

    @abc.abstractmethod
    def send_datagram(
        self, address: PeerAddress, envelope: messages.Envelope
    ) -> int:
        """Send a message as a datagram and return its size in bytes."""
