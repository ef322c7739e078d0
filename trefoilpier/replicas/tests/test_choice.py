"""Which leaf is chosen, from what is known of each."""

import random
import types

from trefoilpier import replicas


def make_pool(name, zone="z1", room=True, **seen):
    stats = replicas.LeafStats(slots=4, slow_until=seen.get("slow_until", 0.0))
    for _ in range(seen.get("slow", 0)):
        stats.answered(now=10.0, relative=6.0)
    for _ in range(seen.get("failed", 0)):
        stats.failed(10.0)
    for _ in range(seen.get("shed", 0)):
        stats.shed(9.0)
    stats.in_flight = seen.get("in_flight", 0)
    return types.SimpleNamespace(
        entry=types.SimpleNamespace(id=name, zone=zone),
        stats=stats,
        has_room=lambda: room,
        overdue=lambda now: seen.get("overdue", False),
    )


def share_of(first, second, avoid=frozenset()):
    """Returns how often the first of two is chosen."""
    chooser = replicas.LeafChooser(rng=random.Random(3), zone="z1")
    chosen = [
        chooser.choose([first, second], now=10.0, avoid=avoid)
        for _ in range(100)
    ]
    return sum(each is first for each in chosen) / 100


def test_equal_leafs_share():
    assert 0.3 < share_of(make_pool("a"), make_pool("b")) < 0.7


def test_a_near_leaf_goes_first_until_it_is_busy():
    near, far = make_pool("a"), make_pool("b", zone="z2")
    assert share_of(near, far) == 1.0
    assert share_of(make_pool("a", in_flight=4), far) == 0.0


def test_a_near_leaf_that_has_a_free_slot_goes_first():
    # Two fifths of the calls of a calm day left their zone, each for a leaf
    # that had one request less.
    far = make_pool("b", zone="z2")
    assert share_of(make_pool("a", in_flight=3), far) == 1.0


def test_slow_failing_shedding_and_overdue_leafs_are_avoided():
    good = make_pool("b", zone="z2")
    for seen in (
        {"slow": 10},
        {"failed": 2},
        {"failed": 3},
        {"shed": 5},
        {"overdue": True},
        {"room": False},
    ):
        assert share_of(make_pool("a", **seen), good) == 0.0, seen


def test_a_leaf_that_had_the_request_is_not_chosen_again():
    only = make_pool("a")
    chooser = replicas.LeafChooser(rng=random.Random(3), zone="z1")
    assert chooser.choose([only], now=10.0, avoid={"a"}) is None


def test_a_bad_past_is_forgotten():
    bad = make_pool("a", slow=10)
    assert bad.stats.slowness(10.0) > 4.0
    assert bad.stats.slowness(30.0) < 1.1


def test_an_ejected_leaf_is_tried_again_after_its_pause():
    bad = make_pool("a", failed=3)
    assert bad.stats.ejected(10.2)
    assert not bad.stats.ejected(10.6)
    bad.stats.failed(10.6)
    assert bad.stats.ejected(11.5)
