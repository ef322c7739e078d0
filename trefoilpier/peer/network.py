"""The interface to other entry VMs."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier.peer import messages


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddress:
    """Where a peer listens, by TCP and UDP."""

    host: str
    port: int


class PeerNetwork(abc.ABC):
    """Sends messages to peers and hands theirs to a listener.

    Messages to one peer over a link arrive in order or not at all; a
    datagram may be lost, doubled or late.
    """

    __slots__ = ()

    @abc.abstractmethod
    def set_listener(
        self,
        on_message: Callable[[messages.Envelope, PeerAddress | None], None],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Sets who hears messages and lost links.

        The address is that of a datagram's sender, None for a link.
        """

    @abc.abstractmethod
    def has_link(self, node_id: str) -> bool:
        """Tells whether a link to or from a node is open."""

    @abc.abstractmethod
    def send(
        self,
        node_id: str,
        address: PeerAddress | None,
        envelope: messages.Envelope,
    ) -> int:
        """Sends over a link; returns the bytes.

        Without a link one is opened to the address; without an address the
        message is dropped.
        """

    @abc.abstractmethod
    def send_datagram(
        self, address: PeerAddress, envelope: messages.Envelope
    ) -> int:
        """Sends one datagram; returns its bytes."""
