"""A loop that stood still is noticed."""

from standins import fleet
from trefoilpier import base
from trefoilpier.node import loop_watch


class _FreezableClock(base.VirtualClock):
    """A clock whose callbacks can come late."""

    def __init__(self):
        super().__init__()
        self.skipped = 0.0

    def monotonic(self):
        return super().monotonic() + self.skipped


def _watch():
    clock = _FreezableClock()
    log = fleet.RecordingLog()
    woken = []
    watch = loop_watch.LoopWatch(
        clock=clock, log=log, on_frozen=lambda: woken.append(True)
    )
    watch.start()
    clock.advance(1.0)
    return clock, log, woken


def test_steady_loop_is_quiet():
    _, log, woken = _watch()
    assert log.rows == []
    assert woken == []


def test_frozen_process_rechecks_what_it_knows():
    clock, log, woken = _watch()
    clock.skipped = 5.0
    clock.advance(0.2)
    assert [event for event, _ in log.rows] == [base.Event.LOOP_STALLED]
    assert woken == [True]


def test_short_stall_is_only_logged():
    clock, log, woken = _watch()
    clock.skipped = 0.5
    clock.advance(0.2)
    assert len(log.rows) == 1
    assert woken == []
