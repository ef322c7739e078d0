"""Stable hashes for content addressing and rendezvous hashing."""

import hashlib
from collections.abc import Iterable

import xxhash


def content_hash(data: bytes) -> str:
    """Return the content address of a value as 32 hexadecimal digits.

    >>> content_hash(b"leaf")[:8]
    '9f91161f'
    """
    return hashlib.sha256(data).hexdigest()[:32]


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process.

    >>> stable_hash("gown-1") == stable_hash("gown-1")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_nodes(key: str, node_ids: Iterable[str]) -> list[str]:
    """Rank nodes for a key by rendezvous hash, highest weight first.

    Removing a node keeps the relative order of the other nodes, so only the
    keys that were placed on that node move.

    Args:
        key: The key to place.
        node_ids: IDs of the candidate nodes, in any order.

    Returns:
        The node IDs by descending weight; equal weights in descending order
        of ID.

    >>> ranked = rank_nodes("block-1", ["a", "b", "c"])
    >>> rank_nodes("block-1", ["c", "b", "a"]) == ranked
    True
    >>> rank_nodes("block-1", ranked[1:]) == ranked[1:]
    True
    """
    return sorted(
        node_ids,
        key=lambda node_id: (stable_hash(f"{key}|{node_id}"), node_id),
        reverse=True,
    )
