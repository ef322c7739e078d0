"""End-to-end tests with the processes of the demo."""

import pathlib

from standins import demo, rig
from trefoilpier import config


def test_demo_runs_searches_and_one_reservation():
    path = rig.ROOT / "examples" / "ulaanbaatar.ini"
    objects = config.read_object_files(pathlib.Path(path)).ok
    with rig.Rig(objects=objects) as cluster:
        cluster.start()
        assert demo.run_demo(cluster)


def test_hanoi_query_covers_thirty_leaves():
    path = rig.ROOT / "examples" / "hanoi.ini"
    objects = config.read_object_files(pathlib.Path(path)).ok
    with rig.Rig(objects=objects, nodes=3) as cluster:
        cluster.start()
        row = cluster.request("inventory", {"text": "sofa"}).row()
    assert row["coverage"] == {"answered": 30, "total": 30, "missing": {}}
