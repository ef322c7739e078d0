"""``bin/prove [--seconds N] [--seed S]``: load under random faults."""

import argparse
import contextlib
import random
import signal
import sys
import time
from collections.abc import Callable

from proofs import checks, testbed
from standins import rig

_FAULT_RANGE_S = (0.5, 2.5)
_PAUSE_RANGE_S = (0.1, 0.8)


class FaultInjector:
    """Injector of one or two random faults at a time.

    The function that starts a fault returns the function that ends it.
    """

    def __init__(self, *, system: testbed.Testbed, seed: int) -> None:
        self._system = system
        self._random = random.Random(seed)
        self._version = 1
        self._faulty_vms: set[int] = set()
        self.count_by_fault: dict[str, int] = {}
        self._fault_by_name: dict[str, Callable[[], Callable[[], None]]] = {
            "leaf slow": lambda: self._leaf_fault(slow_factor=30.0),
            "leaf sheds": lambda: self._leaf_fault(shed_share=0.5),
            "leaf fails": lambda: self._leaf_fault(fail_share=0.5),
            "leaf loses answers": lambda: self._leaf_fault(lose_answers=0.5),
            "leaf answers twice": lambda: self._leaf_fault(twice=True),
            "leaf names a wrong shard": lambda: self._leaf_fault(
                wrong_shard=True
            ),
            "leaf drains": lambda: self._leaf_fault(drain=True),
            "leaf frozen": lambda: self._leaf_fault(frozen=True),
            "connections silent": lambda: self._leaf_fault(mute_open=True),
            "leaf process killed": self._kill_leaf,
            "vm killed": self._kill_vm,
            "vm frozen": self._freeze_vm,
            "vm replaced": self._replace_vm,
            "store down": lambda: self._platform_fault(down=True),
            "store slow": lambda: self._platform_fault(slow_s=0.5),
            "store loses answers": lambda: self._platform_fault(lose_answers=5),
            "store loses writes": lambda: self._platform_fault(lose_writes=5),
            "store reads stale": lambda: self._platform_fault(stale_reads=True),
            "index version changes": self._change_index,
            "shards move": self._repartition,
        }

    def run(self, seconds: float) -> None:
        """Inject faults for the given time, then end them all."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            names = self._random.sample(
                sorted(self._fault_by_name), self._random.choice((1, 2))
            )
            end_functions = [self._start_fault(name) for name in names]
            time.sleep(self._random.uniform(*_FAULT_RANGE_S))
            for end_fault in end_functions:
                end_fault()
            time.sleep(self._random.uniform(*_PAUSE_RANGE_S))

    def _start_fault(self, name: str) -> Callable[[], None]:
        self.count_by_fault[name] = self.count_by_fault.get(name, 0) + 1
        return self._fault_by_name[name]()

    def _leaf_fault(self, **fault: object) -> Callable[[], None]:
        leaf_id = self._random.choice(
            sorted(self._system.rig.config_set.leaf_by_id)
        )
        self._set_leaf_faults(leaf_id, fault)
        no_faults = {
            "slow_factor": 1.0,
            "shed_share": 0.0,
            "fail_share": 0.0,
            "lose_answers": 0.0,
            "twice": False,
            "wrong_shard": False,
            "drain": False,
            "frozen": False,
        }
        return lambda: self._set_leaf_faults(leaf_id, no_faults)

    def _set_leaf_faults(self, leaf_id: str, fault: dict) -> None:
        """Set a leaf's faults; does nothing if its process was killed."""
        with contextlib.suppress(OSError):
            self._system.rig.set_leaf_faults(leaf_id, **fault)

    def _platform_fault(self, **fault: object) -> Callable[[], None]:
        self._system.rig.set_platform_faults(**fault)
        return lambda: self._system.rig.set_platform_faults(
            down=False,
            slow_s=0.0,
            lose_answers=0,
            lose_writes=0,
            stale_reads=False,
        )

    def _kill_leaf(self) -> Callable[[], None]:
        leaf_process = self._random.choice(self._system.rig.leaves)
        if leaf_process.process is not None:
            leaf_process.process.kill()
            leaf_process.process.wait()

        def restart() -> None:
            self._system.rig.start_leaf(leaf_process)
            versions = {"versions": [self._version]}
            rig.send_request(
                leaf_process.control_port, "POST", "/v1/setup", versions
            )

        return restart

    def _take_healthy_vm(self) -> int:
        """Choose a VM without an active fault and mark it as faulty."""
        healthy = [
            k
            for k in range(len(self._system.rig.nodes))
            if k not in self._faulty_vms
        ]
        index = self._random.choice(healthy)
        self._faulty_vms.add(index)
        return index

    def _start_vm(self, index: int) -> None:
        self._faulty_vms.discard(index)
        self._system.rig.start_node(self._system.rig.nodes[index])

    def _kill_vm(self) -> Callable[[], None]:
        index = self._take_healthy_vm()
        self._system.signal_vm(index)
        self._system.wait_exit(index)
        return lambda: self._start_vm(index)

    def _freeze_vm(self) -> Callable[[], None]:
        index = self._take_healthy_vm()
        self._system.signal_vm(index, signal.SIGSTOP)

        def resume() -> None:
            self._faulty_vms.discard(index)
            self._system.signal_vm(index, signal.SIGCONT)

        return resume

    def _replace_vm(self) -> Callable[[], None]:
        index = self._take_healthy_vm()
        self._system.signal_vm(index, signal.SIGTERM)

        def restart() -> None:
            self._system.wait_exit(index, 30.0)
            self._start_vm(index)

        return restart

    def _change_index(self) -> Callable[[], None]:
        self._version += 1
        # A leaf process that is down gets the version when it restarts.
        with contextlib.suppress(OSError):
            self._system.change_index(self._version, pause=0.1)
        return lambda: None

    def _repartition(self) -> Callable[[], None]:
        # If publishing fails or a leaf process is down, the configuration and
        # the leaves disagree on the shard map. The moved shards are then
        # reported as missing.
        with contextlib.suppress(OSError, RuntimeError):
            self._system.repartition()
        return lambda: None


def main() -> None:
    """Run the load under random faults; exit with status 1 on a violation."""
    parser = argparse.ArgumentParser(prog="bin/prove", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    args = parser.parse_args()
    seed = args.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    print(f"seed {seed}, {args.seconds:g} s", flush=True)
    system = testbed.Testbed(seed=seed)
    try:
        system.start()
        injector = FaultInjector(system=system, seed=seed)
        injector.run(args.seconds)
        time.sleep(3.0)
        violations = system.finish()
        rows = system.rig.leaf_counts()
        violations += checks.check_connections(rows, testbed.CONNECTION_LIMIT)
        run_count = sum(1 for run in system.rig.ledger())
    finally:
        system.close()
    for name, count in sorted(injector.count_by_fault.items()):
        print(f"  injected {name}: {count}")
    totals = {**system.totals(), "keyed runs": run_count}
    print(", ".join(f"{name} {count}" for name, count in totals.items()))
    print(f"violations: {len(violations)}")
    for violation in violations[:50]:
        print(f"  {violation}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
