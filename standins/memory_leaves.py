"""In-memory leaf transport over leaf models."""

import collections
from collections.abc import Callable
from typing import Any

import orjson

from standins import leaf_model
from trefoilpier import base, config, leaf
from trefoilpier.leaf import codec

_CROSS_ZONE_DELAY_S = 0.0015
_SAME_ZONE_DELAY_S = 0.0002
_RECONNECT_DELAY_S = 1.0


class LeafHost:
    """Host of one leaf model, with its connection counts.

    Attributes:
        model: Behavior of the leaf.
        zone: Availability zone of the leaf.
        connect_s: Seconds to establish a connection, besides the round trip.
        dead: Whether the process has ended; connections fail at once.
        silent: Whether requests get no reply, as from a frozen process.
        open: Number of open connections.
        peak: Highest number of connections open at once.
        refused: Number of connections refused at the leaf's limit.
        calls: Number of calls sent to the leaf.
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


class _ConnectionPool:
    """Connection pool of one node for one leaf."""

    __slots__ = (
        "busy",
        "closed",
        "host",
        "idle",
        "opening",
        "connection_limit",
        "waiting",
    )

    def __init__(self, *, host: LeafHost, connection_limit: int) -> None:
        self.host = host
        self.connection_limit = connection_limit
        self.idle = 0
        self.busy = 0
        self.opening = 0
        self.closed = False
        self.waiting: collections.deque[leaf.LeafCall] = collections.deque()

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self.idle + self.busy + self.opening


class MemoryLeafTransport(leaf.LeafTransport):
    """Leaf transport that simulates network and connection delays."""

    __slots__ = (
        "_clock",
        "_host_by_leaf",
        "_on_report",
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
        self._pool_by_leaf: dict[str, _ConnectionPool] = {}
        self._on_report: Callable[[str, leaf.LeafReport | None], None] = (
            lambda leaf_id, report: None
        )

    def set_listener(
        self, on_report: Callable[[str, leaf.LeafReport | None], None]
    ) -> None:
        """Set the callback that receives leaf reports."""
        self._on_report = on_report

    def open_pool(self, leaf: config.Leaf, *, max_connections: int) -> None:
        """Open up to ``max_connections`` connections to a leaf."""
        pool = self._pool_by_leaf.get(leaf.id)
        if pool is not None:
            pool.connection_limit = max_connections
            return
        pool = _ConnectionPool(
            host=self._host_by_leaf[leaf.id], connection_limit=max_connections
        )
        self._pool_by_leaf[leaf.id] = pool
        self._open_connections(leaf.id, pool)

    def close_pool(self, leaf_id: str) -> None:
        """Close a pool; its busy connections close as their calls end."""
        pool = self._pool_by_leaf.pop(leaf_id, None)
        if pool is None:
            return
        pool.closed = True
        pool.host.open -= pool.idle
        pool.idle = 0
        while pool.waiting:
            self._complete(pool.waiting.popleft(), leaf.CallStatus.NOT_SENT)

    def connections(self, leaf_id: str) -> int:
        """Return the number of connections that are open or being opened."""
        pool = self._pool_by_leaf.get(leaf_id)
        return pool.connection_count if pool is not None else 0

    def probe(self, leaf_id: str) -> None:
        """Request a report from a leaf."""
        pool = self._pool_by_leaf.get(leaf_id)
        if pool is None:
            return
        host = pool.host
        if host.dead:
            self._call_after_trips(host, 1, self._on_report, leaf_id, None)
            return
        if host.silent:
            self._clock.call_later(0.5, self._on_report, leaf_id, None)
            return
        self._open_connections(leaf_id, pool)
        self._call_after_trips(host, 2, self._deliver_report, leaf_id, host)

    def call(self, leaf_id: str, call: leaf.LeafCall) -> None:
        """Send a call over an idle connection, or queue it for one."""
        pool = self._pool_by_leaf.get(leaf_id)
        if pool is None or pool.host.dead:
            self._complete(call, leaf.CallStatus.NOT_SENT)
            if pool is not None:
                self._call_after_trips(
                    pool.host, 1, self._on_report, leaf_id, None
                )
            return
        pool.waiting.append(call)
        self._send_waiting(leaf_id, pool)

    def cancel(self, leaf_id: str, call_id: str) -> None:
        """Cancel a queued or sent call."""
        pool = self._pool_by_leaf.get(leaf_id)
        if pool is None:
            return
        for call in pool.waiting:
            if call.id == call_id:
                pool.waiting.remove(call)
                self._complete(call, leaf.CallStatus.NOT_SENT)
                return
        if not pool.host.silent and not pool.host.dead:
            self._call_after_trips(
                pool.host, 1, pool.host.model.cancel, call_id
            )

    def _send_waiting(self, leaf_id: str, pool: _ConnectionPool) -> None:
        while pool.waiting and pool.idle:
            call = pool.waiting.popleft()
            if call.deadline <= self._clock.monotonic():
                self._complete(call, leaf.CallStatus.NOT_SENT)
                continue
            pool.idle -= 1
            pool.busy += 1
            self._send(leaf_id, pool, call)
        self._open_connections(leaf_id, pool)

    def _open_connections(self, leaf_id: str, pool: _ConnectionPool) -> None:
        """Open connections, to have one more than the calls need."""
        target_count = min(
            pool.connection_limit, pool.busy + len(pool.waiting) + 1
        )
        while not pool.closed and pool.connection_count < target_count:
            pool.opening += 1
            delay = pool.host.connect_s + 2 * self._one_way_delay(pool.host)
            self._clock.call_later(delay, self._on_connected, leaf_id, pool)

    def _on_connected(self, leaf_id: str, pool: _ConnectionPool) -> None:
        pool.opening -= 1
        host = pool.host
        if host.dead or pool.closed:
            return
        if host.open >= host.model.setup.connections:
            host.refused += 1
            self._clock.call_later(
                _RECONNECT_DELAY_S, self._open_connections, leaf_id, pool
            )
            return
        host.open += 1
        host.peak = max(host.peak, host.open)
        pool.idle += 1
        self._deliver_report(leaf_id, host)
        self._send_waiting(leaf_id, pool)

    def _send(
        self, leaf_id: str, pool: _ConnectionPool, call: leaf.LeafCall
    ) -> None:
        """Pass a call to the model and its reply back, after network delays."""
        host = pool.host
        host.calls += 1
        remaining_ms = max(
            1, int((call.deadline - self._clock.monotonic()) * 1000)
        )
        body = codec.encode_call(
            call.body_prefix, call.id, call.shard, remaining_ms
        )
        finished = False

        def finish(reply: leaf.LeafReply, report: Any) -> None:
            nonlocal finished
            if finished:
                return
            finished = True
            silence_timer.cancel()
            pool.busy -= 1
            if pool.closed or reply.status in _CONNECTION_LOST_STATUSES:
                host.open -= 1
            else:
                pool.idle += 1
            if report is not None:
                self._on_report(leaf_id, report)
            call.on_reply(reply)
            self._send_waiting(leaf_id, pool)

        def on_model_reply(row: dict[str, Any]) -> None:
            if host.silent:
                return
            if host.dead:
                lost_reply = leaf.LeafReply(status=leaf.CallStatus.LOST)
                self._call_after_trips(host, 1, finish, lost_reply, None)
                return
            _, reply, report = codec.decode_reply(orjson.dumps(row))
            self._call_after_trips(host, 1, finish, reply, report)

        def on_request_arrival() -> None:
            if host.dead:
                lost_reply = leaf.LeafReply(status=leaf.CallStatus.LOST)
                self._call_after_trips(host, 1, finish, lost_reply, None)
            elif not host.silent:
                host.model.call(orjson.loads(body), on_model_reply)

        reply_timeout_s = call.deadline - self._clock.monotonic() + 0.25
        silence_timer = self._clock.call_later(
            reply_timeout_s,
            finish,
            leaf.LeafReply(status=leaf.CallStatus.SILENT),
            None,
        )
        self._call_after_trips(host, 1, on_request_arrival)

    def _deliver_report(self, leaf_id: str, host: LeafHost) -> None:
        if host.dead or leaf_id not in self._pool_by_leaf:
            return
        report = codec.decode_report(orjson.dumps(host.model.report()))
        self._on_report(leaf_id, report)

    def _complete(self, call: leaf.LeafCall, status: leaf.CallStatus) -> None:
        reply = leaf.LeafReply(status=status)
        self._clock.call_later(0, call.on_reply, reply)

    def _one_way_delay(self, host: LeafHost) -> float:
        return (
            _SAME_ZONE_DELAY_S
            if host.zone == self._zone
            else _CROSS_ZONE_DELAY_S
        )

    def _call_after_trips(
        self, host: LeafHost, trips: int, callback: Callable, *args: Any
    ) -> None:
        self._clock.call_later(
            trips * self._one_way_delay(host), callback, *args
        )


_CONNECTION_LOST_STATUSES = frozenset(
    {leaf.CallStatus.LOST, leaf.CallStatus.SILENT}
)
