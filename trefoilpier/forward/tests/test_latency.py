"""The delay of second sends, replayed over drawn latencies."""

import random

from trefoilpier.forward import latency


def test_second_sends_of_a_wide_query_fit_the_budget_and_come_early():
    # grown/phuckhang: 54 shards, work of 42 ms with a spread of 0.35; half of
    # the queries took 190 ms of 250 because second sends went out at 95 ms,
    # and 5 % were sent where 20 % are allowed.
    rng = random.Random(4)
    usual = latency.UsualLatency(objective_s=0.25)
    draws = [rng.lognormvariate(0, 0.35) * 0.042 for _ in range(3000)]
    for seconds in draws[:1000]:
        usual.add(seconds)
    late = 0
    for seconds in draws[1000:]:
        late += seconds > usual.hedge_after_s
        usual.add(seconds)
    assert late / 2000 < 0.12
    assert usual.hedge_after_s < 0.085


def test_the_delay_follows_a_service_that_turns_slow():
    usual = latency.UsualLatency(objective_s=0.12)
    for _ in range(300):
        usual.add(0.01)
    for _ in range(200):
        usual.add(0.06)
    assert usual.hedge_after_s > 0.06
