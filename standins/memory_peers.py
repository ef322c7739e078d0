"""In-memory network between nodes.

Messages are encoded and decoded as on the wire.
"""

import collections
import random
from collections.abc import Callable

from trefoilpier import base, peer

_CROSS_ZONE_DELAY_S = 0.0015
_SAME_ZONE_DELAY_S = 0.0002
_FRAME_OVERHEAD_BYTES = 20
_DATAGRAM_OVERHEAD_BYTES = 16


class MemoryNetwork:
    """Network between nodes with delay, datagram loss and partitions.

    Attributes:
        loss: Share of datagrams that are lost.
        is_partitioned: Returns whether the network is partitioned between
            two nodes, given by id.
        bytes_by_node: Number of bytes sent by each node.
        messages_by_node: Number of messages sent by each node.
    """

    __slots__ = (
        "_clock",
        "_endpoint_by_address",
        "_endpoint_by_id",
        "_rng",
        "bytes_by_node",
        "is_partitioned",
        "loss",
        "messages_by_node",
    )

    def __init__(self, *, clock: base.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._endpoint_by_address: dict[tuple[str, int], MemoryPeer] = {}
        self._endpoint_by_id: dict[str, MemoryPeer] = {}
        self.loss = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda one, other: (
            False
        )
        self.bytes_by_node: dict[str, int] = collections.defaultdict(int)
        self.messages_by_node: dict[str, int] = collections.defaultdict(int)

    def join(
        self, node_id: str, address: peer.PeerAddress, zone: str
    ) -> "MemoryPeer":
        """Add a node, or replace the one with the same id."""
        new_endpoint = MemoryPeer(network=self, node_id=node_id, zone=zone)
        self._endpoint_by_address[(address.host, address.port)] = new_endpoint
        self._endpoint_by_id[node_id] = new_endpoint
        return new_endpoint

    def address_of(self, node_id: str) -> peer.PeerAddress | None:
        """Return the address of a running node, or None."""
        endpoint = self._endpoint_by_id.get(node_id)
        return endpoint.address if endpoint is not None else None

    def remove(self, node_id: str) -> None:
        """Remove a node, as if its process were killed."""
        removed = self._endpoint_by_id.pop(node_id)
        for address, endpoint in list(self._endpoint_by_address.items()):
            if endpoint is removed:
                del self._endpoint_by_address[address]
        removed.running = False
        for endpoint in self._endpoint_by_id.values():
            self._clock.call_later(
                _CROSS_ZONE_DELAY_S, endpoint.link_lost, node_id
            )

    def transmit(
        self,
        sender: "MemoryPeer",
        address: peer.PeerAddress,
        envelope: peer.Envelope,
        *,
        reliable: bool,
    ) -> int:
        """Deliver or lose one encoded message and return its size in bytes."""
        data = peer.encode(envelope)
        overhead = _DATAGRAM_OVERHEAD_BYTES
        if reliable:
            overhead = _FRAME_OVERHEAD_BYTES
        size = len(data) + overhead
        self.bytes_by_node[sender.node_id] += size
        self.messages_by_node[sender.node_id] += 1
        target = self._endpoint_by_address.get((address.host, address.port))
        if target is None or self.is_partitioned(
            sender.node_id, target.node_id
        ):
            return size
        if not reliable and self._rng.random() < self.loss:
            return size
        delay = (
            _SAME_ZONE_DELAY_S
            if sender.zone == target.zone
            else _CROSS_ZONE_DELAY_S
        )
        sender_address = None if reliable else sender.address
        self._clock.call_later(delay, target.receive, data, sender_address)
        return size


class MemoryPeer(peer.PeerNetwork):
    """Endpoint of one node in a `MemoryNetwork`.

    Attributes:
        node_id: Id of the node.
        zone: Availability zone of the node.
        address: Address of the node, set by the fleet.
        running: Whether the node's process is running.
    """

    __slots__ = (
        "_network",
        "_on_link_lost",
        "_on_message",
        "address",
        "running",
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
        self.running = True
        self._on_message: Callable[..., None] = lambda envelope, address: None
        self._on_link_lost: Callable[[str], None] = lambda node_id: None

    def set_listener(
        self,
        on_message: Callable[[peer.Envelope, peer.PeerAddress | None], None],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Set the callbacks for messages and lost links."""
        self._on_message = on_message
        self._on_link_lost = on_link_lost

    def has_link(self, node_id: str) -> bool:
        """Return whether a node is running; links need no setup here."""
        return self._network.address_of(node_id) is not None

    def send(
        self,
        node_id: str,
        address: peer.PeerAddress | None,
        envelope: peer.Envelope,
    ) -> int:
        """Send a message over a link and return its size in bytes."""
        if address is None:
            address = self._network.address_of(node_id)
        if not self.running or address is None:
            return 0
        return self._network.transmit(self, address, envelope, reliable=True)

    def send_datagram(
        self, address: peer.PeerAddress, envelope: peer.Envelope
    ) -> int:
        """Send a datagram and return its size in bytes."""
        if not self.running:
            return 0
        return self._network.transmit(self, address, envelope, reliable=False)

    def receive(
        self, data: bytes, sender_address: peer.PeerAddress | None
    ) -> None:
        """Decode a message and pass it to the listener."""
        if self.running:
            self._on_message(peer.decode(data), sender_address)

    def link_lost(self, node_id: str) -> None:
        """Report the loss of a link to the listener."""
        if self.running:
            self._on_link_lost(node_id)
