"""Memory for incomplete messages, shared by connections."""

import abc

COUNTED_FROM_BYTES = 8 * 1024  # Smaller buffers are not counted.


class Buffer(abc.ABC):
    """A holder of part of a message, which can be told to drop it."""

    __slots__ = ()

    @abc.abstractmethod
    def drop(self, reason: str) -> None:
        """Drop the part and end the request.

        Args:
            reason: Why.
        """


class BufferBudget:
    """Memory that all incomplete messages of a set of connections may use.

    If they use more, the largest one is dropped, so that a sender whose
    messages never end does not keep others from being received.
    """

    __slots__ = ("_limit_bytes", "_size_by_buffer", "_used_bytes")

    def __init__(self, *, limit_bytes: int) -> None:
        """Create the budget, of which nothing is used.

        Args:
            limit_bytes: Bytes that all messages together may use.
        """
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._size_by_buffer: dict[Buffer, int] = {}

    def resize(self, buffer: Buffer, size_bytes: int) -> None:
        """Note the size of a buffer, and drop what is too much."""
        if size_bytes <= COUNTED_FROM_BYTES:
            self.release(buffer)
            return
        self._used_bytes += size_bytes - self._size_by_buffer.get(buffer, 0)
        self._size_by_buffer[buffer] = size_bytes
        while self._used_bytes > self._limit_bytes:
            largest = max(
                self._size_by_buffer, key=self._size_by_buffer.__getitem__
            )
            self.release(largest)
            largest.drop("incomplete messages use too much memory")

    def release(self, buffer: Buffer) -> None:
        """Count the bytes of a buffer as free again."""
        self._used_bytes -= self._size_by_buffer.pop(buffer, 0)
