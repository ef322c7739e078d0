"""The virtual benchmarks repeat exactly for a seed."""

from bench import virtual_load
from standins import fleet


def _run():
    made = fleet.Fleet(objects=fleet.simple_objects(shards=4), seed=3)
    made.start()
    load = virtual_load.VirtualLoad(target=made, service="search", seed=3)
    return load.run(rate=50.0, seconds=1.0)


def test_same_seed_gives_the_same_figures():
    first, second = _run(), _run()
    assert first.sent == second.sent > 20
    assert first.done_at == second.done_at
    assert first.leaf_calls == second.leaf_calls


def test_undisturbed_load_is_answered_whole():
    seen = _run()
    assert seen.answers == seen.whole == seen.sent
