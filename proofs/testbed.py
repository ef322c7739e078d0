"""A small system of real processes with everything a proof needs."""

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


class VersionWatch:
    """Polls every VM and notes a configuration version that went back."""

    def __init__(self, *, target: rig.Rig) -> None:
        self._rig = target
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.newest: dict[str, int] = {}
        self.violations: list[str] = []

    def start(self) -> None:
        """Begins to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the polling."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(0.1):
            for node in self._rig.nodes:
                with contextlib.suppress(Exception):
                    self._look(node)

    def _look(self, node: rig.NodeProcess) -> None:
        pid = node.process.pid if node.process else 0
        answer = rig.ask(node.caller_port, "GET", "/v1/status", timeout=0.5)
        version = answer.row()["config_version"]
        name = f"{node.id}/{pid}"
        if version < self.newest.get(name, 0):
            self.violations.append(
                f"{name}: version {version} after {self.newest[name]}"
            )
        self.newest[name] = max(version, self.newest.get(name, 0))


class Scene:
    """Seven entry VMs, leaves of one group in several processes, and load."""

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
        self.load = load.ProofLoad(
            target=self.rig, through=self.balancer, seed=seed
        )
        self.versions = VersionWatch(target=self.rig)
        self.violations: list[str] = []

    def start(self) -> None:
        """Starts processes, balancer, watch and load."""
        self.rig.start()
        self.balancer.start()
        self.versions.start()
        self.load.start()

    def finish(self) -> list[str]:
        """Ends the load and returns every violation."""
        self.load.stop()
        self.balancer.stop()
        self.versions.stop()
        found = list(self.violations) + self.versions.violations
        for sent in self.load.rows:
            if sent.service == "search":
                found += checks.check_search(sent)
        found += checks.check_reservations(self.load.rows, self.rig.ledger())
        found += checks.check_refusals(self.load.rows)
        return found

    def close(self) -> None:
        """Ends every process."""
        self.rig.stop()

    def kill(self, index: int, number: int = signal.SIGKILL) -> None:
        """Sends a signal to an entry VM."""
        process = self.rig.nodes[index].process
        if process is not None:
            os.kill(process.pid, number)

    def wait_exit(self, index: int, seconds: float = 15.0) -> int:
        """Waits until an entry VM has ended; returns its status."""
        process = self.rig.nodes[index].process
        assert process is not None
        return process.wait(seconds)

    def restart(self, index: int) -> None:
        """Starts an entry VM again, on the same ports."""
        self.rig.start_node(self.rig.nodes[index])
        self.rig.wait_ready(self.rig.nodes[index])

    def change_index(self, version: int, pause: float = 0.2) -> None:
        """Moves every leaf to a new index version, one process at a time.

        Each leaf first serves both versions, and drops the old one last.
        """
        for each in self.rig.leaves:
            row = {"versions": [version - 1, version]}
            rig.ask(each.control_port, "POST", "/v1/setup", row)
            time.sleep(pause)
        for each in self.rig.leaves:
            row = {"versions": [version]}
            rig.ask(each.control_port, "POST", "/v1/setup", row)
            time.sleep(pause)

    def repartition(self) -> None:
        """Moves every shard to the next team of leaves, as a new epoch.

        The leaves move one process at a time; then the map is published.
        """
        objects = [_moved(raw) for raw in self.rig.objects]
        built = config.build_config_set(version=0, objects=objects).ok
        group = built.shard_group_by_name["items"]
        for each in self.rig.leaves:
            for leaf_id in each.leaf_ids:
                shards = [
                    shard
                    for shard, ids in enumerate(group.leaf_ids_by_shard)
                    if leaf_id in ids
                ]
                row = {"epoch": group.epoch, "shards": shards}
                path = f"/v1/setup?leaf={leaf_id}"
                rig.ask(each.control_port, "POST", path, row)
        self.rig.objects = objects
        self.rig.set = built
        self.rig.publish_directly()

    def totals(self) -> dict[str, int]:
        """Counts what callers were told."""
        rows = self.load.rows
        return {
            "requests": len(rows),
            "answers": sum(1 for sent in rows if sent.status == 200),
            "partial": sum(
                1 for sent in rows if sent.row.get("code") == "TPR-1001"
            ),
            "refusals": sum(
                1
                for sent in rows
                if str(sent.row.get("code", "")).startswith("TPR-3")
            ),
            "unknown": sum(
                1 for sent in rows if sent.row.get("ran") == "unknown"
            ),
            "lost": sum(1 for sent in rows if sent.status == 0),
        }


def _moved(raw: config.RawObject) -> config.RawObject:
    """Returns a shard group whose shards moved on by one team."""
    if raw.kind != "shard_group":
        return raw
    keys = dict(raw.text_by_key)
    for shard in range(SHARDS):
        keys[f"shard.{shard}"] = raw.text_by_key[
            f"shard.{(shard + 2) % SHARDS}"
        ]
    keys["epoch"] = str(int(keys["epoch"]) + 1)
    return dataclasses.replace(raw, text_by_key=keys)
