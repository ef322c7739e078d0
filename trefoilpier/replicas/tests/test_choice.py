"""Tests of load balancing across leaves."""

import random
import types

from trefoilpier import replicas


def make_pool(name, zone="z1", has_capacity=True, **history):
    stats = replicas.LeafStats(
        slots=4, warm_up_until=history.get("slow_until", 0.0)
    )
    for _ in range(history.get("slow", 0)):
        stats.record_success(now=10.0, relative_latency=6.0)
    for _ in range(history.get("failed", 0)):
        stats.record_failure(10.0)
    for _ in range(history.get("shed", 0)):
        stats.record_shed(9.0)
    stats.in_flight = history.get("in_flight", 0)
    return types.SimpleNamespace(
        entry=types.SimpleNamespace(id=name, zone=zone),
        stats=stats,
        has_capacity=lambda: has_capacity,
        has_overdue_call=lambda now: history.get("overdue", False),
        suspect_count=history.get("suspects", 0),
    )


def share_of_first(first, second, exclude=frozenset()):
    """Return the share of choices that fall on the first of two leaves."""
    chooser = replicas.LeafChooser(rng=random.Random(3), zone="z1")
    chosen = [
        chooser.choose([first, second], now=10.0, exclude=exclude)
        for _ in range(100)
    ]
    return sum(pool is first for pool in chosen) / 100


def test_equal_leaves_share_the_requests():
    assert 0.3 < share_of_first(make_pool("a"), make_pool("b")) < 0.7


def test_leaf_in_the_same_zone_is_preferred_until_it_is_full():
    near, far = make_pool("a"), make_pool("b", zone="z2")
    assert share_of_first(near, far) == 1.0
    assert share_of_first(make_pool("a", in_flight=4), far) == 0.0


def test_leaf_in_the_same_zone_with_a_free_slot_is_preferred():
    # At low load two fifths of the calls went to another zone, each because
    # the leaf there had one request fewer.
    far = make_pool("b", zone="z2")
    assert share_of_first(make_pool("a", in_flight=3), far) == 1.0


def test_slow_failing_shedding_and_overdue_leaves_are_avoided():
    good = make_pool("b", zone="z2")
    for history in (
        {"slow": 10},
        {"failed": 2},
        {"failed": 3},
        {"shed": 5},
        {"overdue": True},
        {"has_capacity": False},
    ):
        assert share_of_first(make_pool("a", **history), good) == 0.0, history


def test_excluded_leaf_is_not_chosen():
    only = make_pool("a")
    chooser = replicas.LeafChooser(rng=random.Random(3), zone="z1")
    assert chooser.choose([only], now=10.0, exclude={"a"}) is None


def test_slowness_decays_with_time():
    bad = make_pool("a", slow=10)
    assert bad.stats.slowness(10.0) > 4.0
    assert bad.stats.slowness(30.0) < 1.1


def test_ejection_expires_and_is_longer_after_a_further_failure():
    bad = make_pool("a", failed=3)
    assert bad.stats.is_ejected(10.2)
    assert not bad.stats.is_ejected(10.6)
    bad.stats.record_failure(10.6)
    assert bad.stats.is_ejected(11.5)


def test_connection_leaves_a_leaf_ejected_for_failures_to_connect():
    bad = make_pool("a")
    for _ in range(4):
        bad.stats.record_connect_failure(10.0)
    assert bad.stats.is_ejected(13.0)
    bad.stats.record_connected()
    assert not bad.stats.is_ejected(10.0)
    # Failed requests are another matter: the leaf accepts connections.
    bad = make_pool("a", failed=3)
    bad.stats.record_connected()
    assert bad.stats.is_ejected(10.2)


def test_leaf_that_a_request_in_flight_may_crash_is_avoided():
    risky = make_pool("a", suspects=1)
    assert share_of_first(risky, make_pool("b", in_flight=3)) == 0.0
    assert share_of_first(risky, make_pool("b", has_capacity=False)) == 1.0


def test_near_leaf_that_loses_a_part_of_its_answers_is_preferred():
    # Replays half of the leaves that reset 40 % of their answers. A search of
    # 54 shards needs 52 parts, and a near leaf that loses every fifth answer
    # was preferred to a sound one in another zone.
    far = make_pool("b", zone="z2")
    near = make_pool("a", failed=1)
    assert share_of_first(near, far) == 0.0
    # Many good answers later the failure hardly counts.
    for _ in range(5):
        near.stats.record_success(now=10.0, relative_latency=1.0)
    assert share_of_first(near, far) == 1.0
