"""Values by key that count for a fixed time."""

from typing import Generic, TypeVar

from trefoilpier import base

_Value = TypeVar("_Value")


class RecentValues(Generic[_Value]):
    """Values by key that are forgotten some time after they were put.

    VMs are replaced under new names, so that what is kept by name of a VM would
    grow for as long as a process runs.

    >>> clock = base.VirtualClock()
    >>> recent = RecentValues(clock=clock, lifetime_s=3.0)
    >>> recent.put("vm-1", 7)
    >>> recent.get("vm-1"), recent.get("vm-2")
    (7, None)
    >>> clock.advance(3.0)
    >>> recent.get("vm-1")
    >>> recent.put("vm-2", 8)
    >>> len(recent)
    1
    """

    __slots__ = ("_clock", "_entry_by_key", "_lifetime_s")

    def __init__(self, *, clock: base.Clock, lifetime_s: float) -> None:
        """Create it without values.

        Args:
            clock: Source of time.
            lifetime_s: Seconds for which a value counts.
        """
        self._clock = clock
        self._lifetime_s = lifetime_s
        # Ends and values, in the order of the ends.
        self._entry_by_key: dict[str, tuple[float, _Value]] = {}

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def put(self, key: str, value: _Value) -> None:
        """Set the value of a key, and drop the values that have expired."""
        now = self._clock.monotonic()
        self.remove(key)
        while self._entry_by_key:
            oldest = next(iter(self._entry_by_key))
            if self._entry_by_key[oldest][0] > now:
                break
            del self._entry_by_key[oldest]
        self._entry_by_key[key] = (now + self._lifetime_s, value)

    def get(self, key: str) -> _Value | None:
        """Return the value of a key; None if it has none or has expired."""
        entry = self._entry_by_key.get(key)
        if entry is None or entry[0] <= self._clock.monotonic():
            return None
        return entry[1]

    def remove(self, key: str) -> None:
        """Remove the value of a key, if it has one."""
        self._entry_by_key.pop(key, None)
