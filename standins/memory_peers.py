"""A network between nodes without sockets.

Messages are encoded and decoded as on the wire.
"""

import collections
import random
from collections.abc import Callable

from trefoilpier import base, peer

_ZONE_DELAY_S = 0.0015
_LOCAL_DELAY_S = 0.0002
_FRAME_OVERHEAD_BYTES = 20
_DATAGRAM_OVERHEAD_BYTES = 16


class MemoryNetwork:
    """Carries messages between nodes with delay, loss and cuts.

    Attributes:
        loss: Share of datagrams that are lost.
        cut: Pairs of node groups that cannot reach each other, by a test.
        bytes_by_node: Bytes that each node has sent.
        messages_by_node: Messages that each node has sent.
    """

    __slots__ = (
        "_clock",
        "_endpoint_by_address",
        "_endpoint_by_id",
        "_random",
        "bytes_by_node",
        "is_cut",
        "loss",
        "messages_by_node",
    )

    def __init__(self, *, clock: base.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._endpoint_by_address: dict[tuple[str, int], MemoryPeer] = {}
        self._endpoint_by_id: dict[str, MemoryPeer] = {}
        self.loss = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.bytes_by_node: dict[str, int] = collections.defaultdict(int)
        self.messages_by_node: dict[str, int] = collections.defaultdict(int)

    def join(
        self, node_id: str, address: peer.PeerAddress, zone: str
    ) -> "MemoryPeer":
        """Adds a node; one of the same id is replaced."""
        made = MemoryPeer(network=self, node_id=node_id, zone=zone)
        self._endpoint_by_address[(address.host, address.port)] = made
        self._endpoint_by_id[node_id] = made
        return made

    def address_of(self, node_id: str) -> peer.PeerAddress | None:
        """Returns the address of a node that runs, or None."""
        endpoint = self._endpoint_by_id.get(node_id)
        return endpoint.address if endpoint is not None else None

    def remove(self, node_id: str) -> None:
        """Removes a node, as when its process is killed."""
        gone = self._endpoint_by_id.pop(node_id)
        for address, endpoint in list(self._endpoint_by_address.items()):
            if endpoint is gone:
                del self._endpoint_by_address[address]
        gone.alive = False
        for endpoint in self._endpoint_by_id.values():
            self._clock.call_later(_ZONE_DELAY_S, endpoint.lost, node_id)

    def carry(
        self,
        sender: "MemoryPeer",
        address: peer.PeerAddress,
        envelope: peer.Envelope,
        *,
        reliable: bool,
    ) -> int:
        """Carries one message, encoded, or loses it; returns its bytes."""
        data = peer.encode(envelope)
        overhead = _DATAGRAM_OVERHEAD_BYTES
        if reliable:
            overhead = _FRAME_OVERHEAD_BYTES
        size = len(data) + overhead
        self.bytes_by_node[sender.node_id] += size
        self.messages_by_node[sender.node_id] += 1
        target = self._endpoint_by_address.get((address.host, address.port))
        if target is None or self.is_cut(sender.node_id, target.node_id):
            return size
        if not reliable and self._random.random() < self.loss:
            return size
        delay = _LOCAL_DELAY_S if sender.zone == target.zone else _ZONE_DELAY_S
        origin = None if reliable else sender.address
        self._clock.call_later(delay, target.receive, data, origin)
        return size


class MemoryPeer(peer.PeerNetwork):
    """One node's side of a `MemoryNetwork`.

    Attributes:
        node_id: The node.
        zone: Its availability zone.
        address: Its own address, set by the fleet.
        alive: Whether its process still runs.
    """

    __slots__ = (
        "_network",
        "_on_link_lost",
        "_on_message",
        "address",
        "alive",
        "node_id",
        "zone",
    )

    def __init__(
        self, *, network: MemoryNetwork, node_id: str, zone: str
    ) -> None:
        self._network = network
        self.node_id = node_id
        self.zone = zone
        self.address = peer.PeerAddress(host="", port=0)
        self.alive = True
        self._on_message: Callable[..., None] = lambda envelope, address: None
        self._on_link_lost: Callable[[str], None] = lambda node_id: None

    def set_listener(
        self,
        on_message: Callable[[peer.Envelope, peer.PeerAddress | None], None],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Sets who hears messages and lost links."""
        self._on_message = on_message
        self._on_link_lost = on_link_lost

    def has_link(self, node_id: str) -> bool:
        """Tells whether a node runs; links come and go at no cost here."""
        return self._network.address_of(node_id) is not None

    def send(
        self,
        node_id: str,
        address: peer.PeerAddress | None,
        envelope: peer.Envelope,
    ) -> int:
        """Sends over a link; returns the bytes."""
        if address is None:
            address = self._network.address_of(node_id)
        if not self.alive or address is None:
            return 0
        return self._network.carry(self, address, envelope, reliable=True)

    def send_datagram(
        self, address: peer.PeerAddress, envelope: peer.Envelope
    ) -> int:
        """Sends a datagram; returns its bytes."""
        if not self.alive:
            return 0
        return self._network.carry(self, address, envelope, reliable=False)

    def receive(self, data: bytes, origin: peer.PeerAddress | None) -> None:
        """Takes in a message."""
        if self.alive:
            self._on_message(peer.decode(data), origin)

    def lost(self, node_id: str) -> None:
        """Takes in the loss of a link."""
        if self.alive:
            self._on_link_lost(node_id)
