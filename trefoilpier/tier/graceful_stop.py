"""The graceful stop of one VM."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from trefoilpier import base, forward, http1

if TYPE_CHECKING:
    from trefoilpier.tier import vm as vms

# The balancer polls once a second and removes a VM after two failed polls.
_BALANCER_DETECTION_S = 2.6
# Parts of the grace period kept for the last responses: until they are sent,
# and until the process has ended.
_ANSWER_MARGIN_S = 0.6
_END_MARGIN_S = 0.5
# Between two checks for idle connections.
_CLOSE_IDLE_PAUSE_S = 0.05
# A connection is closed only after this time, since its next request may be on
# the way.
_IDLE_MIN_S = 0.3


class GracefulStop:
    """Steps from the signal to the end of the process.

    The VM goes on serving, also over new connections: the balancer may have
    no other VM for them. Requests that may not end in time are refused by the
    engines. What is still in flight near the end of the grace period is
    answered then, so that no connection ends without an answer.
    """

    __slots__ = ("_clock", "_grace_s", "_log", "_on_end", "_servers", "_vm")

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        vm: "vms.TierVm",
        servers: Sequence[http1.ServerFactory],
        grace_s: float,
        on_end: Callable[[], None],
    ) -> None:
        """Create it; `begin` starts the stop.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            vm: The VM that stops.
            servers: Servers of all its listening addresses.
            grace_s: Seconds from the signal until the process is killed.
            on_end: Called when the process is to end.
        """
        self._clock = clock
        self._log = log
        self._vm = vm
        self._servers = servers
        self._grace_s = grace_s
        self._on_end = on_end

    def begin(self) -> None:
        """Begin to stop; further calls have no effect."""
        if self._vm.stopping:
            return
        now = self._clock.monotonic()
        self._vm.stop(
            forward.StopTimes(
                leaves_rotation_at=now + _BALANCER_DETECTION_S,
                answer_by=now + self._grace_s - _ANSWER_MARGIN_S,
            )
        )
        for server in self._servers:
            server.closing = True
        self._log.emit(base.Event.DRAIN_STARTED, in_flight=self._vm.in_flight)
        self._clock.call_later(_BALANCER_DETECTION_S, self._close_idle)
        self._clock.call_later(
            self._grace_s - _ANSWER_MARGIN_S, self._answer_all
        )
        self._clock.call_later(self._grace_s - _END_MARGIN_S, self._on_end)

    def _answer_all(self) -> None:
        """Answer what is in flight: as not run if so, else as unknown."""
        self._vm.refuse_all()
        for server in self._servers:
            server.expire_requests()

    def _close_idle(self) -> None:
        """Close idle connections until none is left, then end."""
        for server in self._servers:
            server.close_idle(_IDLE_MIN_S)
        connected = any(server.connections for server in self._servers)
        if self._vm.in_flight or connected:
            self._clock.call_later(_CLOSE_IDLE_PAUSE_S, self._close_idle)
            return
        self._on_end()
