"""Stable hashes: content addresses and rendezvous ranks."""

import hashlib
from collections.abc import Iterable

import xxhash


def content_hash(data: bytes) -> str:
    """Returns the address of an immutable value, 32 hexadecimal digits.

    >>> content_hash(b"leaf")[:8]
    '9f91161f'
    """
    return hashlib.sha256(data).hexdigest()[:32]


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash that is the same in every process.

    >>> stable_hash("gown-1") == stable_hash("gown-1")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_nodes(key: str, node_ids: Iterable[str]) -> list[str]:
    """Orders nodes for a key by rendezvous hash, the best one first.

    Removing one node moves only the keys that ranked it.

    Args:
        key: What is being placed.
        node_ids: The candidates, in any order.

    Returns:
        The candidates by falling weight; ties by name.

    >>> ranked = rank_nodes("block-1", ["a", "b", "c"])
    >>> rank_nodes("block-1", ["c", "b", "a"]) == ranked
    True
    >>> rank_nodes("block-1", ranked[1:]) == ranked[1:]
    True
    """
    return sorted(
        node_ids,
        key=lambda node: (stable_hash(f"{key}|{node}"), node),
        reverse=True,
    )
