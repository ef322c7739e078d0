"""Changes of membership that are still being told to other nodes."""

import math

from trefoilpier import board

_RETRANSMIT_FACTOR = 3
_NEWS_PER_MESSAGE = 8
_LEAVES_PER_MESSAGE = 16


class NewsQueue:
    """Hands out the least-told changes, each a bounded number of times.

    >>> queue = NewsQueue()
    >>> queue.add_leaf("sf-1")
    >>> queue.take_leaves(nodes=7)
    ('sf-1',)
    """

    __slots__ = ("_told_by_leaf", "_told_by_node")

    def __init__(self) -> None:
        self._told_by_node: dict[str, tuple[int, board.NodeRecord]] = {}
        self._told_by_leaf: dict[str, int] = {}

    def add(self, record: board.NodeRecord) -> None:
        """Queues a changed record; an older one of the node is dropped."""
        self._told_by_node[record.id] = (0, record)

    def add_leaf(self, leaf_id: str) -> None:
        """Queues the word that a leaf is leaving."""
        self._told_by_leaf.setdefault(leaf_id, 0)

    def __len__(self) -> int:
        return len(self._told_by_node) + len(self._told_by_leaf)

    def take(self, *, nodes: int) -> tuple[board.NodeRecord, ...]:
        """Returns the records for one message among ``nodes`` nodes."""
        most = _retransmissions(nodes)
        rows = sorted(
            self._told_by_node.items(), key=lambda row: (row[1][0], row[0])
        )
        taken = []
        for node_id, (told, record) in rows[:_NEWS_PER_MESSAGE]:
            taken.append(record)
            if told + 1 >= most:
                del self._told_by_node[node_id]
            else:
                self._told_by_node[node_id] = (told + 1, record)
        return tuple(taken)

    def take_leaves(self, *, nodes: int) -> tuple[str, ...]:
        """Returns the leaving leaves for one message."""
        most = _retransmissions(nodes)
        rows = sorted(
            self._told_by_leaf.items(), key=lambda row: (row[1], row[0])
        )
        taken = []
        for leaf_id, told in rows[:_LEAVES_PER_MESSAGE]:
            taken.append(leaf_id)
            if told + 1 >= most:
                del self._told_by_leaf[leaf_id]
            else:
                self._told_by_leaf[leaf_id] = told + 1
        return tuple(taken)


def _retransmissions(nodes: int) -> int:
    """Returns how often a change is told: three times the logarithm."""
    return _RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(nodes + 1)))
