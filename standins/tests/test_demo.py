"""The whole path with real processes, as the demo shows it."""

import pathlib

from standins import demo, rig
from trefoilpier import config


def test_demo_shows_searches_and_one_reservation():
    path = rig.ROOT / "examples" / "ulaanbaatar.ini"
    objects = config.read_bundle(pathlib.Path(path)).ok
    with rig.Rig(objects=objects) as shown:
        shown.start()
        assert demo.show(shown)


def test_hanoi_query_covers_thirty_leaves():
    path = rig.ROOT / "examples" / "hanoi.ini"
    objects = config.read_bundle(pathlib.Path(path)).ok
    with rig.Rig(objects=objects, nodes=3) as shown:
        shown.start()
        row = shown.request("inventory", {"text": "sofa"}).row()
    assert row["coverage"] == {"answered": 30, "total": 30, "missing": {}}
