"""Stand-ins without sockets, for a virtual clock.

They connect real `node.Node` objects to leaf models, to each other and to a
platform model. Messages between nodes are encoded and decoded as on the wire.
"""

import collections
import random
from collections.abc import Callable
from typing import Any

import expression
import orjson
from twisted.internet import defer

from standins import leaf_model, platform_model
from trefoilpier import base, config, leaf, peer, platform
from trefoilpier.leaf import codec

_ZONE_DELAY_S = 0.0015
_LOCAL_DELAY_S = 0.0002
_STORE_DELAY_S = 0.002
_STORE_TIMEOUT_S = 3.0
_WORST_CONNECT_S = 1.0
_FRAME_OVERHEAD_BYTES = 20
_DATAGRAM_OVERHEAD_BYTES = 16


class LeafHost:
    """One leaf model with its connections and its place.

    Attributes:
        model: The leaf's behaviour.
        zone: Its availability zone.
        dead: Whether the process is gone: connections fail at once.
        silent: Whether it answers nothing at all, as when frozen.
        open: Connections that are open now.
        peak: The most that were ever open.
        refused: Connections that were refused at the limit.
        calls: Calls that reached it.
    """

    __slots__ = (
        "calls",
        "connect_s",
        "dead",
        "model",
        "open",
        "peak",
        "refused",
        "silent",
        "zone",
    )

    def __init__(
        self, *, model: leaf_model.LeafModel, zone: str, connect_s: float
    ) -> None:
        self.model = model
        self.zone = zone
        self.connect_s = connect_s
        self.dead = False
        self.silent = False
        self.open = 0
        self.peak = 0
        self.refused = 0
        self.calls = 0


class _Pool:
    """One node's connections to one leaf."""

    __slots__ = (
        "busy",
        "closed",
        "host",
        "idle",
        "opening",
        "share",
        "waiting",
    )

    def __init__(self, *, host: LeafHost, share: int) -> None:
        self.host = host
        self.share = share
        self.idle = 0
        self.busy = 0
        self.opening = 0
        self.closed = False
        self.waiting: collections.deque[leaf.LeafCall] = collections.deque()

    @property
    def count(self) -> int:
        """Connections open or being opened."""
        return self.idle + self.busy + self.opening


