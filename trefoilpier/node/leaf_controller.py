"""Which leaves this node holds, and how each of them is."""

from trefoilpier import base, board, config, leaf, limits, routing

_PROBE_PERIOD_S = 0.25
_QUIET_S = 1.0
_DOWN_PROBE_S = 0.5
_FAILURES_DOWN = 2
_COLD_AFTER_S = 0.5


class LeafController:
    """Holds the leaves of this node's blocks and keeps their rows current.

    New work to a leaf stops with the earliest of three signals: the
    membership list, the leaf's own word, or failed probes.
    """

    __slots__ = (
        "_asked_at_by_leaf",
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
        self._asked_at_by_leaf: dict[str, float] = {}
        self._stopped = False
        transport.set_listener(self.reported)

    def start(self) -> None:
        """Begins to probe quiet leaves."""
        self._clock.call_later(_PROBE_PERIOD_S, self._probe_quiet)

    def stop(self) -> None:
        """Releases every leaf."""
        self._stopped = True
        for leaf_id in list(self._board.leaves.state_by_id):
            self._release(leaf_id)

    def replace_held(self) -> None:
        """Holds the leaves of this node's blocks and releases others."""
        current = self._board.config.current
        if current is None or self._stopped:
            return
        wanted: dict[str, config.ShardGroup] = {}
        for group in current.shard_group_by_name.values():
            for block in group.blocks:
                if self._placement.holds(block, group):
                    wanted.update(dict.fromkeys(block.leaf_ids, group))
        held = self._board.leaves.state_by_id
        released = [leaf_id for leaf_id in held if leaf_id not in wanted]
        for leaf_id in released:
            self._release(leaf_id)
        added = [leaf_id for leaf_id in wanted if leaf_id not in held]
        for leaf_id, group in wanted.items():
            self._hold(current.leaf_by_id[leaf_id], group)
        if added or released:
            self._log.emit(
                base.Event.PLACEMENT_CHANGED,
                held=len(wanted),
                added=len(added),
                released=len(released),
                nodes=len(self._board.nodes.live_ids),
            )

    def reported(self, leaf_id: str, report: leaf.LeafReport | None) -> None:
        """Takes in a leaf's report, or a failed probe."""
        state = self._board.leaves.state_by_id.get(leaf_id)
        if state is None:
            return
        now = self._clock.monotonic()
        if report is None:
            state.failures += 1
            if state.failures >= _FAILURES_DOWN:
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

    def leaving(self, leaf_id: str) -> None:
        """Takes in the membership list's word that a leaf is leaving."""
        state = self._board.leaves.state_by_id.get(leaf_id)
        if state is not None:
            self._set_phase(state, board.LeafPhase.DRAINING)

    def all_known(self) -> bool:
        """Tells whether every held leaf has answered or failed a probe."""
        return all(
            state.phase != board.LeafPhase.UNKNOWN
            for state in self._board.leaves.state_by_id.values()
        )

    def _hold(self, held: config.Leaf, group: config.ShardGroup) -> None:
        """Holds one leaf, or takes over its changed settings."""
        states = self._board.leaves.state_by_id
        state = states.get(held.id)
        now = self._clock.monotonic()
        if state is not None and state.leaf == held:
            if state.group.epoch != group.epoch:
                # What the leaf last said is of the old partitioning.
                self._transport.probe(held.id)
            state.group = group
            self._context.lane_by_leaf[held.id].limit.set_slots(
                group.slot_share
            )
        else:
            state = board.LeafState(leaf=held, group=group, now=now)
            states[held.id] = state
            self._context.lane_by_leaf[held.id] = limits.Lane(
                state=state, now=self._clock.monotonic
            )
            if held.id in self._board.leaves.leaving_ids:
                state.phase = board.LeafPhase.DRAINING
        self._transport.hold(held, share=group.connections_per_node)

    def _release(self, leaf_id: str) -> None:
        del self._board.leaves.state_by_id[leaf_id]
        self._context.lane_by_leaf.pop(leaf_id, None)
        self._asked_at_by_leaf.pop(leaf_id, None)
        self._transport.release(leaf_id)

    def _set_phase(
        self, state: board.LeafState, phase: board.LeafPhase
    ) -> None:
        """Changes a leaf's phase; one that was long away begins cold."""
        if state.phase == phase:
            return
        now = self._clock.monotonic()
        was_down = state.phase == board.LeafPhase.DOWN
        away = now - state.phase_since
        state.phase = phase
        state.phase_since = now
        if phase == board.LeafPhase.UP and was_down and away > _COLD_AFTER_S:
            self._context.lane_by_leaf[state.leaf.id].restart()
        event = _EVENT_BY_PHASE[phase]
        self._log.emit(event, leaf=state.leaf.id, zone=state.leaf.zone)

    def _probe_quiet(self) -> None:
        """Probes the leaves that have not been heard from lately."""
        if self._stopped:
            return
        self._clock.call_later(_PROBE_PERIOD_S, self._probe_quiet)
        now = self._clock.monotonic()
        for leaf_id, state in self._board.leaves.state_by_id.items():
            period = _QUIET_S
            if state.phase in (board.LeafPhase.DOWN, board.LeafPhase.UNKNOWN):
                period = _DOWN_PROBE_S
            asked_at = self._asked_at_by_leaf.get(leaf_id, 0.0)
            if now - max(state.last_reply_at, asked_at) < period:
                continue
            self._asked_at_by_leaf[leaf_id] = now
            self._transport.probe(leaf_id)


_EVENT_BY_PHASE: dict[board.LeafPhase, base.Event] = {
    board.LeafPhase.UP: base.Event.LEAF_UP,
    board.LeafPhase.DOWN: base.Event.LEAF_DOWN,
    board.LeafPhase.DRAINING: base.Event.LEAF_DRAINING,
}
