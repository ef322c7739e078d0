"""SWIM failure detection and dissemination between entry VMs.

In each period a node pings one other node. If no ack arrives in time, it asks
three more nodes to ping the target. A target that no node reaches becomes
suspect, and is declared dead unless it refutes the suspicion in time. Updates
are piggybacked on pings and acks.

References:
    A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", DSN 2002.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from trefoilpier import base, board, metadata, peer
from trefoilpier.membership import digest, dissemination

_INDIRECT_PROBES = 3
_CONTACTS_MAX = 5
_REMOTE_REGION_PROBE_SHARE = 0.1
_DEAD_RETENTION_S = 600.0


@dataclass(slots=True, kw_only=True, frozen=True)
class MembershipTiming:
    """Timing parameters of the protocol.

    Attributes:
        probe_period_s: Time between two probes of a node, in seconds.
        direct_timeout_s: Time to wait for an ack before the indirect probes,
            in seconds.
        suspicion_factor: Number of probe periods until a suspect is declared
            dead, per unit of log10 of the number of nodes.
        sync_period_s: Time between two exchanges of differing records with a
            random node, in seconds.
    """

    probe_period_s: float = 1.0
    direct_timeout_s: float = 0.3
    suspicion_factor: float = 2.0
    sync_period_s: float = 30.0


class Membership:
    """Membership protocol that maintains the blackboard's node records."""

    __slots__ = (
        "_board",
        "_clock",
        "_dead_at_by_id",
        "_joined",
        "_log",
        "_updates",
        "_on_change",
        "_on_leaf_leaving",
        "_probe_order",
        "_target_by_sequence",
        "_random",
        "_relay_by_sequence",
        "_send",
        "_send_datagram",
        "_sequence",
        "_suspicion_timer_by_id",
        "_timing",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        clock: base.Clock,
        rng: random.Random,
        log: base.EventLog,
        timing: MembershipTiming,
        send: Callable[[str, peer.Message], None],
        send_datagram: Callable[[peer.PeerAddress, peer.Message], None],
        on_change: Callable[[], None],
        on_leaf_leaving: Callable[[str], None],
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._random = rng
        self._log = log
        self._timing = timing
        self._send = send
        self._send_datagram = send_datagram
        self._on_change = on_change
        self._on_leaf_leaving = on_leaf_leaving
        self._updates = dissemination.UpdateQueue()
        self._probe_order: list[str] = []
        self._sequence = 0
        self._target_by_sequence: dict[int, str] = {}
        self._relay_by_sequence: dict[int, tuple[int, peer.PeerAddress]] = {}
        self._suspicion_timer_by_id: dict[str, base.Timer] = {}
        self._dead_at_by_id: dict[str, float] = {}
        self._joined = False

    def start(
        self, own: board.NodeRecord, seeds: tuple[peer.PeerAddress, ...] = ()
    ) -> None:
        """Add this node's own record and start probing.

        Args:
            own: Record of this node.
            seeds: Addresses that are pinged until another node is known.
        """
        self._set_record(own)
        self._ping_seeds(seeds)
        jitter = self._random.random() * self._timing.probe_period_s
        self._clock.call_later(jitter, self._probe_next)
        self._clock.call_later(
            self._timing.sync_period_s * self._random.random(),
            self._sync_records,
        )

    def _ping_seeds(self, seeds: tuple[peer.PeerAddress, ...]) -> None:
        """Ping a few seeds in each period until another node is known."""
        if self._joined or not seeds:
            return
        count = min(_CONTACTS_MAX, len(seeds))
        for address in self._random.sample(seeds, count):
            self._send_datagram(address, self._make_ping(""))
        self._clock.call_later(
            self._timing.probe_period_s, self._ping_seeds, seeds
        )

    def leave(self) -> None:
        """Tell all nodes that are not dead that this one is leaving."""
        own = self._own_record()
        leaving = dataclasses.replace(own, state=board.NodeState.LEAVING)
        self._set_record(leaving)
        for node_id in self._other_node_ids():
            self._send_ping(node_id)

    def contact_listed_vms(self, records: Iterable[metadata.VmRecord]) -> None:
        """Ping listed VMs that are unknown or dead, and evict old dead nodes.

        The pings also rejoin the two sides of a healed partition. The list
        alone never makes a node live or dead.

        Args:
            records: Entry VMs on the platform's membership list.
        """
        listed_ids = set()
        unknown_vms: list[metadata.VmRecord] = []
        for record in records:
            listed_ids.add(record.id)
            known = self._board.nodes.node_by_id.get(record.id)
            if record.id == self._board.nodes.self_id:
                continue
            if known is not None and known.state != board.NodeState.DEAD:
                continue
            if record.state == metadata.VmState.LEAVING:
                continue
            unknown_vms.append(record)
        count = min(_CONTACTS_MAX, len(unknown_vms))
        for record in self._random.sample(unknown_vms, count):
            address = peer.PeerAddress(host=record.host, port=record.port)
            self._send_datagram(address, self._make_ping(""))
        self._evict_dead(listed_ids)

    def mark_leaf_leaving(self, leaf_id: str) -> None:
        """Mark a leaf as leaving and disseminate the update."""
        if leaf_id in self._board.leaves.leaving_ids:
            return
        self._board.leaves.leaving_ids.add(leaf_id)
        self._updates.add_leaving_leaf(leaf_id)
        self._on_leaf_leaving(leaf_id)

    def handle_message(
        self,
        sender: str,
        message: peer.Message,
        address: peer.PeerAddress | None,
    ) -> None:
        """Handle a message of this protocol.

        Args:
            sender: Id of the sending node.
            message: The message.
            address: Address to answer a datagram at; None for a message on a
                link.
        """
        if isinstance(message, peer.Ping):
            self._apply_updates(message.news, message.leaving_leaves)
            if address is not None:
                self._send_datagram(address, self._make_ack(message.sequence))
        elif isinstance(message, peer.Ack):
            self._apply_updates(message.news, message.leaving_leaves)
            self._handle_ack(message.sequence)
        elif isinstance(message, peer.PingRequest):
            self._apply_updates(message.news, ())
            if address is not None:
                self._relay_probe(message, address)
        elif isinstance(message, peer.NodesPull):
            self._handle_pull(sender, message)
        elif isinstance(message, peer.NodesReply):
            self._handle_reply(sender, message)

    def _own_record(self) -> board.NodeRecord:
        nodes = self._board.nodes
        return nodes.node_by_id[nodes.self_id]

    def _other_node_ids(self) -> list[str]:
        """Return the ids of all nodes except this one and dead ones."""
        nodes = self._board.nodes
        return [
            record.id
            for record in nodes.node_by_id.values()
            if record.state != board.NodeState.DEAD
            and record.id != nodes.self_id
        ]

    def _all_records(self) -> tuple[board.NodeRecord, ...]:
        return tuple(self._board.nodes.node_by_id.values())

    def _make_ping(self, target: str) -> peer.Ping:
        """Make a ping that carries this node's own record.

        The record lets a receiver that does not know this node add it.

        Args:
            target: Node whose ack is awaited, or empty if none is.
        """
        self._sequence += 1
        if target:
            self._target_by_sequence[self._sequence] = target
        count = len(self._board.nodes.node_by_id)
        records = self._updates.take_records(nodes=count)
        own = self._own_record()
        if all(record.id != own.id for record in records):
            records = (own, *records)
        return peer.Ping(
            sequence=self._sequence,
            news=records,
            leaving_leaves=self._updates.take_leaving_leaves(nodes=count),
        )

    def _make_ack(self, sequence: int) -> peer.Ack:
        count = len(self._board.nodes.node_by_id)
        records = self._updates.take_records(nodes=count)
        own = self._own_record()
        if all(record.id != own.id for record in records):
            records = (own, *records)
        return peer.Ack(
            sequence=sequence,
            news=records,
            leaving_leaves=self._updates.take_leaving_leaves(nodes=count),
        )

    def _address_of(self, node_id: str) -> peer.PeerAddress | None:
        record = self._board.nodes.node_by_id.get(node_id)
        if record is None:
            return None
        return peer.PeerAddress(host=record.host, port=record.peer_port)

    def _send_ping(self, node_id: str) -> int:
        address = self._address_of(node_id)
        ping = self._make_ping(node_id)
        if address is not None:
            self._send_datagram(address, ping)
        return ping.sequence

    def _probe_next(self) -> None:
        """Probe the next target and schedule the next probe."""
        self._clock.call_later(self._timing.probe_period_s, self._probe_next)
        target = self._next_target()
        if target is None:
            return
        sequence = self._send_ping(target)
        self._clock.call_later(
            self._timing.direct_timeout_s,
            self._request_indirect_probes,
            sequence,
            target,
        )
        self._clock.call_later(
            self._timing.probe_period_s * 0.95,
            self._suspect_unanswered,
            sequence,
            target,
        )

    def _next_target(self) -> str | None:
        """Return the next node of a shuffled round, or None if there is none.

        A node of another region is skipped nine times in ten to limit traffic
        between regions; nodes of its own region probe it.
        """
        for _ in range(2 * len(self._board.nodes.node_by_id) + 1):
            if not self._probe_order:
                self._probe_order = self._other_node_ids()
                self._random.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            target = self._probe_order.pop()
            record = self._board.nodes.node_by_id.get(target)
            if record is None or record.state == board.NodeState.DEAD:
                continue
            same_region = record.region == self._own_record().region
            if (
                same_region
                or self._random.random() < _REMOTE_REGION_PROBE_SHARE
            ):
                return target
        return None

    def _request_indirect_probes(self, sequence: int, target: str) -> None:
        """Ask other nodes to ping a target that has not sent an ack."""
        if sequence not in self._target_by_sequence:
            return
        relay_ids = [node for node in self._other_node_ids() if node != target]
        count = min(_INDIRECT_PROBES, len(relay_ids))
        for relay_id in self._random.sample(relay_ids, count):
            address = self._address_of(relay_id)
            if address is None:
                continue
            request = peer.PingRequest(sequence=sequence, target=target)
            self._send_datagram(address, request)

    def _relay_probe(
        self, request: peer.PingRequest, address: peer.PeerAddress
    ) -> None:
        """Ping a target on behalf of another node."""
        sequence = self._send_ping(request.target)
        self._target_by_sequence.pop(sequence, None)
        self._relay_by_sequence[sequence] = (request.sequence, address)
        self._clock.call_later(
            self._timing.probe_period_s,
            self._relay_by_sequence.pop,
            sequence,
            None,
        )

    def _handle_ack(self, sequence: int) -> None:
        self._target_by_sequence.pop(sequence, None)
        relay = self._relay_by_sequence.pop(sequence, None)
        if relay is not None:
            origin_sequence, address = relay
            self._send_datagram(address, self._make_ack(origin_sequence))

    def _suspect_unanswered(self, sequence: int, target: str) -> None:
        """Suspect a target that sent no ack, directly or through other nodes.

        A leaving target is declared dead at once.
        """
        if self._target_by_sequence.pop(sequence, None) is None:
            return
        record = self._board.nodes.node_by_id.get(target)
        if record is None or record.state >= board.NodeState.DEAD:
            return
        if record.state == board.NodeState.LEAVING:
            # A leaving node is expected to stop, so it needs no suspicion.
            self._declare_dead(record)
            return
        suspect = dataclasses.replace(record, state=board.NodeState.SUSPECT)
        self._apply_updates((suspect,), ())

    def _apply_updates(
        self,
        records: Iterable[board.NodeRecord],
        leaving_leaves: Iterable[str],
        *,
        disseminate: bool = True,
    ) -> None:
        """Apply the updates that supersede what is known.

        Args:
            records: Node records from a peer.
            leaving_leaves: Ids of leaves that are leaving.
            disseminate: Whether to queue changed records for dissemination;
                records from a sync are already known to other nodes.
        """
        nodes = self._board.nodes
        for record in records:
            if record.id == nodes.self_id:
                self._refute(record)
                continue
            known = nodes.node_by_id.get(record.id)
            if known is None and record.state == board.NodeState.DEAD:
                continue
            if known is None or record.supersedes(known):
                self._set_record(record, disseminate=disseminate)
                self._pull_all_records(record)
            elif known.supersedes(record):
                # The outdated record may come from the node itself, which must
                # learn the newer state to refute it.
                self._updates.add(known)
        for leaf_id in leaving_leaves:
            self.mark_leaf_leaving(leaf_id)

    def _pull_all_records(self, record: board.NodeRecord) -> None:
        """Request all records from the first node that becomes known."""
        if self._joined:
            return
        self._joined = True
        self._send(record.id, peer.NodesPull(id=""))

    def _refute(self, record: board.NodeRecord) -> None:
        """Refute a wrong record of this node with a higher incarnation."""
        own = self._own_record()
        contradicts_own = (
            record.state > own.state or record.incarnation > own.incarnation
        )
        if record.incarnation < own.incarnation or not contradicts_own:
            return
        self._set_record(
            dataclasses.replace(own, incarnation=record.incarnation + 1)
        )

    def _set_record(
        self, record: board.NodeRecord, *, disseminate: bool = True
    ) -> None:
        """Set a node's record on the blackboard.

        Args:
            record: The new record.
            disseminate: Whether to queue the record for dissemination.
        """
        nodes = self._board.nodes
        previous = nodes.node_by_id.get(record.id)
        nodes.node_by_id[record.id] = record
        if disseminate:
            self._updates.add(record)
        timer = self._suspicion_timer_by_id.pop(record.id, None)
        if timer is not None:
            timer.cancel()
        if record.state == board.NodeState.SUSPECT:
            self._suspicion_timer_by_id[record.id] = self._clock.call_later(
                self._suspicion_timeout_s(), self._on_suspicion_timeout, record
            )
        if record.state == board.NodeState.DEAD:
            self._dead_at_by_id[record.id] = self._clock.monotonic()
        if previous is None or previous.state != record.state:
            self._log_change(record)
        generation = nodes.generation
        nodes.refresh()
        if nodes.generation != generation:
            self._on_change()

    def _suspicion_timeout_s(self) -> float:
        count = len(self._board.nodes.node_by_id)
        periods = self._timing.suspicion_factor * max(
            1.0, math.log10(count + 1)
        )
        return periods * self._timing.probe_period_s

    def _on_suspicion_timeout(self, record: board.NodeRecord) -> None:
        if self._board.nodes.node_by_id.get(record.id) == record:
            self._declare_dead(record)

    def _declare_dead(self, record: board.NodeRecord) -> None:
        self._set_record(
            dataclasses.replace(record, state=board.NodeState.DEAD)
        )

    def _evict_dead(self, listed_ids: set[str]) -> None:
        """Remove nodes that are long dead and not on the platform's list."""
        now = self._clock.monotonic()
        for node_id, dead_at in list(self._dead_at_by_id.items()):
            record = self._board.nodes.node_by_id.get(node_id)
            if record is None or record.state != board.NodeState.DEAD:
                del self._dead_at_by_id[node_id]
                continue
            if now - dead_at > _DEAD_RETENTION_S and node_id not in listed_ids:
                del self._dead_at_by_id[node_id]
                del self._board.nodes.node_by_id[node_id]

    def _sync_records(self) -> None:
        """Exchange the records that differ with a random node."""
        self._clock.call_later(self._timing.sync_period_s, self._sync_records)
        others = self._other_node_ids()
        if not others:
            return
        own = digest.bucket_digests(self._all_records())
        pull = peer.NodesPull(id="", digests=own)
        self._send(self._random.choice(others), pull)

    def _handle_pull(self, sender: str, pull: peer.NodesPull) -> None:
        """Send the records of the buckets whose digests differ."""
        records = self._all_records()
        own = digest.bucket_digests(records)
        differing_records = digest.records_in_differing_buckets(
            records, own, pull.digests
        )
        if differing_records:
            self._send(
                sender, peer.NodesReply(id=pull.id, nodes=differing_records)
            )

    def _handle_reply(self, sender: str, reply: peer.NodesReply) -> None:
        """Apply a peer's records and send back those that are newer here."""
        known = self._board.nodes.node_by_id
        newer = tuple(
            known[record.id]
            for record in reply.nodes
            if record.id in known and known[record.id].supersedes(record)
        )
        self._apply_updates(reply.nodes, (), disseminate=False)
        if newer:
            self._send(sender, peer.NodesReply(id=reply.id, nodes=newer))

    def _log_change(self, record: board.NodeRecord) -> None:
        event = _EVENT_BY_STATE[record.state]
        self._log.emit(event, node=record.id, incarnation=record.incarnation)


_EVENT_BY_STATE = {
    board.NodeState.ALIVE: base.Event.NODE_JOINED,
    board.NodeState.SUSPECT: base.Event.NODE_SUSPECTED,
    board.NodeState.LEAVING: base.Event.NODE_LEAVING,
    board.NodeState.DEAD: base.Event.NODE_DEAD,
}