class MemoryLeafTransport(leaf.LeafTransport):
    """Calls leaf models after the delays of zones and connections."""

    __slots__ = (
        "_clock",
        "_host_by_leaf",
        "_listener",
        "_pool_by_leaf",
        "_zone",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        host_by_leaf: dict[str, LeafHost],
        zone: str,
    ) -> None:
        self._clock = clock
        self._host_by_leaf = host_by_leaf
        self._zone = zone
        self._pool_by_leaf: dict[str, _Pool] = {}
        self._listener: Callable[[str, leaf.LeafReport | None], None] = (
            lambda leaf_id, report: None
        )

    def set_listener(
        self, on_report: Callable[[str, leaf.LeafReport | None], None]
    ) -> None:
        """Sets who hears reports."""
        self._listener = on_report

    def hold(self, leaf: config.Leaf, *, share: int) -> None:
        """Begins to hold connections to a leaf."""
        pool = self._pool_by_leaf.get(leaf.id)
        if pool is not None:
            pool.share = share
            return
        pool = _Pool(host=self._host_by_leaf[leaf.id], share=share)
        self._pool_by_leaf[leaf.id] = pool
        self._grow(leaf.id, pool)

    def release(self, leaf_id: str) -> None:
        """Closes idle connections; busy ones close as their calls end."""
        pool = self._pool_by_leaf.pop(leaf_id, None)
        if pool is None:
            return
        pool.closed = True
        pool.host.open -= pool.idle
        pool.idle = 0
        while pool.waiting:
            self._end(pool.waiting.popleft(), leaf.CallStatus.NOT_SENT)

    def connections(self, leaf_id: str) -> int:
        """Returns how many connections are open or being opened."""
        pool = self._pool_by_leaf.get(leaf_id)
        return pool.count if pool is not None else 0

    def probe(self, leaf_id: str) -> None:
        """Asks a leaf for a report."""
        pool = self._pool_by_leaf.get(leaf_id)
        if pool is None:
            return
        host = pool.host
        if host.dead:
            self._later(host, 1, self._listener, leaf_id, None)
            return
        if host.silent:
            self._clock.call_later(0.5, self._listener, leaf_id, None)
            return
        self._grow(leaf_id, pool)
        self._later(host, 2, self._report, leaf_id, host)

    def call(self, leaf_id: str, call: leaf.LeafCall) -> None:
        """Sends a call over an idle connection, or waits for one."""
        pool = self._pool_by_leaf.get(leaf_id)
        if pool is None or pool.host.dead:
            self._end(call, leaf.CallStatus.NOT_SENT)
            if pool is not None:
                self._later(pool.host, 1, self._listener, leaf_id, None)
            return
        pool.waiting.append(call)
        self._pump(leaf_id, pool)

    def cancel(self, leaf_id: str, call_id: str) -> None:
        """Withdraws a call."""
        pool = self._pool_by_leaf.get(leaf_id)
        if pool is None:
            return
        for call in pool.waiting:
            if call.id == call_id:
                pool.waiting.remove(call)
                self._end(call, leaf.CallStatus.NOT_SENT)
                return
        if not pool.host.silent and not pool.host.dead:
            self._later(pool.host, 1, pool.host.model.cancel, call_id)

    def _pump(self, leaf_id: str, pool: _Pool) -> None:
        while pool.waiting and pool.idle:
            call = pool.waiting.popleft()
            if call.deadline <= self._clock.monotonic():
                self._end(call, leaf.CallStatus.NOT_SENT)
                continue
            pool.idle -= 1
            pool.busy += 1
            self._send(leaf_id, pool, call)
        self._grow(leaf_id, pool)

    def _grow(self, leaf_id: str, pool: _Pool) -> None:
        """Opens connections so that one more than the busy ones is there."""
        wanted = min(pool.share, pool.busy + len(pool.waiting) + 1)
        while not pool.closed and pool.count < wanted:
            pool.opening += 1
            delay = pool.host.connect_s + 2 * self._delay(pool.host)
            self._clock.call_later(delay, self._opened, leaf_id, pool)

    def _opened(self, leaf_id: str, pool: _Pool) -> None:
        pool.opening -= 1
        host = pool.host
        if host.dead or pool.closed:
            return
        if host.open >= host.model.setup.connections:
            host.refused += 1
            self._clock.call_later(_WORST_CONNECT_S, self._grow, leaf_id, pool)
            return
        host.open += 1
        host.peak = max(host.peak, host.open)
        pool.idle += 1
        self._report(leaf_id, host)
        self._pump(leaf_id, pool)

    def _send(self, leaf_id: str, pool: _Pool, call: leaf.LeafCall) -> None:
        """Carries the call to the model and its answer back."""
        host = pool.host
        host.calls += 1
        remaining_ms = max(
            1, int((call.deadline - self._clock.monotonic()) * 1000)
        )
        body = codec.encode_call(call.head, call.id, call.shard, remaining_ms)
        done = False

        def finish(reply: leaf.LeafReply, report: Any) -> None:
            nonlocal done
            if done:
                return
            done = True
            silence.cancel()
            pool.busy -= 1
            if pool.closed or reply.status in _BROKEN:
                host.open -= 1
            else:
                pool.idle += 1
            if report is not None:
                self._listener(leaf_id, report)
            call.on_reply(reply)
            self._pump(leaf_id, pool)

        def answer(row: dict[str, Any]) -> None:
            if host.silent:
                return
            if host.dead:
                lost = leaf.LeafReply(status=leaf.CallStatus.LOST)
                self._later(host, 1, finish, lost, None)
                return
            _, reply, report = codec.decode_reply(orjson.dumps(row))
            self._later(host, 1, finish, reply, report)

        def arrive() -> None:
            if host.dead:
                lost = leaf.LeafReply(status=leaf.CallStatus.LOST)
                self._later(host, 1, finish, lost, None)
            elif not host.silent:
                host.model.call(orjson.loads(body), answer)

        bound = call.deadline - self._clock.monotonic() + 0.25
        silence = self._clock.call_later(
            bound,
            finish,
            leaf.LeafReply(status=leaf.CallStatus.SILENT),
            None,
        )
        self._later(host, 1, arrive)

    def _report(self, leaf_id: str, host: LeafHost) -> None:
        if host.dead or leaf_id not in self._pool_by_leaf:
            return
        report = codec.decode_report(orjson.dumps(host.model.report()))
        self._listener(leaf_id, report)

    def _end(self, call: leaf.LeafCall, status: leaf.CallStatus) -> None:
        reply = leaf.LeafReply(status=status)
        self._clock.call_later(0, call.on_reply, reply)

    def _delay(self, host: LeafHost) -> float:
        return _LOCAL_DELAY_S if host.zone == self._zone else _ZONE_DELAY_S

    def _later(
        self, host: LeafHost, trips: int, callback: Callable, *args: Any
    ) -> None:
        self._clock.call_later(trips * self._delay(host), callback, *args)


