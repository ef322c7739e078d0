"""Merges the records of several parts."""

import heapq
from collections.abc import Iterable

_RECORD_BYTES = 16


def merge_records(parts: Iterable[bytes], records_max: int) -> bytes:
    """Returns the greatest records, greatest first; equal ones all count.

    Bytes at the end of a part that make no whole record are left out.

    >>> a, b = b"a" * 16, b"b" * 16
    >>> merge_records([a + b, b + b"rest"], 2) == b + b
    True
    """
    records = (
        part[start : start + _RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - _RECORD_BYTES + 1, _RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(records_max, records))
