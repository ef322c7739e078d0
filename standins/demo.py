"""Demonstration of entry VMs with simulated leaves, run by ``bin/demo``."""

import argparse
import json
import pathlib
import signal
import sys
import threading
import time
from typing import Any

from standins import rig
from trefoilpier import config

_SEARCH_TEXTS = ("silk wedding gown", "winter deel", "graduation", "blue sash")
_SLOW_LEAF_ID = "sf-1-1"


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bin/demo", description=__doc__)
    parser.add_argument(
        "--serve",
        action="store_true",
        help="keep running until interrupted; print one JSON line of addresses",
    )
    parser.add_argument(
        "--example",
        default=str(rig.ROOT / "examples" / "ulaanbaatar.ini"),
        help="INI file of the configuration objects",
    )
    return parser.parse_args()


def _listen_addresses(demo: rig.Rig) -> dict[str, Any]:
    """Return the listening addresses of all processes."""
    return {
        "entry": [f"{rig.HOST}:{node.caller_port}" for node in demo.nodes],
        "platform": f"{rig.HOST}:{demo.platform_port}",
        "leaf": {
            leaf.id: f"{leaf.host}:{leaf.port}"
            for leaf in demo.config_set.leaf_by_id.values()
        },
        "control": {
            "platform": f"{rig.HOST}:{demo.platform_control}",
            "leaves": [
                f"{rig.HOST}:{leaf_process.control_port}"
                for leaf_process in demo.leaves
            ],
        },
    }


def _print_answer(
    title: str, answer: rig.HttpResponse, started: float
) -> dict[str, Any]:
    """Print a one-line summary of an answer and return its decoded body."""
    row = answer.row()
    elapsed_ms = (time.monotonic() - started) * 1000
    coverage = row.get("coverage") or {"answered": "-", "total": "-"}
    snapshot = row.get("snapshot") or {}
    print(
        f"{title}: {row['code']} in {elapsed_ms:.0f} ms, ran {row['ran']}, "
        f"coverage {coverage['answered']}/{coverage['total']}, "
        f"index version {snapshot.get('index_version', '-')}, "
        f"configuration {row['config_version']}"
    )
    if coverage.get("missing"):
        print(f"      missing {coverage['missing']}")
    return row


def _search(demo: rig.Rig, text: str, node: int) -> bool:
    started = time.monotonic()
    answer = demo.request("gown-search", {"text": text, "limit": 3}, node=node)
    row = _print_answer(f"  search {text!r} at vm-{node + 1}", answer, started)
    for hit in row["result"] or []:
        print(f"      {hit['id']:<14} score {hit['score']}")
    return row["code"] in ("TPR-1000", "TPR-1001")


def _reserve(demo: rig.Rig, node: int) -> dict[str, Any]:
    started = time.monotonic()
    answer = demo.request(
        "reserve", {"route": "gown-7"}, node=node, key="demo-reservation-1"
    )
    row = _print_answer(f"  reserve gown-7 at vm-{node + 1}", answer, started)
    print(f"      receipt {row['result'] and row['result'].get('receipt')}")
    return row


def run_demo(demo: rig.Rig) -> bool:
    """Run the searches and the reservation; return whether all succeeded."""
    print("Entry VMs:")
    print(demo.run_client("status").stdout)
    print("Gown searches:")
    succeeded = [_search(demo, text, k) for k, text in enumerate(_SEARCH_TEXTS)]
    print(f"Gown searches while leaf {_SLOW_LEAF_ID} is 20 times slower:")
    demo.set_leaf_faults(_SLOW_LEAF_ID, slow_factor=20.0)
    succeeded += [
        _search(demo, text, k + 3) for k, text in enumerate(_SEARCH_TEXTS)
    ]
    print("One reservation, then the same key again at another VM:")
    first = _reserve(demo, 0)
    second = _reserve(demo, 4)
    runs = list(demo.ledger())
    print(f"  executed by the leaves {len(runs)} time(s)")
    succeeded.append(
        first["ran"] == "yes" and first["result"] == second["result"]
    )
    succeeded.append(len(runs) == 1)
    return all(succeeded)


def main() -> None:
    """Run the demonstration, or serve until interrupted with ``--serve``."""
    args = _parse_args()
    objects = config.read_object_files(pathlib.Path(args.example)).ok
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stop_requested.set())
    signal.signal(signal.SIGINT, lambda number, frame: stop_requested.set())
    with rig.Rig(objects=objects) as demo:
        demo.start()
        if args.serve:
            print(json.dumps(_listen_addresses(demo)), flush=True)
            stop_requested.wait()
            return
        succeeded = run_demo(demo)
    if not succeeded:
        print("demo: failed")
        sys.exit(1)
    print("demo: ok")


if __name__ == "__main__":
    main()