_BROKEN = frozenset({leaf.CallStatus.LOST, leaf.CallStatus.SILENT})


class MemoryNetwork:
    """Carries messages between nodes with delay, loss and cuts.

    Attributes:
        loss: Share of datagrams that are lost.
        cut: Pairs of node groups that cannot reach each other, by a test.
        bytes_by_node: Bytes that each node has sent.
        messages_by_node: Messages that each node has sent.
    """

    __slots__ = (
        "_clock",
        "_endpoint_by_address",
        "_endpoint_by_id",
        "_random",
        "bytes_by_node",
        "is_cut",
        "loss",
        "messages_by_node",
    )

    def __init__(self, *, clock: base.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._endpoint_by_address: dict[tuple[str, int], MemoryPeer] = {}
        self._endpoint_by_id: dict[str, MemoryPeer] = {}
        self.loss = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.bytes_by_node: dict[str, int] = collections.defaultdict(int)
        self.messages_by_node: dict[str, int] = collections.defaultdict(int)

    def join(
        self, node_id: str, address: peer.PeerAddress, zone: str
    ) -> "MemoryPeer":
        """Adds a node; one of the same id is replaced."""
        made = MemoryPeer(network=self, node_id=node_id, zone=zone)
        self._endpoint_by_address[(address.host, address.port)] = made
        self._endpoint_by_id[node_id] = made
        return made

    def address_of(self, node_id: str) -> peer.PeerAddress | None:
        """Returns the address of a node that runs, or None."""
        endpoint = self._endpoint_by_id.get(node_id)
        return endpoint.address if endpoint is not None else None

    def remove(self, node_id: str) -> None:
        """Removes a node, as when its process is killed."""
        gone = self._endpoint_by_id.pop(node_id)
        for address, endpoint in list(self._endpoint_by_address.items()):
            if endpoint is gone:
                del self._endpoint_by_address[address]
        gone.alive = False
        for endpoint in self._endpoint_by_id.values():
            self._clock.call_later(_ZONE_DELAY_S, endpoint.lost, node_id)

    def carry(
        self,
        sender: "MemoryPeer",
        address: peer.PeerAddress,
        envelope: peer.Envelope,
        *,
        reliable: bool,
    ) -> int:
        """Carries one message, encoded, or loses it; returns its bytes."""
        data = peer.encode(envelope)
        overhead = _DATAGRAM_OVERHEAD_BYTES
        if reliable:
            overhead = _FRAME_OVERHEAD_BYTES
        size = len(data) + overhead
        self.bytes_by_node[sender.node_id] += size
        self.messages_by_node[sender.node_id] += 1
        target = self._endpoint_by_address.get((address.host, address.port))
        if target is None or self.is_cut(sender.node_id, target.node_id):
            return size
        if not reliable and self._random.random() < self.loss:
            return size
        delay = _LOCAL_DELAY_S if sender.zone == target.zone else _ZONE_DELAY_S
        origin = None if reliable else sender.address
        self._clock.call_later(delay, target.receive, data, origin)
        return size


class MemoryPeer(peer.PeerNetwork):
    """One node's side of a `MemoryNetwork`.

    Attributes:
        node_id: The node.
        zone: Its availability zone.
        address: Its own address, set by the fleet.
        alive: Whether its process still runs.
    """

    __slots__ = (
        "_network",
        "_on_link_lost",
        "_on_message",
        "address",
        "alive",
        "node_id",
        "zone",
    )

    def __init__(
        self, *, network: MemoryNetwork, node_id: str, zone: str
    ) -> None:
        self._network = network
        self.node_id = node_id
        self.zone = zone
        self.address = peer.PeerAddress(host="", port=0)
        self.alive = True
        self._on_message: Callable[..., None] = lambda envelope, address: None
        self._on_link_lost: Callable[[str], None] = lambda node_id: None

    def set_listener(
        self,
        on_message: Callable[[peer.Envelope, peer.PeerAddress | None], None],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Sets who hears messages and lost links."""
        self._on_message = on_message
        self._on_link_lost = on_link_lost

    def has_link(self, node_id: str) -> bool:
        """Tells whether a node runs; links come and go at no cost here."""
        return self._network.address_of(node_id) is not None

    def send(
        self,
        node_id: str,
        address: peer.PeerAddress | None,
        envelope: peer.Envelope,
    ) -> int:
        """Sends over a link; returns the bytes."""
        if address is None:
            address = self._network.address_of(node_id)
        if not self.alive or address is None:
            return 0
        return self._network.carry(self, address, envelope, reliable=True)

    def send_datagram(
        self, address: peer.PeerAddress, envelope: peer.Envelope
    ) -> int:
        """Sends a datagram; returns its bytes."""
        if not self.alive:
            return 0
        return self._network.carry(self, address, envelope, reliable=False)

    def receive(self, data: bytes, origin: peer.PeerAddress | None) -> None:
        """Takes in a message."""
        if self.alive:
            self._on_message(peer.decode(data), origin)

    def lost(self, node_id: str) -> None:
        """Takes in the loss of a link."""
        if self.alive:
            self._on_link_lost(node_id)


class MemoryStore(platform.Store):
    """A `platform_model.PlatformModel` after the delay of the network."""

    __slots__ = ("_clock", "_model")

    def __init__(
        self, *, clock: base.Clock, model: platform_model.PlatformModel
    ) -> None:
        self._clock = clock
        self._model = model

    def _later(self, value: Any, delay: float = 0.0) -> defer.Deferred:
        waiting: defer.Deferred = defer.Deferred()
        total = delay + _STORE_DELAY_S + self._model.faults.slow_s
        self._clock.call_later(total, waiting.callback, value)
        return waiting

    def _down(self) -> defer.Deferred | None:
        """Returns the failure of an outage, or None."""
        if not self._model.faults.down:
            return None
        return self._later(_error(base.ResultCode.STORE_UNAVAILABLE))

    def _lost(self) -> defer.Deferred:
        failure = _error(base.ResultCode.STORE_ANSWER_LOST)
        return self._later(failure, _STORE_TIMEOUT_S)

    def get(self, key: str) -> defer.Deferred:
        """Reads a key."""
        down = self._down()
        if down is not None:
            return down
        return self._later(expression.Ok(_entry(key, self._model.get(key))))

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> defer.Deferred:
        """Writes a key, or loses the write or its answer.

        The write takes effect on its way, not when it is sent.
        """
        down = self._down()
        if down is not None:
            return down
        faults = self._model.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            return self._lost()
        lost = faults.lose_answers > 0
        if lost:
            faults.lose_answers -= 1
        waiting: defer.Deferred = defer.Deferred()

        def write() -> None:
            stored = self._model.put(key, value.decode(), expect, lease)
            result = _error(base.ResultCode.STORE_CONFLICT)
            delay = _STORE_DELAY_S / 2
            if lost:
                result = _error(base.ResultCode.STORE_ANSWER_LOST)
                delay = _STORE_TIMEOUT_S
            elif stored is not None:
                result = expression.Ok(_entry(key, stored))
            self._clock.call_later(delay, waiting.callback, result)

        arrival = _STORE_DELAY_S / 2 + faults.slow_s
        self._clock.call_later(arrival, write)
        return waiting

    def watch(self, key: str, *, after: int, wait: float) -> defer.Deferred:
        """Waits for a newer revision."""
        down = self._down()
        if down is not None:
            return down
        waiting: defer.Deferred = defer.Deferred()

        def reply(stored: platform_model.StoredValue) -> None:
            result = expression.Ok(_entry(key, stored))
            if self._model.faults.down:
                result = _error(base.ResultCode.STORE_UNAVAILABLE)
            self._clock.call_later(_STORE_DELAY_S, waiting.callback, result)

        self._model.watch(key, after, wait, reply)
        return waiting

    def grant_lease(self, *, ttl: float) -> defer.Deferred:
        """Makes a lease."""
        down = self._down()
        if down is not None:
            return down
        return self._later(expression.Ok(self._model.grant(ttl)))

    def members(self) -> defer.Deferred:
        """Reads the membership list."""
        down = self._down()
        if down is not None:
            return down
        records = [
            platform.VmRecord(
                id=row["id"],
                host=row["host"],
                port=row["port"],
                region=row["region"],
                zone=row["zone"],
                state=platform.VmState(row["state"]),
                role=row["role"],
            )
            for row in self._model.members()
        ]
        return self._later(expression.Ok(records))


def _entry(key: str, stored: platform_model.StoredValue) -> platform.Entry:
    return platform.Entry(
        key=key, value=stored.value.encode(), revision=stored.revision
    )


def _error(code: base.ResultCode) -> Any:
    return expression.Error(base.Failure(code=code))
