"""Digests of the membership table, to exchange only what differs."""

from collections.abc import Iterable

from trefoilpier import base, board

BUCKETS = 64


def bucket_of(node_id: str) -> int:
    """Returns the bucket that a node belongs to.

    >>> 0 <= bucket_of("vm-1") < BUCKETS
    True
    """
    return base.stable_hash(node_id) % BUCKETS


def digests(records: Iterable[board.NodeRecord]) -> tuple[int, ...]:
    """Returns one number for each bucket; equal tables have equal ones.

    The number joins the hashes of the bucket's records by exclusive or, so
    the order does not count.

    >>> digests([]) == (0,) * BUCKETS
    True
    """
    sums = [0] * BUCKETS
    for record in records:
        text = f"{record.id}|{record.incarnation}|{int(record.state)}"
        sums[bucket_of(record.id)] ^= base.stable_hash(text)
    return tuple(sums)


def differing(
    records: Iterable[board.NodeRecord],
    own: tuple[int, ...],
    other: tuple[int, ...],
) -> tuple[board.NodeRecord, ...]:
    """Returns the records of the buckets whose digests differ."""
    if len(other) != BUCKETS:
        return tuple(records)
    buckets = {k for k in range(BUCKETS) if own[k] != other[k]}
    return tuple(r for r in records if bucket_of(r.id) in buckets)
