"""Leaf models behind the leaf interface, without sockets."""

import collections
from collections.abc import Callable
from typing import Any

import orjson

from standins import leaf_model
from trefoilpier import base, config, leaf
from trefoilpier.leaf import codec

_ZONE_DELAY_S = 0.0015
_LOCAL_DELAY_S = 0.0002
_WORST_CONNECT_S = 1.0


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
