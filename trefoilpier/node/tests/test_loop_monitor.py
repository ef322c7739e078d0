"""Tests of event loop stall detection."""

from standins import fleet
from trefoilpier import base
from trefoilpier.node import loop_monitor


class _StallableClock(base.VirtualClock):
    """A virtual clock whose callbacks can be made to run late."""

    def __init__(self):
        super().__init__()
        self.stall_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.stall_s


def _start_monitor():
    clock = _StallableClock()
    log = fleet.RecordingLog()
    on_frozen_calls = []
    monitor = loop_monitor.LoopMonitor(
        clock=clock, log=log, on_frozen=lambda: on_frozen_calls.append(True)
    )
    monitor.start()
    clock.advance(1.0)
    return clock, log, on_frozen_calls


def test_steady_loop_logs_nothing():
    _, log, on_frozen_calls = _start_monitor()
    assert log.rows == []
    assert on_frozen_calls == []


def test_long_stall_calls_on_frozen():
    clock, log, on_frozen_calls = _start_monitor()
    clock.stall_s = 5.0
    clock.advance(0.2)
    assert [event for event, _ in log.rows] == [base.Event.LOOP_STALLED]
    assert on_frozen_calls == [True]


def test_short_stall_is_only_logged():
    clock, log, on_frozen_calls = _start_monitor()
    clock.stall_s = 0.5
    clock.advance(0.2)
    assert len(log.rows) == 1
    assert on_frozen_calls == []
