"""Whether a VM reaches a leaf, from its calls and connections."""

# Longer than the pauses of a leaf; a connection attempt is given up after this.
_SILENCE_MAX_S = 0.4


class LeafContact:
    """Contact of one VM with one leaf.

    A leaf is out of contact after a failure to connect, or once calls have
    waited for it for some time, until it answers. It counts only time in which
    a call was in flight.

    >>> contact = LeafContact()
    >>> contact.start_wait(10.0)
    >>> contact.is_lost(10.3), contact.is_lost(10.5)
    (False, True)
    >>> contact.record_answer(10.6)
    >>> contact.is_lost(10.6)
    False

    Attributes:
        answered_at: Monotonic time of the last answer; 0 if there was none.
    """

    __slots__ = (
        "_connect_failed",
        "_silent_s",
        "_waiting_count",
        "_waits_at",
        "answered_at",
    )

    def __init__(self) -> None:
        """Start in contact."""
        self.answered_at = 0.0
        self._connect_failed = False
        self._silent_s = 0.0
        self._waiting_count = 0
        self._waits_at = 0.0

    def start_wait(self, now: float) -> None:
        """Record that a request was sent."""
        if not self._waiting_count:
            self._waits_at = now
        self._waiting_count += 1

    def end_wait(self, now: float) -> None:
        """Record that a sent request no longer waits, answered or not."""
        self._waiting_count -= 1
        if not self._waiting_count:
            self._silent_s += now - self._waits_at

    def record_answer(self, now: float) -> None:
        """Record an answer."""
        self._connect_failed = False
        self._silent_s = 0.0
        self._waits_at = now
        self.answered_at = now

    def record_connect_failure(self) -> None:
        """Record a failure to connect, or a new connection without answer."""
        self._connect_failed = True

    def is_lost(self, now: float) -> bool:
        """Return whether the leaf is out of contact."""
        if self._connect_failed:
            return True
        waiting_s = now - self._waits_at if self._waiting_count else 0.0
        return self._silent_s + waiting_s > _SILENCE_MAX_S
