"""Puts one process together: the blackboard and its controllers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier import (
    base,
    board,
    leaf,
    limits,
    membership,
    metadata,
    once,
    peer,
    query,
    routing,
)
from trefoilpier.node import config_controller, leaf_controller, loop_watch

_READY_PERIOD_S = 0.1


@dataclass(slots=True, kw_only=True)
class NodeParts:
    """The outside of a node: everything that a test or bench can replace.

    Attributes:
        clock: The clock.
        rng: Seeded random numbers.
        log: Where events go.
        leaves: Carries calls to leaves.
        network: Carries messages to peers.
        store: The platform's service.
        timing: Periods of the membership protocol.
        queries_max: Requests in flight.
        seeds: Peers to join by when the platform's list cannot be read.
    """

    clock: base.Clock
    rng: random.Random
    log: base.EventLog
    leaves: leaf.LeafTransport
    network: peer.PeerNetwork
    store: metadata.Store
    timing: membership.MembershipTiming
    queries_max: int
    seeds: tuple[peer.PeerAddress, ...] = ()


class Node:
    """The blackboard, its controllers and the messages between them.

    Attributes:
        board: The blackboard.
        own: This node's record at its start.
        runner: Runs callers' requests.
    """

    __slots__ = (
        "_clock",
        "_config",
        "_leaves",
        "_log",
        "_loop_watch",
        "_membership",
        "own",
        "_requests",
        "_seeds",
        "_sub_queries",
        "board",
        "context",
        "placement",
        "runner",
        "snapshots",
    )

    def __init__(self, *, own: board.NodeRecord, parts: NodeParts) -> None:
        """Wires the controllers; nothing runs before `start`."""
        blackboard = board.Board(self_id=own.id)
        self.board = blackboard
        self.own = own
        self._clock = parts.clock
        self._log = parts.log
        self._seeds = parts.seeds
        self._requests = query.PeerRequests(
            blackboard=blackboard,
            clock=parts.clock,
            network=parts.network,
            incarnation=own.incarnation,
        )
        self.placement = routing.Placement(nodes=blackboard.nodes)
        self.snapshots = routing.SnapshotTracker(leaves=blackboard.leaves)
        self.context = routing.GatherContext(
            clock=parts.clock,
            blackboard=blackboard,
            transport=parts.leaves,
            chooser=routing.ReplicaChooser(
                leaves=blackboard.leaves, rng=parts.rng
            ),
            hedging=routing.HedgePolicy(leaves=blackboard.leaves),
            log=parts.log,
            next_call_id=self._requests.next_id,
        )
        self._leaves = leaf_controller.LeafController(
            blackboard=blackboard,
            clock=parts.clock,
            log=parts.log,
            transport=parts.leaves,
            placement=self.placement,
            context=self.context,
        )
        self._membership = membership.Membership(
            blackboard=blackboard,
            clock=parts.clock,
            rng=parts.rng,
            log=parts.log,
            timing=parts.timing,
            send=self._requests.send,
            send_datagram=self._requests.send_datagram,
            on_change=self._leaves.replace_held,
            on_leaf_leaving=self._leaves.leaving,
        )
        self._config = config_controller.ConfigController(
            blackboard=blackboard,
            clock=parts.clock,
            rng=parts.rng,
            log=parts.log,
            store=parts.store,
            ask=self._requests.ask,
            next_id=self._requests.next_id,
            send_notice=self._send_notice,
            on_in_force=self._leaves.replace_held,
            on_members=self._take_members,
        )
        self._sub_queries = query.SubQueryServer(
            blackboard=blackboard,
            context=self.context,
            placement=self.placement,
            snapshots=self.snapshots,
            reply=self._requests.send,
        )
        self.runner = query.EntryRunner(
            blackboard=blackboard,
            clock=parts.clock,
            log=parts.log,
            context=self.context,
            placement=self.placement,
            snapshots=self.snapshots,
            requests=self._requests,
            admission=limits.Admission(
                blackboard=blackboard,
                clock=parts.clock,
                rng=parts.rng,
                places=parts.queries_max,
            ),
            claims=once.Claims(
                store=parts.store,
                clock=parts.clock,
                log=parts.log,
                next_id=self._requests.next_id,
            ),
        )
        self._loop_watch = loop_watch.LoopWatch(
            clock=parts.clock,
            log=parts.log,
            on_frozen=self._config.recheck,
        )
        parts.network.set_listener(self._received, self._requests.link_lost)

    def start(self) -> None:
        """Starts the controllers."""
        self._membership.start(self.own, self._seeds)
        self._leaves.start()
        self._config.start()
        self._loop_watch.start()
        self._announce_ready()
        self._log.emit(base.Event.STARTED, node=self.own.id)

    def _announce_ready(self) -> None:
        """Writes one event when this node becomes ready."""
        if self.ready():
            self._log.emit(base.Event.READY, node=self.own.id)
        elif not self.board.drain.draining:
            self._clock.call_later(_READY_PERIOD_S, self._announce_ready)

    def ready(self) -> bool:
        """Tells whether this node should be given callers' requests."""
        return (
            self.board.config.current is not None
            and not self.board.drain.draining
            and self._leaves.all_known()
        )

    def drain(self) -> None:
        """Begins the graceful shutdown: peers and the balancer are told."""
        if self.board.drain.draining:
            return
        self.board.drain.draining = True
        self.board.drain.since = self._clock.monotonic()
        self._membership.leave()
        self._log.emit(
            base.Event.DRAIN_STARTED, in_flight=self.board.queries.in_flight
        )

    def idle(self) -> bool:
        """Tells whether no request or sub-query is in flight."""
        queries = self.board.queries
        return not queries.in_flight and not queries.sub_in_flight

    def stop(self) -> None:
        """Ends the controllers and releases the leaves."""
        self._loop_watch.stop()
        self._config.stop()
        self._leaves.stop()
        self._log.emit(base.Event.STOPPED, node=self.own.id)

    def _take_members(self, records: list[metadata.VmRecord]) -> None:
        """Sorts the platform's list into entry VMs and backend servers."""
        entry = [record for record in records if record.role == "entry"]
        self._membership.meet(entry)
        for record in records:
            leaving = record.state == metadata.VmState.LEAVING
            if record.role == "leaf" and leaving:
                self._membership.leaf_leaving(record.id)

    def _send_notice(self, node_id: str, message: peer.Message) -> None:
        record = self.board.nodes.node_by_id.get(node_id)
        if record is None:
            return
        address = peer.PeerAddress(host=record.host, port=record.peer_port)
        self._requests.send_datagram(address, message)

    def _received(
        self, envelope: peer.Envelope, address: peer.PeerAddress | None
    ) -> None:
        """Hands a peer's message to its controller."""
        sender = envelope.sender
        message = envelope.message
        if message is None or sender == self.own.id:
            return
        handle = self._handler(message)
        if handle is not None:
            handle(sender, message)
        else:
            self._membership.handle(sender, message, address)
        self._config.heard(sender, envelope.config_version)

    def _handler(
        self, message: peer.Message
    ) -> Callable[[str, peer.Message], None] | None:
        """Finds who handles a message; None for the membership's own."""
        if isinstance(message, _REPLIES):
            return lambda sender, m: self._requests.replied(sender, m.id, m)
        if isinstance(message, peer.SubQuery):
            return self._sub_queries.handle_sub_query
        if isinstance(message, peer.Cancel):
            return lambda sender, m: self._sub_queries.handle_cancel(m)
        if isinstance(message, peer.VersionsQuery):
            return self._sub_queries.handle_versions
        if isinstance(message, peer.ManifestPull):
            return lambda sender, m: self._requests.send(
                sender, self._config.manifest_for_peer(m)
            )
        if isinstance(message, peer.ObjectsPull):
            return lambda sender, m: self._requests.send(
                sender, self._config.objects_for_peer(m)
            )
        if isinstance(message, peer.Notice):
            return _ignore
        return None


def _ignore(sender: str, message: peer.Message) -> None:
    """Drops a message whose envelope says all."""


_REPLIES = (
    peer.Partial,
    peer.VersionsReply,
    peer.ManifestReply,
    peer.ObjectsReply,
)
