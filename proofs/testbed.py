"""Small system of real processes with load, faults and checks."""

import contextlib
import dataclasses
import os
import signal
import threading
import time

from proofs import balancer, checks, load
from standins import fleet, rig
from trefoilpier import config

CONNECTION_LIMIT = 25
SHARDS = 8


class VersionMonitor:
    """Poller that records VMs whose configuration version decreases."""

    def __init__(self, *, target: rig.Rig) -> None:
        self._rig = target
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.newest_by_process: dict[str, int] = {}
        self.violations: list[str] = []

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(0.1):
            for node in self._rig.nodes:
                with contextlib.suppress(Exception):
                    self._check_node(node)

    def _check_node(self, node: rig.NodeProcess) -> None:
        pid = node.process.pid if node.process else 0
        answer = rig.send_request(
            node.caller_port, "GET", "/v1/status", timeout=0.5
        )
        version = answer.row()["config_version"]
        name = f"{node.id}/{pid}"
        if version < self.newest_by_process.get(name, 0):
            self.violations.append(
                f"{name}: version {version} after version "
                f"{self.newest_by_process[name]}"
            )
        self.newest_by_process[name] = max(
            version, self.newest_by_process.get(name, 0)
        )


class Testbed:
    """Entry VMs, leaves of one shard group in four processes, and load."""

    def __init__(self, *, seed: int, nodes: int = 7, **options: object) -> None:
        values: dict = {
            "shards": SHARDS,
            "vms": nodes,
            "connection_limit": CONNECTION_LIMIT,
            "deadline": "1s",
            "minimum_coverage": 0.1,
        }
        values.update(options)
        self.rig = rig.Rig(
            objects=fleet.simple_objects(**values),
            nodes=nodes,
            leaf_processes=4,
        )
        self.balancer = balancer.Balancer(target=self.rig)
        self.load = load.LoadGenerator(
            target=self.rig, load_balancer=self.balancer, seed=seed
        )
        self.version_monitor = VersionMonitor(target=self.rig)
        self.violations: list[str] = []

    def start(self) -> None:
        """Start the processes, balancer, version monitor and load."""
        self.rig.start()
        self.balancer.start()
        self.version_monitor.start()
        self.load.start()

    def finish(self) -> list[str]:
        """Stop the load and return all violations."""
        self.load.stop()
        self.balancer.stop()
        self.version_monitor.stop()
        all_violations = list(self.violations) + self.version_monitor.violations
        for request in self.load.requests:
            if request.service == "search":
                all_violations += checks.check_search(request)
        all_violations += checks.check_reservations(
            self.load.requests, self.rig.ledger()
        )
        all_violations += checks.check_refusals(self.load.requests)
        return all_violations

    def close(self) -> None:
        """Stop all processes."""
        self.rig.stop()

    def signal_vm(
        self, index: int, signal_number: int = signal.SIGKILL
    ) -> None:
        """Send a signal to an entry VM."""
        process = self.rig.nodes[index].process
        if process is not None:
            os.kill(process.pid, signal_number)

    def wait_exit(self, index: int, seconds: float = 15.0) -> int:
        """Wait until an entry VM has exited and return its exit status."""
        process = self.rig.nodes[index].process
        assert process is not None
        return process.wait(seconds)

    def restart_vm(self, index: int) -> None:
        """Restart an entry VM on the same ports and wait until it is ready."""
        self.rig.start_node(self.rig.nodes[index])
        self.rig.wait_ready(self.rig.nodes[index])

    def change_index(self, version: int, pause: float = 0.2) -> None:
        """Move all leaves to a new index version, one process at a time.

        All leaves first serve both versions; then the old one is dropped.
        """
        for leaf_process in self.rig.leaves:
            setup = {"versions": [version - 1, version]}
            rig.send_request(
                leaf_process.control_port, "POST", "/v1/setup", setup
            )
            time.sleep(pause)
        for leaf_process in self.rig.leaves:
            setup = {"versions": [version]}
            rig.send_request(
                leaf_process.control_port, "POST", "/v1/setup", setup
            )
            time.sleep(pause)

    def repartition(self) -> None:
        """Move every shard to the next replica set, in a new epoch.

        The leaves are changed one process at a time; then the new shard map is
        published.
        """
        objects = [_shift_shards(raw) for raw in self.rig.objects]
        config_set = config.build_config_set(version=0, objects=objects).ok
        group = config_set.shard_group_by_name["items"]
        for leaf_process in self.rig.leaves:
            for leaf_id in leaf_process.leaf_ids:
                shards = [
                    shard
                    for shard, ids in enumerate(group.leaf_ids_by_shard)
                    if leaf_id in ids
                ]
                setup = {"epoch": group.epoch, "shards": shards}
                path = f"/v1/setup?leaf={leaf_id}"
                rig.send_request(leaf_process.control_port, "POST", path, setup)
        self.rig.objects = objects
        self.rig.config_set = config_set
        self.rig.publish_objects()

    def totals(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        requests = self.load.requests
        return {
            "requests": len(requests),
            "answers": sum(1 for request in requests if request.status == 200),
            "partial": sum(
                1
                for request in requests
                if request.response.get("code") == "TPR-1001"
            ),
            "refusals": sum(
                1
                for request in requests
                if str(request.response.get("code", "")).startswith("TPR-3")
            ),
            "unknown": sum(
                1
                for request in requests
                if request.response.get("ran") == "unknown"
            ),
            "lost": sum(1 for request in requests if request.status == 0),
        }


def _shift_shards(raw: config.RawObject) -> config.RawObject:
    """Return a shard group with every shard moved to the next replica set."""
    if raw.kind != "shard_group":
        return raw
    keys = dict(raw.text_by_key)
    for shard in range(SHARDS):
        keys[f"shard.{shard}"] = raw.text_by_key[
            f"shard.{(shard + 2) % SHARDS}"
        ]
    keys["epoch"] = str(int(keys["epoch"]) + 1)
    return dataclasses.replace(raw, text_by_key=keys)
