"""The clock interface, its reactor implementation and a virtual clock.

Monotonic times are ``float`` seconds, as returned by ``time.monotonic``.
Durations in settings are ``datetime.timedelta``. Wall time is a timezone-aware
``datetime.datetime`` in UTC.
"""

import abc
import datetime
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any


class Timer(abc.ABC):
    """A scheduled callback that can be cancelled."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancel the callback; do nothing if it has already run."""


class Clock(abc.ABC):
    """A source of time that schedules callbacks on the event loop."""

    __slots__ = ()

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return the time in seconds on a scale that never decreases."""

    @abc.abstractmethod
    def utc_now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    @abc.abstractmethod
    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any
    ) -> Timer:
        """Schedule ``callback(*args)`` to run after ``delay`` seconds."""


class _ReactorTimer(Timer):
    """A timer that wraps a delayed call of a Twisted reactor."""

    __slots__ = ("_delayed_call",)

    def __init__(self, *, delayed_call: Any) -> None:
        self._delayed_call = delayed_call

    def cancel(self) -> None:
        if self._delayed_call.active():
            self._delayed_call.cancel()


class ReactorClock(Clock):
    """The clock of a running process, based on a Twisted reactor."""

    __slots__ = ("_reactor",)

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def utc_now(self) -> datetime.datetime:
        """Return the system's wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any
    ) -> Timer:
        """Schedule the callback with the reactor."""
        delayed_call = self._reactor.callLater(max(0.0, delay), callback, *args)
        return _ReactorTimer(delayed_call=delayed_call)


def use_monotonic_timers(reactor: Any) -> None:
    """Let a reactor take the time of its timers from the monotonic clock.

    Twisted takes it from the system's wall clock, whose steps let timers run
    early or late by as much. Timers that have been set before are moved.
    """
    shift_s = time.monotonic() - reactor.seconds()
    for delayed_call in reactor.getDelayedCalls():
        delayed_call.time += shift_s
    reactor.seconds = time.monotonic


class _VirtualTimer(Timer):
    """A callback in the queue of a virtual clock."""

    __slots__ = ("args", "callback")

    def __init__(self, *, callback: Callable[..., Any], args: tuple) -> None:
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        self.callback = None
        self.args = ()


class VirtualClock(Clock):
    """A manually advanced clock for tests and benchmarks.

    Callbacks due at the same time run in the order in which they were
    scheduled, so runs with the same seed are identical.

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

    __slots__ = ("_epoch", "_now", "_sequence_numbers", "_queue")

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start
        self._epoch = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        self._queue: list[tuple[float, int, _VirtualTimer]] = []
        self._sequence_numbers = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def utc_now(self) -> datetime.datetime:
        """Return a fixed date plus the virtual time."""
        return self._epoch + datetime.timedelta(seconds=self._now)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any
    ) -> Timer:
        """Schedule the callback ``delay`` seconds from the current time."""
        timer = _VirtualTimer(callback=callback, args=args)
        due_time = self._now + max(0.0, delay)
        heapq.heappush(
            self._queue, (due_time, next(self._sequence_numbers), timer)
        )
        return timer

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds`` and run the callbacks then due."""
        self.run_until(self._now + seconds)

    def stall(self, seconds: float) -> None:
        """Let time pass without callbacks, as in a process that is paused.

        The callbacks that were due meanwhile run at the next `advance`.
        """
        self._now += seconds

    def run_until(self, end_time: float) -> None:
        """Run the callbacks due up to and including ``end_time``, in order."""
        queue = self._queue
        while queue and queue[0][0] <= end_time:
            due_time, _, timer = heapq.heappop(queue)
            if timer.callback is None:
                continue
            self._now = max(self._now, due_time)
            timer.callback(*timer.args)
        self._now = max(self._now, end_time)
