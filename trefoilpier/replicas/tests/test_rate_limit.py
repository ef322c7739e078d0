"""Tests of the pacing of requests to a leaf that limits their rate."""

import hypothesis
from hypothesis import strategies

from trefoilpier.replicas import rate_limit


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    rate=strategies.floats(0.5, 40.0),
    vm_count=strategies.integers(1, 60),
    gaps=strategies.lists(
        strategies.sampled_from([0.0, 0.001, 0.01, 0.2, 1.0, 30.0]),
        min_size=1,
        max_size=200,
    ),
)
def test_vms_together_exceed_the_limit_at_any_pattern_of_demand(
    rate, vm_count, gaps
):
    pacers = [
        rate_limit.RequestPacer(phase=k / vm_count) for k in range(vm_count)
    ]
    for pacer in pacers:
        pacer.set_rate(rate, vm_count=vm_count, now=0.0)
    now, sent_at = 0.0, []
    for gap in gaps:
        now += gap
        for pacer in pacers:
            # Every VM sends as much as it may.
            while pacer.wait_s(now) <= 0.0:
                pacer.record_send(now)
                sent_at.append(now)
    for first in sent_at:
        count = sum(first <= at <= first + 4.0 for at in sent_at)
        # The limit over the time and the life of unused send times; one VM's
        # burst is rounded up to a request.
        assert count <= rate * 5.0 + 2


def test_new_limit_takes_the_place_of_the_wait_for_a_lower_one():
    pacer = rate_limit.RequestPacer(phase=0.5)
    pacer.set_rate(0.1, vm_count=10, now=0.0)
    assert pacer.wait_s(0.0) == 25.0
    pacer.set_rate(10.0, vm_count=10, now=1.0)
    assert pacer.wait_s(1.0) == 0.5


def test_limit_of_no_requests_leaves_some_to_notice_its_end():
    pacer = rate_limit.RequestPacer(phase=0.0)
    pacer.set_rate(0.0, vm_count=4, now=0.0)
    pacer.record_send(0.0)
    assert pacer.wait_s(0.0) == 20.0
