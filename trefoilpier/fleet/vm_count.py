"""Number of the VMs among which limits are divided."""

from collections import deque
from collections.abc import Callable

from trefoilpier import base

# Longer than the record of a running VM can be missing from the store.
_DECREASE_DELAY_S = 15.0


class VmCount:
    """The highest number of VMs that was counted lately.

    Records may expire although their VMs are running, and these go on using
    their shares. So a lower number counts only once all higher ones are old
    enough, each from the time at which it was last counted.

    Attributes:
        value: The number; 0 before the first one.

    >>> clock = base.VirtualClock()
    >>> count = VmCount(clock=clock, on_change=print)
    >>> count.update(7)
    7
    >>> count.update(6)
    >>> clock.advance(14.0)
    >>> count.update(2)
    >>> clock.advance(1.0)
    6
    >>> clock.advance(14.0)
    2
    """

    __slots__ = (
        "_clock",
        "_earlier",
        "_latest",
        "_on_change",
        "_timer",
        "value",
    )

    def __init__(
        self, *, clock: base.Clock, on_change: Callable[[int], None]
    ) -> None:
        """Create it without a number.

        Args:
            clock: Source of time and timers.
            on_change: Called with each new value.
        """
        self._clock = clock
        self._on_change = on_change
        self._latest = 0
        # Falling numbers, each with the monotonic time until which it counts.
        self._earlier: deque[tuple[int, float]] = deque()
        self._timer: base.Timer | None = None
        self.value = 0

    def update(self, count: int) -> None:
        """Note the number of VMs that are known now."""
        if count < self._latest:
            until = self._clock.monotonic() + _DECREASE_DELAY_S
            self._earlier.append((self._latest, until))
        self._latest = count
        while self._earlier and self._earlier[-1][0] <= count:
            self._earlier.pop()
        self._refresh()

    def _refresh(self) -> None:
        self._drop_until(self._clock.monotonic())

    def _drop_until(self, now: float) -> None:
        """Drop the numbers that count no longer, and await the next end."""
        while self._earlier and self._earlier[0][1] <= now:
            self._earlier.popleft()
        if self._earlier and self._timer is None:
            until = self._earlier[0][1]
            self._timer = self._clock.call_later(
                until - now, self._handle_end, until
            )
        value = self._earlier[0][0] if self._earlier else self._latest
        if value != self.value:
            self.value = value
            self._on_change(value)

    def _handle_end(self, due: float) -> None:
        self._timer = None
        # The timer may be early by rounding.
        self._drop_until(max(due, self._clock.monotonic()))
