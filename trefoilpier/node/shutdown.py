"""Graceful shutdown of an entry VM."""

import signal
from collections.abc import Callable
from typing import Any

from trefoilpier import base
from trefoilpier.node import node

_POLL_PERIOD_S = 0.05


class GracefulShutdown:
    """Shutdown sequence that drains a node before the process ends.

    The node reports at once that it is not ready, and notifies its peers. It
    serves new requests until the load balancer has had time to notice, since
    these requests were sent to no other VM. The process ends once no request
    is in flight; this terminates because every request has a deadline.
    """

    __slots__ = ("_clock", "_close", "_drain_lag", "_node", "_accept_until")

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
        self._accept_until: float | None = None

    def install(self, reactor: Any, *signals: int) -> None:
        """Begin the shutdown on any of the signals."""

        def handle(signal_number: int, frame: Any) -> None:
            reactor.callFromThread(self.begin)

        def install_handlers() -> None:
            for signal_number in signals:
                signal.signal(signal_number, handle)

        reactor.callWhenRunning(install_handlers)

    def begin(self) -> None:
        """Start to drain; further calls have no effect."""
        if self._accept_until is not None:
            return
        self._accept_until = self._clock.monotonic() + self._drain_lag
        self._node.drain()
        self._close_when_idle()

    def _close_when_idle(self) -> None:
        drain_lag_over = self._clock.monotonic() >= (self._accept_until or 0.0)
        self._node.board.drain.refusing = drain_lag_over
        if drain_lag_over and self._node.idle():
            self._close()
            return
        self._clock.call_later(_POLL_PERIOD_S, self._close_when_idle)
