"""Tests of admission, queueing and refusals under overload."""

import pytest

from standins import memory_tier
from trefoilpier import base, forward, http1, routes
from trefoilpier.forward import admission, wait_queue

NO_RETRIES = forward.RetryBudgetLimits(share=0.0, window_s=10.0, allowance=0.0)


def make_state(*expected, coverage=0.89, wait_s=1.0, unusable=0):
    services = [
        admission.ServiceState(usable=True, expected_s=each)
        for each in expected
    ]
    services += [
        admission.ServiceState(usable=False, expected_s=0.0)
    ] * unusable
    return admission.AdmissionState(
        services=tuple(services), min_coverage=coverage, time_left_s=wait_s
    )


@pytest.mark.parametrize(
    ("case", "code"),
    [
        (make_state(*[0.1] * 10), None),
        # One slow shard of ten is left out; two fall below the coverage.
        (make_state(*[0.1] * 9, 5.0), None),
        (make_state(*[0.1] * 8, 5.0, 5.0), base.ResultCode.OVERLOADED),
        (make_state(*[0.1] * 9, unusable=1), None),
        (make_state(*[0.1] * 8, unusable=2), base.ResultCode.NO_LEAF),
        (make_state(*[0.1] * 8, 5.0, unusable=1), base.ResultCode.OVERLOADED),
        (make_state(0.9, coverage=1.0), None),
        (make_state(1.1, coverage=1.0), base.ResultCode.OVERLOADED),
        (make_state(coverage=1.0, unusable=1), base.ResultCode.NO_LEAF),
    ],
)
def test_admission_decisions(case, code):
    refusal = admission.admit(case)
    assert (refusal.code if refusal else None) == code
    if refusal:
        assert 0 < refusal.retry_after_s <= case.time_left_s / 3


class RecordingCall(wait_queue.QueuedCall):
    def __init__(self, name, started):
        self.name = name
        self.started = started
        self.has_capacity = True

    def try_start(self):
        if not self.has_capacity:
            return False
        self.started.append(self.name)
        return True


def test_urgent_calls_start_first_and_no_priority_is_starved():
    queue = wait_queue.WaitQueue(clock=base.VirtualClock())
    started = []
    for k in range(40):
        priority = 2 if k % 4 == 0 else 1
        queue.enqueue(
            RecordingCall((priority, k), started),
            priority=priority,
            objective_deadline=0.1 + 0.02 * k,
        )
    queue.dispatch()
    first = [priority for priority, _ in started[:20]]
    assert first.count(1) > 15
    assert first.count(2) >= 3


def test_expected_wait_grows_while_no_call_is_dequeued():
    clock = base.VirtualClock()
    queue = wait_queue.WaitQueue(clock=clock)
    for k in range(10):
        queue.enqueue(
            RecordingCall(k, []), priority=1, objective_deadline=float(k)
        )
    before = queue.expected_wait_s
    clock.advance(3.0)
    assert queue.expected_wait_s > 2.5 > before


def make(**route):
    tier = memory_tier.MemoryTier(budget=NO_RETRIES)
    tier.set_routes(memory_tier.make_route(**route))
    for k in range(2):
        tier.add_leaf("s", f"leaf{k}", work_s=0.02)
    return tier


def test_burst_beyond_capacity_is_refused_early_and_served_at_capacity():
    # Two leaves with two slots each and 20 ms of work serve 200 requests/s.
    # The load is 600 requests/s for 3 s, each with a timeout of 1 s.
    tier = make()
    for k in range(1800):
        tier.send_request(f"q{k}", wait_s=1.0)
        tier.clock.advance(1 / 600)
    tier.clock.advance(3.0)
    answers = list(tier.answers.values())
    served = [a for a in answers if a.status == 200]
    refused = [a for a in answers if a.status == 503]
    assert len(served) > 0.8 * 3 * 200
    assert len(answers) - len(served) - len(refused) < 0.05 * len(answers)
    early = [a for a in refused if a.took_s < 0.03]
    assert len(early) > 0.8 * len(refused)
    assert all(http1.find_header(a.headers, b"retry-after") for a in refused)


@pytest.mark.parametrize(("expire", "expected"), [(True, 0), (False, 1)])
def test_slots_are_not_spent_on_calls_that_cannot_be_answered(expire, expected):
    # Guards against a backlog that keeps the slots busy with calls whose
    # callers have stopped waiting when the answer comes.
    tier = memory_tier.MemoryTier(
        budget=NO_RETRIES, policy=forward.ForwardPolicy(expire_queued=expire)
    )
    tier.set_routes(memory_tier.make_route(), connections=3)
    tier.add_leaf("s", "leaf", work_s=0.02, slots=1)
    tier.run_load("before", seconds=2.0, rate=20)
    tier.send_request("ahead")
    tier.send_request("last", wait_s=0.1)
    tier.clock.advance(0.005)
    tier.leaf_by_id["leaf"].faults.paused = True
    tier.clock.advance(0.08)
    tier.leaf_by_id["leaf"].resume()
    tier.clock.advance(1.0)
    assert tier.runs_of("last") == expected
    assert (tier.answers["last"].status == 503) == expire


def test_refused_requests_have_not_run():
    tier = make(repeatable=False)
    for leaf in tier.leaves_of("s"):
        leaf.faults.slow_factor = 5.0
    for k in range(400):
        tier.send_request(f"q{k}", wait_s=0.8, method="POST")
        tier.clock.advance(1 / 200)
    tier.clock.advance(2.0)
    refused = [n for n, a in tier.answers.items() if a.status in (429, 503)]
    assert refused
    assert all(tier.runs_of(name) == 0 for name in refused)
    assert all(tier.runs_of(name) <= 1 for name in tier.answers)


def test_requests_are_served_again_after_a_burst():
    tier = make()
    for k in range(1000):
        tier.send_request(f"q{k}", wait_s=1.0)
        tier.clock.advance(1 / 600)
    tier.clock.advance(1.5)
    for k in range(50):
        tier.send_request(f"after{k}", wait_s=1.0)
        tier.clock.advance(0.02)
    tier.clock.advance(1.0)
    after = [tier.answers[f"after{k}"].status for k in range(50)]
    assert after.count(200) == 50


def test_one_slow_shard_does_not_cause_refusals_within_the_coverage():
    tier = memory_tier.MemoryTier(budget=NO_RETRIES)
    tier.set_routes(memory_tier.make_gather_route(10, objective_s=0.1))
    for shard in range(10):
        for k in range(2):
            tier.add_leaf(f"shard{shard}", f"s{shard}.{k}", work_s=0.01)
    for k in range(2):
        tier.leaf_by_id[f"s3.{k}"].faults.slow_factor = 100.0
    for k in range(200):
        tier.send_request(f"q{k}")
        tier.clock.advance(0.02)
    tier.clock.advance(2.0)
    statuses = [answer.status for answer in tier.answers.values()]
    assert statuses.count(200) == 200


def test_split_follows_its_weights_while_one_service_is_overloaded():
    tier = memory_tier.MemoryTier(budget=NO_RETRIES)
    tier.set_routes(
        memory_tier.make_route(
            targets=(
                routes.WeightedService(name="a", weight=1),
                routes.WeightedService(name="b", weight=1),
            )
        )
    )
    tier.add_leaf("a", "a1", work_s=0.002)
    tier.add_leaf("b", "b1", work_s=0.2)
    for k in range(400):
        tier.send_request(f"q{k}")
        tier.clock.advance(0.005)
    tier.clock.advance(2.0)
    assert abs(len(tier.leaf_by_id["a1"].runs) - 200) <= 1
