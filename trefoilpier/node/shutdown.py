"""The graceful shutdown of one entry VM."""

import signal
from collections.abc import Callable
from typing import Any

from trefoilpier import base
from trefoilpier.node import node

_POLL_S = 0.05


class GracefulShutdown:
    """Drains a node, then closes it.

    Readiness turns negative and peers are told at once. Listening goes on for
    the balancer's lag, and requests that still come are served, since no
    other VM has been given them. The process closes once nothing is in
    flight; every request has a deadline, so this ends.
    """

    __slots__ = ("_clock", "_close", "_drain_lag", "_node", "_until")

    def __init__(
        self,
        *,
        node: "node.Node",
        clock: base.Clock,
        drain_lag: float,
        close: Callable[[], None],
    ) -> None:
        self._node = node
        self._clock = clock
        self._drain_lag = drain_lag
        self._close = close
        self._until: float | None = None

    def install(self, reactor: Any, *signals: int) -> None:
        """Begins the shutdown when one of the signals comes."""

        def handle(number: int, frame: Any) -> None:
            reactor.callFromThread(self.begin)

        def install_handlers() -> None:
            for number in signals:
                signal.signal(number, handle)

        reactor.callWhenRunning(install_handlers)

    def begin(self) -> None:
        """Starts to drain; a second call changes nothing."""
        if self._until is not None:
            return
        self._until = self._clock.monotonic() + self._drain_lag
        self._node.drain()
        self._poll()

    def _poll(self) -> None:
        lag_over = self._clock.monotonic() >= (self._until or 0.0)
        self._node.board.drain.refusing = lag_over
        if lag_over and self._node.idle():
            self._close()
            return
        self._clock.call_later(_POLL_S, self._poll)
