"""The clock that every controller is given.

Instants on the monotonic scale are seconds as ``float``, as in
``time.monotonic``; durations in settings are ``datetime.timedelta``; wall
time is an aware ``datetime.datetime`` in UTC.
"""

import abc
import datetime
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any


class Timer(abc.ABC):
    """A callback that waits for its time."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """Forgets the callback; does nothing when it has run already."""


class Clock(abc.ABC):
    """Tells the time and runs callbacks later, on the one loop."""

    __slots__ = ()

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds on a scale that never goes back."""

    @abc.abstractmethod
    def utc_now(self) -> datetime.datetime:
        """Returns the wall time in UTC."""

    @abc.abstractmethod
    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any
    ) -> Timer:
        """Runs ``callback(*args)`` after ``delay`` seconds."""


class _ReactorTimer(Timer):
    """A delayed call of a Twisted reactor."""

    __slots__ = ("_call",)

    def __init__(self, *, call: Any) -> None:
        self._call = call

    def cancel(self) -> None:
        if self._call.active():
            self._call.cancel()


class ReactorClock(Clock):
    """The clock of a running process, over a Twisted reactor."""

    __slots__ = ("_reactor",)

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor

    def monotonic(self) -> float:
        """Returns ``time.monotonic()``."""
        return time.monotonic()

    def utc_now(self) -> datetime.datetime:
        """Returns the system's wall time."""
        return datetime.datetime.now(datetime.UTC)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any
    ) -> Timer:
        """Schedules the callback with the reactor."""
        call = self._reactor.callLater(max(0.0, delay), callback, *args)
        return _ReactorTimer(call=call)


class _VirtualTimer(Timer):
    """An entry in the queue of a virtual clock."""

    __slots__ = ("args", "callback")

    def __init__(self, *, callback: Callable[..., Any], args: tuple) -> None:
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        self.callback = None
        self.args = ()


class VirtualClock(Clock):
    """A clock that moves only when told, for tests and benchmarks.

    Callbacks due at the same instant run in the order in which they were
    scheduled, so a seeded run repeats exactly.

    >>> clock = VirtualClock()
    >>> seen = []
    >>> _ = clock.call_later(2.0, seen.append, "b")
    >>> _ = clock.call_later(1.0, seen.append, "a")
    >>> clock.advance(1.5)
    >>> seen
    ['a']
    >>> clock.monotonic()
    1.5
    """

    __slots__ = ("_epoch", "_now", "_order", "_queue")

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start
        self._epoch = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        self._queue: list[tuple[float, int, _VirtualTimer]] = []
        self._order = itertools.count()

    def monotonic(self) -> float:
        """Returns the virtual seconds."""
        return self._now

    def utc_now(self) -> datetime.datetime:
        """Returns a fixed date plus the virtual seconds."""
        return self._epoch + datetime.timedelta(seconds=self._now)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any
    ) -> Timer:
        """Queues the callback at now plus ``delay``."""
        timer = _VirtualTimer(callback=callback, args=args)
        due = self._now + max(0.0, delay)
        heapq.heappush(self._queue, (due, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Moves the time on by ``seconds`` and runs all that falls due."""
        self.run_until(self._now + seconds)

    def run_until(self, instant: float) -> None:
        """Runs callbacks in order up to and including ``instant``."""
        queue = self._queue
        while queue and queue[0][0] <= instant:
            due, _, timer = heapq.heappop(queue)
            if timer.callback is None:
                continue
            self._now = due
            timer.callback(*timer.args)
        self._now = max(self._now, instant)
