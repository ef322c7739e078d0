"""Assembly of one process from the blackboard and its controllers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier import (
    base,
    board,
    idempotency,
    leaf,
    limits,
    membership,
    metadata,
    peer,
    query,
    routing,
)
from trefoilpier.node import config_controller, leaf_controller, loop_monitor

_READY_PERIOD_S = 0.1


@dataclass(slots=True, kw_only=True)
class NodeDependencies:
    """The external dependencies of a node, replaceable in tests.

    Attributes:
        clock: The clock.
        rng: Random number generator.
        log: Event log.
        leaf_transport: Transport of calls to leaves.
        network: Transport of messages to peers.
        store: The platform's service.
        membership_timing: Periods of the membership protocol.
        queries_max: Maximum number of requests in flight.
        seeds: Peers through which to join if the platform's membership list
            cannot be read.
    """

    clock: base.Clock
    rng: random.Random
    log: base.EventLog
    leaf_transport: leaf.LeafTransport
    network: peer.PeerNetwork
    store: metadata.Store
    membership_timing: membership.MembershipTiming
    queries_max: int
    seeds: tuple[peer.PeerAddress, ...] = ()


class Node:
    """One entry VM process, without its listening sockets.

    Attributes:
        own_record: This node's membership record at start.
        board: The blackboard, which holds the state of the process.
        context: Dependencies and state shared by all gathers of this node.
        placement: Assignment of blocks to nodes.
        runner: Runner of callers' requests.
        snapshots: Tracker of the index versions that each shard can serve.
    """

    __slots__ = (
        "_clock",
        "_config_controller",
        "_leaf_controller",
        "_log",
        "_loop_monitor",
        "_membership",
        "own_record",
        "_peer_client",
        "_seeds",
        "_sub_queries",
        "board",
        "context",
        "placement",
        "runner",
        "snapshots",
    )

    def __init__(
        self, *, own_record: board.NodeRecord, dependencies: NodeDependencies
    ) -> None:
        """Create and connect the controllers; `start` starts them."""
        blackboard = board.Board(self_id=own_record.id)
        self.board = blackboard
        self.own_record = own_record
        self._clock = dependencies.clock
        self._log = dependencies.log
        self._seeds = dependencies.seeds
        self._peer_client = query.PeerClient(
            blackboard=blackboard,
            clock=dependencies.clock,
            network=dependencies.network,
            incarnation=own_record.incarnation,
        )
        self.placement = routing.Placement(nodes=blackboard.nodes)
        self.snapshots = routing.SnapshotTracker(leaves=blackboard.leaves)
        self.context = routing.GatherContext(
            clock=dependencies.clock,
            blackboard=blackboard,
            transport=dependencies.leaf_transport,
            chooser=routing.ReplicaChooser(
                leaves=blackboard.leaves, rng=dependencies.rng
            ),
            hedge_policy=routing.HedgePolicy(leaves=blackboard.leaves),
            log=dependencies.log,
            next_call_id=self._peer_client.next_id,
        )
        self._leaf_controller = leaf_controller.LeafController(
            blackboard=blackboard,
            clock=dependencies.clock,
            log=dependencies.log,
            transport=dependencies.leaf_transport,
            placement=self.placement,
            context=self.context,
        )
        self._membership = membership.Membership(
            blackboard=blackboard,
            clock=dependencies.clock,
            rng=dependencies.rng,
            log=dependencies.log,
            timing=dependencies.membership_timing,
            send=self._peer_client.send,
            send_datagram=self._peer_client.send_datagram,
            on_change=self._leaf_controller.update_held_leaves,
            on_leaf_leaving=self._leaf_controller.handle_leaving,
        )
        self._config_controller = config_controller.ConfigController(
            blackboard=blackboard,
            clock=dependencies.clock,
            rng=dependencies.rng,
            log=dependencies.log,
            store=dependencies.store,
            send_request=self._peer_client.send_request,
            next_id=self._peer_client.next_id,
            send_notice=self._send_notice,
            on_config_applied=self._leaf_controller.update_held_leaves,
            on_members=self._handle_members,
        )
        self._sub_queries = query.SubQueryServer(
            blackboard=blackboard,
            context=self.context,
            placement=self.placement,
            snapshots=self.snapshots,
            send_reply=self._peer_client.send,
        )
        self.runner = query.RequestRunner(
            blackboard=blackboard,
            clock=dependencies.clock,
            log=dependencies.log,
            context=self.context,
            placement=self.placement,
            snapshots=self.snapshots,
            peer_client=self._peer_client,
            admission=limits.Admission(
                blackboard=blackboard,
                clock=dependencies.clock,
                rng=dependencies.rng,
                max_in_flight=dependencies.queries_max,
            ),
            claims=idempotency.Claims(
                store=dependencies.store,
                clock=dependencies.clock,
                log=dependencies.log,
                next_id=self._peer_client.next_id,
            ),
        )
        self._loop_monitor = loop_monitor.LoopMonitor(
            clock=dependencies.clock,
            log=dependencies.log,
            on_frozen=self._config_controller.reread_head,
        )
        dependencies.network.set_listener(
            self._handle_envelope, self._peer_client.handle_link_lost
        )

    def start(self) -> None:
        """Start the controllers."""
        self._membership.start(self.own_record, self._seeds)
        self._leaf_controller.start()
        self._config_controller.start()
        self._loop_monitor.start()
        self._log_when_ready()
        self._log.emit(base.Event.STARTED, node=self.own_record.id)

    def _log_when_ready(self) -> None:
        """Log one event once this node becomes ready."""
        if self.ready():
            self._log.emit(base.Event.READY, node=self.own_record.id)
        elif not self.board.drain.draining:
            self._clock.call_later(_READY_PERIOD_S, self._log_when_ready)

    def ready(self) -> bool:
        """Return whether this node is ready for callers' requests."""
        return (
            self.board.config.current is not None
            and not self.board.drain.draining
            and self._leaf_controller.all_phases_known()
        )

    def drain(self) -> None:
        """Begin the graceful shutdown.

        Peers are notified, and readiness becomes false for the load balancer.
        """
        if self.board.drain.draining:
            return
        self.board.drain.draining = True
        self.board.drain.started_at = self._clock.monotonic()
        self._membership.leave()
        self._log.emit(
            base.Event.DRAIN_STARTED, in_flight=self.board.queries.in_flight
        )

    def idle(self) -> bool:
        """Return whether no request or sub-query is in flight."""
        queries = self.board.queries
        return not queries.in_flight and not queries.sub_queries_in_flight

    def stop(self) -> None:
        """Stop the controllers and release the leaves."""
        self._loop_monitor.stop()
        self._config_controller.stop()
        self._leaf_controller.stop()
        self._log.emit(base.Event.STOPPED, node=self.own_record.id)

    def _handle_members(self, records: list[metadata.VmRecord]) -> None:
        """Process the entry VMs and backend servers of the membership list."""
        entry_records = [record for record in records if record.role == "entry"]
        self._membership.contact_listed_vms(entry_records)
        for record in records:
            leaving = record.state == metadata.VmState.LEAVING
            if record.role == "leaf" and leaving:
                self._membership.mark_leaf_leaving(record.id)

    def _send_notice(self, node_id: str, message: peer.Message) -> None:
        record = self.board.nodes.node_by_id.get(node_id)
        if record is None:
            return
        address = peer.PeerAddress(host=record.host, port=record.peer_port)
        self._peer_client.send_datagram(address, message)

    def _handle_envelope(
        self, envelope: peer.Envelope, address: peer.PeerAddress | None
    ) -> None:
        """Dispatch a message of a peer to its handler."""
        sender = envelope.sender
        message = envelope.message
        if message is None or sender == self.own_record.id:
            return
        handler = self._find_handler(message)
        if handler is not None:
            handler(sender, message)
        else:
            self._membership.handle_message(sender, message, address)
        self._config_controller.handle_peer_version(
            sender, envelope.config_version
        )

    def _find_handler(
        self, message: peer.Message
    ) -> Callable[[str, peer.Message], None] | None:
        """Return the handler of a message; None for the membership protocol."""
        if isinstance(message, _REPLIES):
            return lambda sender, m: self._peer_client.handle_reply(
                sender, m.id, m
            )
        if isinstance(message, peer.SubQuery):
            return self._sub_queries.handle_sub_query
        if isinstance(message, peer.Cancel):
            return lambda sender, m: self._sub_queries.handle_cancel(m)
        if isinstance(message, peer.VersionsQuery):
            return self._sub_queries.handle_versions
        if isinstance(message, peer.ManifestPull):
            return lambda sender, m: self._peer_client.send(
                sender, self._config_controller.make_manifest_reply(m)
            )
        if isinstance(message, peer.ObjectsPull):
            return lambda sender, m: self._peer_client.send(
                sender, self._config_controller.make_objects_reply(m)
            )
        if isinstance(message, peer.Notice):
            return _ignore_notice
        return None


def _ignore_notice(sender: str, message: peer.Message) -> None:
    """Ignore a notice: only the version in its envelope matters."""


_REPLIES = (
    peer.Partial,
    peer.VersionsReply,
    peer.ManifestReply,
    peer.ObjectsReply,
)
