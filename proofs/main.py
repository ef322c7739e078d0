"""``bin/prove [--seconds N] [--seed S]``: random failures until time is up."""

import argparse
import contextlib
import random
import signal
import sys
import time
from collections.abc import Callable

from proofs import checks, scene
from standins import rig

_FAULT_S = (0.5, 2.5)
_PAUSE_S = (0.1, 0.8)


class Chaos:
    """Induces one or two failures at a time, at random.

    Each failure is a pair of functions that begin and end it.
    """

    def __init__(self, *, stage: scene.Scene, seed: int) -> None:
        self._stage = stage
        self._random = random.Random(seed)
        self._version = 1
        self._harmed: set[int] = set()
        self.induced: dict[str, int] = {}
        self._fault_by_name: dict[str, Callable[[], Callable[[], None]]] = {
            "leaf slow": lambda: self._leaf(slow_factor=30.0),
            "leaf sheds": lambda: self._leaf(shed_share=0.5),
            "leaf fails": lambda: self._leaf(fail_share=0.5),
            "leaf loses answers": lambda: self._leaf(lose_answers=0.5),
            "leaf answers twice": lambda: self._leaf(twice=True),
            "leaf names a wrong shard": lambda: self._leaf(wrong_shard=True),
            "leaf drains": lambda: self._leaf(drain=True),
            "leaf frozen": lambda: self._leaf(frozen=True),
            "connections silent": lambda: self._leaf(mute_open=True),
            "leaf process killed": self._kill_leaf,
            "vm killed": self._kill_vm,
            "vm frozen": self._freeze_vm,
            "vm replaced": self._replace_vm,
            "store down": lambda: self._platform(down=True),
            "store slow": lambda: self._platform(slow_s=0.5),
            "store loses answers": lambda: self._platform(lose_answers=5),
            "store loses writes": lambda: self._platform(lose_writes=5),
            "store reads stale": lambda: self._platform(stale_reads=True),
            "index version changes": self._change_index,
            "shards move": self._repartition,
        }

    def run(self, seconds: float) -> None:
        """Induces failures for a time, then ends them all."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            names = self._random.sample(
                sorted(self._fault_by_name), self._random.choice((1, 2))
            )
            undo = [self._begin(name) for name in names]
            time.sleep(self._random.uniform(*_FAULT_S))
            for each in undo:
                each()
            time.sleep(self._random.uniform(*_PAUSE_S))

    def _begin(self, name: str) -> Callable[[], None]:
        self.induced[name] = self.induced.get(name, 0) + 1
        return self._fault_by_name[name]()

    def _leaf(self, **fault: object) -> Callable[[], None]:
        leaf_id = self._random.choice(sorted(self._stage.rig.set.leaf_by_id))
        self._switch(leaf_id, fault)
        calm = {
            "slow_factor": 1.0,
            "shed_share": 0.0,
            "fail_share": 0.0,
            "lose_answers": 0.0,
            "twice": False,
            "wrong_shard": False,
            "drain": False,
            "frozen": False,
        }
        return lambda: self._switch(leaf_id, calm)

    def _switch(self, leaf_id: str, fault: dict) -> None:
        """Switches a leaf's faults; a killed process has none to switch."""
        with contextlib.suppress(OSError):
            self._stage.rig.leaf_faults(leaf_id, **fault)

    def _platform(self, **fault: object) -> Callable[[], None]:
        self._stage.rig.platform_faults(**fault)
        return lambda: self._stage.rig.platform_faults(
            down=False,
            slow_s=0.0,
            lose_answers=0,
            lose_writes=0,
            stale_reads=False,
        )

    def _kill_leaf(self) -> Callable[[], None]:
        each = self._random.choice(self._stage.rig.leaves)
        if each.process is not None:
            each.process.kill()
            each.process.wait()

        def again() -> None:
            self._stage.rig.start_leaf(each)
            versions = {"versions": [self._version]}
            rig.ask(each.control_port, "POST", "/v1/setup", versions)

        return again

    def _vm(self) -> int:
        """Chooses a VM that has no failure at the moment."""
        free = [
            k
            for k in range(len(self._stage.rig.nodes))
            if k not in self._harmed
        ]
        index = self._random.choice(free)
        self._harmed.add(index)
        return index

    def _start_vm(self, index: int) -> None:
        self._harmed.discard(index)
        self._stage.rig.start_node(self._stage.rig.nodes[index])

    def _kill_vm(self) -> Callable[[], None]:
        index = self._vm()
        self._stage.kill(index)
        self._stage.wait_exit(index)
        return lambda: self._start_vm(index)

    def _freeze_vm(self) -> Callable[[], None]:
        index = self._vm()
        self._stage.kill(index, signal.SIGSTOP)

        def again() -> None:
            self._harmed.discard(index)
            self._stage.kill(index, signal.SIGCONT)

        return again

    def _replace_vm(self) -> Callable[[], None]:
        index = self._vm()
        self._stage.kill(index, signal.SIGTERM)

        def again() -> None:
            self._stage.wait_exit(index, 30.0)
            self._start_vm(index)

        return again

    def _change_index(self) -> Callable[[], None]:
        self._version += 1
        # A leaf process that is down takes the version at its restart.
        with contextlib.suppress(OSError):
            self._stage.change_index(self._version, pause=0.1)
        return lambda: None

    def _repartition(self) -> Callable[[], None]:
        # A publish that fails, or a leaf process that is down, leaves a map
        # that the leaves do not hold: shards are then missing as moved.
        with contextlib.suppress(OSError, RuntimeError):
            self._stage.repartition()
        return lambda: None


def main() -> None:
    """Runs the proof, prints its totals and exits 1 on a violation."""
    parser = argparse.ArgumentParser(prog="bin/prove", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    args = parser.parse_args()
    seed = args.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    print(f"seed {seed}, {args.seconds:g} s", flush=True)
    stage = scene.Scene(seed=seed)
    try:
        stage.start()
        chaos = Chaos(stage=stage, seed=seed)
        chaos.run(args.seconds)
        time.sleep(3.0)
        found = stage.finish()
        rows = stage.rig.leaf_rows()
        found += checks.check_connections(rows, scene.CONNECTION_LIMIT)
        runs = sum(1 for run in stage.rig.ledger())
    finally:
        stage.close()
    for name, count in sorted(chaos.induced.items()):
        print(f"  induced {name}: {count}")
    totals = {**stage.totals(), "keyed runs": runs}
    print(", ".join(f"{name} {count}" for name, count in totals.items()))
    print(f"violations: {len(found)}")
    for each in found[:50]:
        print(f"  {each}")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
