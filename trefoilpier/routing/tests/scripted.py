"""Test harness for gathers whose leaf replies are scripted by the test."""

import itertools
import random

from standins import fleet
from trefoilpier import base, board, config, leaf, limits, routing


class ScriptedTransport(leaf.LeafTransport):
    """A leaf transport that records calls for the test to answer."""

    def __init__(self):
        self.calls = []
        self.cancelled = []

    def set_listener(self, on_report):
        pass

    def open_pool(self, leaf, *, max_connections):
        pass

    def close_pool(self, leaf_id):
        pass

    def probe(self, leaf_id):
        pass

    def call(self, leaf_id, call):
        self.calls.append((leaf_id, call))

    def cancel(self, leaf_id, call_id):
        self.cancelled.append((leaf_id, call_id))

    def connections(self, leaf_id):
        return 0


class GatherHarness:
    """A node's gather context on a virtual clock, with all leaves up."""

    def __init__(self, **options):
        self.clock = base.VirtualClock(start=10.0)
        self.transport = ScriptedTransport()
        self.board = board.Board(self_id="vm-1")
        self.log = fleet.RecordingLog()
        objects = fleet.simple_objects(**options)
        self.set = config.build_config_set(version=1, objects=objects).ok
        self.group = self.set.shard_group_by_name["items"]
        call_numbers = itertools.count(1)
        self.context = routing.GatherContext(
            clock=self.clock,
            blackboard=self.board,
            transport=self.transport,
            chooser=routing.ReplicaChooser(
                leaves=self.board.leaves, rng=random.Random(1)
            ),
            hedge_policy=routing.HedgePolicy(leaves=self.board.leaves),
            log=self.log,
            next_call_id=lambda: f"call-{next(call_numbers)}",
        )
        for leaf_id in self.set.group_by_leaf_id:
            self._add_leaf(leaf_id)
        self.results = []

    def _add_leaf(self, leaf_id):
        leaf_state = board.LeafState(
            leaf=self.set.leaf_by_id[leaf_id], group=self.group, now=10.0
        )
        leaf_state.phase = board.LeafPhase.UP
        leaf_state.versions = (1,)
        leaf_state.epoch = 1
        leaf_state.shards = frozenset(
            shard
            for shard, ids in enumerate(self.group.leaf_ids_by_shard)
            if leaf_id in ids
        )
        for _ in range(50):
            leaf_state.latency.add(0.005)
        self.board.leaves.state_by_id[leaf_id] = leaf_state
        self.context.queue_by_leaf[leaf_id] = limits.LeafQueue(
            leaf_state=leaf_state, now=self.clock.monotonic
        )

    def gather(self, service="search", shards=None, deadline=0.3):
        service_config = self.set.service_by_name[service]
        now = self.clock.monotonic()
        query = routing.QuerySpec(
            id="q1",
            service=service_config,
            group=self.group,
            policy=self.set.policy_by_name["usual"],
            snapshot=routing.Snapshot(
                config_version=1, group="items", epoch=1, index_version=1
            ),
            deadline=now + deadline,
            soft_deadline=now + 0.1,
            query=b"{}",
        )
        gather = routing.Gather(
            gather_context=self.context,
            query=query,
            shards=range(self.group.shard_count) if shards is None else shards,
            on_done=self.results.append,
        )
        gather.start()
        return gather

    def answer(self, call_index, status=leaf.CallStatus.OK, **overrides):
        """Answer the call sent as number ``call_index``, counted from 0."""
        _, call = self.transport.calls[call_index]
        reply_fields = {
            "shard": call.shard,
            "epoch": 1,
            "version": 1,
            "result": [{"id": f"item-{call.shard}", "score": 1}],
        }
        reply_fields.update(overrides)
        call.on_reply(leaf.LeafReply(status=status, **reply_fields))
