"""The parts of a body that has not arrived in full."""

_LARGE_PART_BYTES = 4 * 1024  # Kept as it is.
_BLOCK_BYTES = 64 * 1024  # Up to which small parts are put together.


class BodyBuffer:
    """Parts of a body, in little more memory than they are long.

    As objects of their own, parts of a few bytes would take some 50 times as
    much. One growing buffer would be copied while it grows.

    Attributes:
        size_bytes: Size of all parts.

    >>> body = BodyBuffer()
    >>> body.add(b"ab")
    >>> body.add(b"c")
    >>> body.size_bytes, body.take(), body.size_bytes
    (3, b'abc', 0)
    """

    __slots__ = ("_parts", "size_bytes")

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._parts: list[bytes | bytearray] = []
        self.size_bytes = 0

    def add(self, part: bytes) -> None:
        """Append a part."""
        self.size_bytes += len(part)
        if not self._parts or len(part) >= _LARGE_PART_BYTES:
            self._parts.append(part)
            return
        last = self._parts[-1]
        if len(last) >= _BLOCK_BYTES:
            self._parts.append(part)
        elif isinstance(last, bytearray):
            last += part
        else:
            self._parts[-1] = bytearray(last + part)

    def take(self) -> bytes:
        """Return the whole body, and empty the buffer."""
        body = b"".join(self._parts)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all parts."""
        if self._parts:
            self._parts = []
            self.size_bytes = 0
