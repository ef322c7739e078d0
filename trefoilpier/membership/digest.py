"""Digests of the membership table, which limit syncs to differing records."""

from collections.abc import Iterable

from trefoilpier import base, board

BUCKET_COUNT = 64


def bucket_index(node_id: str) -> int:
    """Return the index of the bucket that a node belongs to.

    >>> 0 <= bucket_index("vm-1") < BUCKET_COUNT
    True
    """
    return base.stable_hash(node_id) % BUCKET_COUNT


def bucket_digests(records: Iterable[board.NodeRecord]) -> tuple[int, ...]:
    """Return one digest per bucket; equal tables have equal digests.

    A digest is the exclusive or of the hashes of the bucket's records, and so
    does not depend on their order.

    >>> bucket_digests([]) == (0,) * BUCKET_COUNT
    True
    """
    digests = [0] * BUCKET_COUNT
    for record in records:
        record_state = f"{record.id}|{record.incarnation}|{int(record.state)}"
        digests[bucket_index(record.id)] ^= base.stable_hash(record_state)
    return tuple(digests)


def records_in_differing_buckets(
    records: Iterable[board.NodeRecord],
    own: tuple[int, ...],
    other: tuple[int, ...],
) -> tuple[board.NodeRecord, ...]:
    """Return the records of the buckets whose digests differ.

    Without valid digests of the other node, all records are returned.

    Args:
        records: Records of this node.
        own: Digests of this node's records.
        other: Digests of the other node's records.
    """
    if len(other) != BUCKET_COUNT:
        return tuple(records)
    buckets = {
        index for index in range(BUCKET_COUNT) if own[index] != other[index]
    }
    return tuple(r for r in records if bucket_index(r.id) in buckets)
