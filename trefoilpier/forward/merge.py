"""Merge of the records of several parts."""

import heapq
from collections.abc import Iterable

_RECORD_BYTES = 16


def merge_records(parts: Iterable[bytes], records_max: int) -> bytes:
    """Return the greatest records in descending order, with duplicates.

    An incomplete record at the end of a part is ignored.

    Args:
        parts: Concatenated 16-byte records of each part.
        records_max: Maximum number of records returned.

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
