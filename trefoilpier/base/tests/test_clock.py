"""Tests of the clock of a running process."""

from twisted.internet import selectreactor

from trefoilpier import base


def test_step_of_the_wall_clock_moves_timers():
    # Guards against timers that run early or late by the step: requests ended
    # early with 504, and waits for leaves that never ended.
    class SteppedReactor(selectreactor.SelectReactor):
        step_s = 0.0

        def seconds(self):
            return selectreactor.SelectReactor.seconds() + self.step_s

    reactor = SteppedReactor()
    ran = []
    reactor.callLater(0.0, ran.append, "earlier")
    base.use_monotonic_timers(reactor)
    clock = base.ReactorClock(reactor=reactor)
    clock.call_later(60.0, ran.append, "early")
    reactor.step_s = 3600.0
    clock.call_later(0.0, ran.append, "due")
    reactor.runUntilCurrent()
    assert ran == ["earlier", "due"]
    clock.call_later(0.0, ran.append, "late")
    reactor.step_s = -3600.0
    reactor.runUntilCurrent()
    assert ran == ["earlier", "due", "late"]
