"""Probing between entry VMs, after SWIM.

Each period a node probes one other, then asks three more to probe it if no
answer came. A node that nobody reaches is suspected, and dead once the
suspicion was not refuted in time. Changes ride on the probes.

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
from trefoilpier.membership import digest, news

_HELPERS = 3
_MEET_MAX = 5
_FAR_PROBE_SHARE = 0.1
_FORGET_DEAD_S = 600.0


@dataclass(slots=True, kw_only=True, frozen=True)
class MembershipTiming:
    """Periods of the protocol, in seconds.

    Attributes:
        period: One probe each.
        direct: Wait for an answer before others are asked to probe.
        suspicion: Factor on the logarithm of the fleet, in periods.
        sync: One exchange of all records each, with a random node.
    """

    period: float = 1.0
    direct: float = 0.3
    suspicion: float = 2.0
    sync: float = 30.0


class Membership:
    """Keeps the blackboard's nodes in line with what peers report."""

    __slots__ = (
        "_board",
        "_clock",
        "_dead_at_by_id",
        "_joined",
        "_log",
        "_news",
        "_on_change",
        "_on_leaf_leaving",
        "_order",
        "_probe_by_sequence",
        "_random",
        "_relay_by_sequence",
        "_send",
        "_send_datagram",
        "_sequence",
        "_suspicion_by_id",
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
        self._news = news.NewsQueue()
        self._order: list[str] = []
        self._sequence = 0
        self._probe_by_sequence: dict[int, str] = {}
        self._relay_by_sequence: dict[int, tuple[int, peer.PeerAddress]] = {}
        self._suspicion_by_id: dict[str, base.Timer] = {}
        self._dead_at_by_id: dict[str, float] = {}
        self._joined = False

    def start(
        self, own: board.NodeRecord, seeds: tuple[peer.PeerAddress, ...] = ()
    ) -> None:
        """Enters this node's own record and begins to probe.

        Args:
            own: This node.
            seeds: Peers that are pinged until another node is known.
        """
        self._store(own)
        self._knock(seeds)
        jitter = self._random.random() * self._timing.period
        self._clock.call_later(jitter, self._probe_next)
        self._clock.call_later(
            self._timing.sync * self._random.random(), self._sync
        )

    def _knock(self, seeds: tuple[peer.PeerAddress, ...]) -> None:
        """Pings a few seeds each period until one has answered."""
        if self._joined or not seeds:
            return
        count = min(_MEET_MAX, len(seeds))
        for address in self._random.sample(seeds, count):
            self._send_datagram(address, self._make_ping(""))
        self._clock.call_later(self._timing.period, self._knock, seeds)

    def leave(self) -> None:
        """Tells every live node that this one takes no new work."""
        own = self._own()
        leaving = dataclasses.replace(own, state=board.NodeState.LEAVING)
        self._store(leaving)
        for node_id in self._others():
            self._ping(node_id)

    def meet(self, records: Iterable[metadata.VmRecord]) -> None:
        """Takes in the platform's membership list.

        A few VMs that are listed and not known live are probed, which also
        joins the two halves of a healed partition. The list never declares
        anyone live or dead by itself.
        """
        listed = set()
        unknown: list[metadata.VmRecord] = []
        for record in records:
            listed.add(record.id)
            known = self._board.nodes.node_by_id.get(record.id)
            if record.id == self._board.nodes.self_id:
                continue
            if known is not None and known.state != board.NodeState.DEAD:
                continue
            if record.state == metadata.VmState.LEAVING:
                continue
            unknown.append(record)
        count = min(_MEET_MAX, len(unknown))
        for record in self._random.sample(unknown, count):
            address = peer.PeerAddress(host=record.host, port=record.port)
            self._send_datagram(address, self._make_ping(""))
        self._forget(listed)

    def leaf_leaving(self, leaf_id: str) -> None:
        """Spreads the word that a leaf is leaving."""
        if leaf_id in self._board.leaves.leaving_ids:
            return
        self._board.leaves.leaving_ids.add(leaf_id)
        self._news.add_leaf(leaf_id)
        self._on_leaf_leaving(leaf_id)

    def handle(
        self,
        sender: str,
        message: peer.Message,
        address: peer.PeerAddress | None,
    ) -> None:
        """Takes in a message of this protocol."""
        if isinstance(message, peer.Ping):
            self._take_news(message.news, message.leaving_leaves)
            if address is not None:
                self._send_datagram(address, self._make_ack(message.sequence))
        elif isinstance(message, peer.Ack):
            self._take_news(message.news, message.leaving_leaves)
            self._acked(message.sequence)
        elif isinstance(message, peer.PingRequest):
            self._take_news(message.news, ())
            if address is not None:
                self._relay(message, address)
        elif isinstance(message, peer.NodesPull):
            self._answer_pull(sender, message)
        elif isinstance(message, peer.NodesReply):
            self._take_reply(sender, message)

    def _own(self) -> board.NodeRecord:
        nodes = self._board.nodes
        return nodes.node_by_id[nodes.self_id]

    def _others(self) -> list[str]:
        """Returns the nodes that can be probed: not dead, not this one."""
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
        """Makes a ping; its own record goes along so that strangers join."""
        self._sequence += 1
        if target:
            self._probe_by_sequence[self._sequence] = target
        count = len(self._board.nodes.node_by_id)
        records = self._news.take(nodes=count)
        own = self._own()
        if all(record.id != own.id for record in records):
            records = (own, *records)
        return peer.Ping(
            sequence=self._sequence,
            news=records,
            leaving_leaves=self._news.take_leaves(nodes=count),
        )

    def _make_ack(self, sequence: int) -> peer.Ack:
        count = len(self._board.nodes.node_by_id)
        records = self._news.take(nodes=count)
        own = self._own()
        if all(record.id != own.id for record in records):
            records = (own, *records)
        return peer.Ack(
            sequence=sequence,
            news=records,
            leaving_leaves=self._news.take_leaves(nodes=count),
        )

    def _address(self, node_id: str) -> peer.PeerAddress | None:
        record = self._board.nodes.node_by_id.get(node_id)
        if record is None:
            return None
        return peer.PeerAddress(host=record.host, port=record.peer_port)

    def _ping(self, node_id: str) -> int:
        address = self._address(node_id)
        ping = self._make_ping(node_id)
        if address is not None:
            self._send_datagram(address, ping)
        return ping.sequence

    def _probe_next(self) -> None:
        """Probes the next node of a shuffled round."""
        self._clock.call_later(self._timing.period, self._probe_next)
        target = self._next_target()
        if target is None:
            return
        sequence = self._ping(target)
        self._clock.call_later(
            self._timing.direct, self._ask_helpers, sequence, target
        )
        self._clock.call_later(
            self._timing.period * 0.95, self._judge, sequence, target
        )

    def _next_target(self) -> str | None:
        """Takes the next of a shuffled round, near nodes more often.

        A node of another region is passed over nine times in ten, so that
        little traffic crosses regions; its own region probes it.
        """
        for _ in range(2 * len(self._board.nodes.node_by_id) + 1):
            if not self._order:
                self._order = self._others()
                self._random.shuffle(self._order)
            if not self._order:
                return None
            target = self._order.pop()
            record = self._board.nodes.node_by_id.get(target)
            if record is None or record.state == board.NodeState.DEAD:
                continue
            near = record.region == self._own().region
            if near or self._random.random() < _FAR_PROBE_SHARE:
                return target
        return None

    def _ask_helpers(self, sequence: int, target: str) -> None:
        """Asks other nodes to probe a target that has not answered."""
        if sequence not in self._probe_by_sequence:
            return
        helpers = [node for node in self._others() if node != target]
        count = min(_HELPERS, len(helpers))
        for helper in self._random.sample(helpers, count):
            address = self._address(helper)
            if address is None:
                continue
            request = peer.PingRequest(sequence=sequence, target=target)
            self._send_datagram(address, request)

    def _relay(
        self, request: peer.PingRequest, address: peer.PeerAddress
    ) -> None:
        """Probes a target on behalf of another node."""
        sequence = self._ping(request.target)
        self._probe_by_sequence.pop(sequence, None)
        self._relay_by_sequence[sequence] = (request.sequence, address)
        self._clock.call_later(
            self._timing.period, self._relay_by_sequence.pop, sequence, None
        )

    def _acked(self, sequence: int) -> None:
        self._probe_by_sequence.pop(sequence, None)
        relay = self._relay_by_sequence.pop(sequence, None)
        if relay is not None:
            asked, address = relay
            self._send_datagram(address, self._make_ack(asked))

    def _judge(self, sequence: int, target: str) -> None:
        """Suspects a target that nobody reached."""
        if self._probe_by_sequence.pop(sequence, None) is None:
            return
        record = self._board.nodes.node_by_id.get(target)
        if record is None or record.state >= board.NodeState.DEAD:
            return
        if record.state == board.NodeState.LEAVING:
            # A leaving node that is gone was expected to go.
            self._declare_dead(record)
            return
        suspect = dataclasses.replace(record, state=board.NodeState.SUSPECT)
        self._take_news((suspect,), ())

    def _take_news(
        self,
        records: Iterable[board.NodeRecord],
        leaving_leaves: Iterable[str],
        *,
        tell: bool = True,
    ) -> None:
        """Takes in records that are newer than the known ones.

        Args:
            records: Records that a peer has sent.
            leaving_leaves: Leaves that it says are leaving.
            tell: Whether to pass the changes on; those that came by an
                exchange of tables are known elsewhere already.
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
                self._store(record, tell=tell)
                self._join(record)
            elif known.supersedes(record):
                # Its node must hear what is believed of it, to refute it.
                self._news.add(known)
        for leaf_id in leaving_leaves:
            self.leaf_leaving(leaf_id)

    def _join(self, record: board.NodeRecord) -> None:
        """Asks the first node that was met for all records."""
        if self._joined:
            return
        self._joined = True
        self._send(record.id, peer.NodesPull(id=""))

    def _refute(self, record: board.NodeRecord) -> None:
        """Answers a wrong belief about this node with a higher incarnation."""
        own = self._own()
        wrong = record.state > own.state or record.incarnation > own.incarnation
        if record.incarnation < own.incarnation or not wrong:
            return
        self._store(
            dataclasses.replace(own, incarnation=record.incarnation + 1)
        )

    def _store(self, record: board.NodeRecord, *, tell: bool = True) -> None:
        """Writes a record to the blackboard and queues it as news."""
        nodes = self._board.nodes
        before = nodes.node_by_id.get(record.id)
        nodes.node_by_id[record.id] = record
        if tell:
            self._news.add(record)
        timer = self._suspicion_by_id.pop(record.id, None)
        if timer is not None:
            timer.cancel()
        if record.state == board.NodeState.SUSPECT:
            self._suspicion_by_id[record.id] = self._clock.call_later(
                self._suspicion_time(), self._suspicion_over, record
            )
        if record.state == board.NodeState.DEAD:
            self._dead_at_by_id[record.id] = self._clock.monotonic()
        if before is None or before.state != record.state:
            self._log_change(record)
        generation = nodes.generation
        nodes.refresh()
        if nodes.generation != generation:
            self._on_change()

    def _suspicion_time(self) -> float:
        count = len(self._board.nodes.node_by_id)
        periods = self._timing.suspicion * max(1.0, math.log10(count + 1))
        return periods * self._timing.period

    def _suspicion_over(self, record: board.NodeRecord) -> None:
        if self._board.nodes.node_by_id.get(record.id) == record:
            self._declare_dead(record)

    def _declare_dead(self, record: board.NodeRecord) -> None:
        self._store(dataclasses.replace(record, state=board.NodeState.DEAD))

    def _forget(self, listed: set[str]) -> None:
        """Drops nodes that are long dead and not on the list any more."""
        now = self._clock.monotonic()
        for node_id, dead_at in list(self._dead_at_by_id.items()):
            record = self._board.nodes.node_by_id.get(node_id)
            if record is None or record.state != board.NodeState.DEAD:
                del self._dead_at_by_id[node_id]
                continue
            if now - dead_at > _FORGET_DEAD_S and node_id not in listed:
                del self._dead_at_by_id[node_id]
                del self._board.nodes.node_by_id[node_id]

    def _sync(self) -> None:
        """Exchanges the records that differ with a random node."""
        self._clock.call_later(self._timing.sync, self._sync)
        others = self._others()
        if not others:
            return
        own = digest.digests(self._all_records())
        pull = peer.NodesPull(id="", digests=own)
        self._send(self._random.choice(others), pull)

    def _answer_pull(self, sender: str, pull: peer.NodesPull) -> None:
        """Sends the records of the buckets that differ."""
        records = self._all_records()
        own = digest.digests(records)
        found = digest.differing(records, own, pull.digests)
        if found:
            self._send(sender, peer.NodesReply(id=pull.id, nodes=found))

    def _take_reply(self, sender: str, reply: peer.NodesReply) -> None:
        """Takes in records and gives back those that are newer here."""
        known = self._board.nodes.node_by_id
        newer = tuple(
            known[record.id]
            for record in reply.nodes
            if record.id in known and known[record.id].supersedes(record)
        )
        self._take_news(reply.nodes, (), tell=False)
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
