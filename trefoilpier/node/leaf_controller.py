"""Connections to leaves and tracking of their health."""

from trefoilpier import base, board, config, leaf, limits, routing

_PROBE_CHECK_PERIOD_S = 0.25
_IDLE_PROBE_PERIOD_S = 1.0
_DOWN_PROBE_PERIOD_S = 0.5
_FAILURES_UNTIL_DOWN = 2
_COLD_START_DOWNTIME_S = 0.5


class LeafController:
    """Controller of the leaves that this node holds connections to.

    These are the leaves of the blocks that are placed on this node. New calls
    to a leaf stop at the first of three signals: the membership list, the
    leaf's own report, or failed probes.
    """

    __slots__ = (
        "_probed_at_by_leaf",
        "_board",
        "_clock",
        "_context",
        "_log",
        "_placement",
        "_stopped",
        "_transport",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        clock: base.Clock,
        log: base.EventLog,
        transport: leaf.LeafTransport,
        placement: routing.Placement,
        context: routing.GatherContext,
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._log = log
        self._transport = transport
        self._placement = placement
        self._context = context
        self._probed_at_by_leaf: dict[str, float] = {}
        self._stopped = False
        transport.set_listener(self.handle_report)

    def start(self) -> None:
        """Start to probe idle leaves."""
        self._clock.call_later(_PROBE_CHECK_PERIOD_S, self._probe_idle_leaves)

    def stop(self) -> None:
        """Release all leaves."""
        self._stopped = True
        for leaf_id in list(self._board.leaves.state_by_id):
            self._release_leaf(leaf_id)

    def update_held_leaves(self) -> None:
        """Hold the leaves of this node's blocks and release all others."""
        current = self._board.config.current
        if current is None or self._stopped:
            return
        group_by_leaf_id: dict[str, config.ShardGroup] = {}
        for group in current.shard_group_by_name.values():
            for block in group.blocks:
                if self._placement.is_gatherer(block, group):
                    group_by_leaf_id.update(
                        dict.fromkeys(block.leaf_ids, group)
                    )
        state_by_leaf_id = self._board.leaves.state_by_id
        released_ids = [
            leaf_id
            for leaf_id in state_by_leaf_id
            if leaf_id not in group_by_leaf_id
        ]
        for leaf_id in released_ids:
            self._release_leaf(leaf_id)
        added_ids = [
            leaf_id
            for leaf_id in group_by_leaf_id
            if leaf_id not in state_by_leaf_id
        ]
        for leaf_id, group in group_by_leaf_id.items():
            self._hold_leaf(current.leaf_by_id[leaf_id], group)
        if added_ids or released_ids:
            self._log.emit(
                base.Event.PLACEMENT_CHANGED,
                held=len(group_by_leaf_id),
                added=len(added_ids),
                released=len(released_ids),
                nodes=len(self._board.nodes.live_ids),
            )

    def handle_report(
        self, leaf_id: str, report: leaf.LeafReport | None
    ) -> None:
        """Update the state of a leaf after a report or a failed probe.

        Args:
            leaf_id: The leaf.
            report: Its report, or None after a failed probe.
        """
        state = self._board.leaves.state_by_id.get(leaf_id)
        if state is None:
            return
        now = self._clock.monotonic()
        if report is None:
            state.failures += 1
            if state.failures >= _FAILURES_UNTIL_DOWN:
                self._set_phase(state, board.LeafPhase.DOWN)
            return
        state.failures = 0
        state.last_reply_at = now
        state.versions = report.versions
        state.epoch = report.epoch
        state.shards = report.shards
        state.reported_load = report.load
        state.reported_at = now
        if report.draining or leaf_id in self._board.leaves.leaving_ids:
            self._set_phase(state, board.LeafPhase.DRAINING)
            return
        self._set_phase(state, board.LeafPhase.UP)

    def handle_leaving(self, leaf_id: str) -> None:
        """Drain a leaf that the membership list reports as leaving."""
        state = self._board.leaves.state_by_id.get(leaf_id)
        if state is not None:
            self._set_phase(state, board.LeafPhase.DRAINING)

    def all_phases_known(self) -> bool:
        """Return whether the phase of every held leaf is known."""
        return all(
            state.phase != board.LeafPhase.UNKNOWN
            for state in self._board.leaves.state_by_id.values()
        )

    def _hold_leaf(
        self, held_leaf: config.Leaf, group: config.ShardGroup
    ) -> None:
        """Hold a leaf, or apply its changed configuration."""
        states = self._board.leaves.state_by_id
        state = states.get(held_leaf.id)
        now = self._clock.monotonic()
        if state is not None and state.leaf == held_leaf:
            if state.group.epoch != group.epoch:
                # The last report of the leaf is for the old partitioning.
                self._transport.probe(held_leaf.id)
            state.group = group
            self._context.queue_by_leaf[held_leaf.id].limit.set_slots(
                group.calls_per_gatherer
            )
        else:
            state = board.LeafState(leaf=held_leaf, group=group, now=now)
            states[held_leaf.id] = state
            self._context.queue_by_leaf[held_leaf.id] = limits.LeafQueue(
                leaf_state=state, now=self._clock.monotonic
            )
            if held_leaf.id in self._board.leaves.leaving_ids:
                state.phase = board.LeafPhase.DRAINING
        self._transport.open_pool(
            held_leaf, max_connections=group.connections_per_node
        )

    def _release_leaf(self, leaf_id: str) -> None:
        del self._board.leaves.state_by_id[leaf_id]
        self._context.queue_by_leaf.pop(leaf_id, None)
        self._probed_at_by_leaf.pop(leaf_id, None)
        self._transport.close_pool(leaf_id)

    def _set_phase(
        self, state: board.LeafState, phase: board.LeafPhase
    ) -> None:
        """Change the phase of a leaf.

        A leaf that comes up after a long time down is taken to be cold: its
        concurrency limit restarts at one call.
        """
        if state.phase == phase:
            return
        now = self._clock.monotonic()
        was_down = state.phase == board.LeafPhase.DOWN
        time_in_phase = now - state.phase_since
        state.phase = phase
        state.phase_since = now
        if (
            phase == board.LeafPhase.UP
            and was_down
            and time_in_phase > _COLD_START_DOWNTIME_S
        ):
            self._context.queue_by_leaf[state.leaf.id].restart()
        event = _EVENT_BY_PHASE[phase]
        self._log.emit(event, leaf=state.leaf.id, zone=state.leaf.zone)

    def _probe_idle_leaves(self) -> None:
        """Probe the leaves that have not replied recently."""
        if self._stopped:
            return
        self._clock.call_later(_PROBE_CHECK_PERIOD_S, self._probe_idle_leaves)
        now = self._clock.monotonic()
        for leaf_id, state in self._board.leaves.state_by_id.items():
            period = _IDLE_PROBE_PERIOD_S
            if state.phase in (board.LeafPhase.DOWN, board.LeafPhase.UNKNOWN):
                period = _DOWN_PROBE_PERIOD_S
            probed_at = self._probed_at_by_leaf.get(leaf_id, 0.0)
            if now - max(state.last_reply_at, probed_at) < period:
                continue
            self._probed_at_by_leaf[leaf_id] = now
            self._transport.probe(leaf_id)


_EVENT_BY_PHASE: dict[board.LeafPhase, base.Event] = {
    board.LeafPhase.UP: base.Event.LEAF_UP,
    board.LeafPhase.DOWN: base.Event.LEAF_DOWN,
    board.LeafPhase.DRAINING: base.Event.LEAF_DRAINING,
}
