"""Membership updates that are being disseminated to other nodes."""

import math

from trefoilpier import board

_RETRANSMIT_FACTOR = 3
_RECORDS_PER_MESSAGE = 8
_LEAVES_PER_MESSAGE = 16


class UpdateQueue:
    """Queue of membership updates to piggyback on messages.

    The least-sent updates go first, and each is sent a bounded number of
    times.

    >>> queue = UpdateQueue()
    >>> queue.add_leaving_leaf("sf-1")
    >>> queue.take_leaving_leaves(nodes=7)
    ('sf-1',)
    """

    __slots__ = ("_sends_by_leaf", "_pending_by_node")

    def __init__(self) -> None:
        self._pending_by_node: dict[str, tuple[int, board.NodeRecord]] = {}
        self._sends_by_leaf: dict[str, int] = {}

    def add(self, record: board.NodeRecord) -> None:
        """Queue a changed record in place of any older one of the node."""
        self._pending_by_node[record.id] = (0, record)

    def add_leaving_leaf(self, leaf_id: str) -> None:
        """Queue the update that a leaf is leaving."""
        self._sends_by_leaf.setdefault(leaf_id, 0)

    def __len__(self) -> int:
        return len(self._pending_by_node) + len(self._sends_by_leaf)

    def take_records(self, *, nodes: int) -> tuple[board.NodeRecord, ...]:
        """Return the records to send with one message.

        Args:
            nodes: Number of known nodes, which bounds how often an update is
                sent.
        """
        sends_limit = _sends_max(nodes)
        pending = sorted(
            self._pending_by_node.items(),
            key=lambda item: (item[1][0], item[0]),
        )
        selected = []
        for node_id, (sends, record) in pending[:_RECORDS_PER_MESSAGE]:
            selected.append(record)
            if sends + 1 >= sends_limit:
                del self._pending_by_node[node_id]
            else:
                self._pending_by_node[node_id] = (sends + 1, record)
        return tuple(selected)

    def take_leaving_leaves(self, *, nodes: int) -> tuple[str, ...]:
        """Return the ids of leaving leaves to send with one message.

        Args:
            nodes: Number of known nodes, which bounds how often an update is
                sent.
        """
        sends_limit = _sends_max(nodes)
        pending = sorted(
            self._sends_by_leaf.items(), key=lambda item: (item[1], item[0])
        )
        selected = []
        for leaf_id, sends in pending[:_LEAVES_PER_MESSAGE]:
            selected.append(leaf_id)
            if sends + 1 >= sends_limit:
                del self._sends_by_leaf[leaf_id]
            else:
                self._sends_by_leaf[leaf_id] = sends + 1
        return tuple(selected)


def _sends_max(nodes: int) -> int:
    """Return how often an update is sent: 3 times log2 of the node count."""
    return _RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(nodes + 1)))
