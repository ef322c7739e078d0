"""Tests of the limits on a call's attempts."""

from trefoilpier.forward import attempts


def test_rejected_attempts_do_not_use_up_the_route_s_attempts():
    tried = attempts.Attempts(attempts_max=1)
    tried.sends = 1
    assert not tried.has_left(unsent_count=0)
    tried.record_not_run()
    assert tried.has_left(unsent_count=0)


def test_attempt_that_waits_for_a_connection_counts():
    tried = attempts.Attempts(attempts_max=2)
    tried.sends = 1
    assert tried.has_left(unsent_count=0)
    assert not tried.has_left(unsent_count=1)


def test_rejections_and_unreachable_leaves_are_bounded():
    # All leaves of a service may shed, or refuse connections, at once.
    tried = attempts.Attempts(attempts_max=10)
    allowed = 0
    while tried.may_retry_after_connect_failure():
        allowed += 1
    assert allowed == 2
    for _ in range(3):
        assert tried.may_retry_after_rejection()
        tried.sends += 1
        tried.record_not_run()
    assert not tried.may_retry_after_rejection()
