"""Leaf calls over HTTP/1.1, with one bounded connection pool per leaf."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints, protocol

from trefoilpier import base, config
from trefoilpier.leaf import api, pool

_ACTIVE_SWEEP_PERIOD_S = 0.025
_FULL_SWEEP_PERIOD_S = 0.25


class HttpLeafTransport(api.LeafTransport):
    """Transport with one connection pool per leaf.

    A periodic sweep closes silent connections.
    """

    __slots__ = (
        "_active_pools",
        "_clock",
        "_closing_pools",
        "_report_listener",
        "_log",
        "_pool_by_leaf",
        "_rng",
        "_reactor",
        "_sweeping",
        "_last_full_sweep_at",
    )

    def __init__(
        self,
        *,
        reactor: Any,
        clock: base.Clock,
        rng: random.Random,
        log: base.EventLog,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._log = log
        self._pool_by_leaf: dict[str, pool.ConnectionPool] = {}
        self._report_listener: Callable[[str, api.LeafReport | None], None] = (
            lambda leaf_id, report: None
        )
        self._active_pools: set[pool.ConnectionPool] = set()
        self._last_full_sweep_at = 0.0
        self._closing_pools: list[pool.ConnectionPool] = []
        self._sweeping = False

    def set_listener(
        self, on_report: Callable[[str, api.LeafReport | None], None]
    ) -> None:
        """Set the receiver of leaf reports."""
        self._report_listener = on_report

    def open_pool(self, leaf: config.Leaf, *, max_connections: int) -> None:
        """Open a connection pool to a leaf, or change its maximum size.

        A pool to an earlier address of the leaf is closed.
        """
        leaf_pool = self._pool_by_leaf.get(leaf.id)
        if leaf_pool is not None and leaf_pool.address == (
            leaf.host,
            leaf.port,
        ):
            leaf_pool.set_max_connections(max_connections)
            return
        if leaf_pool is not None:
            self._retire_pool(leaf_pool)
        self._pool_by_leaf[leaf.id] = pool.ConnectionPool(
            leaf=leaf,
            max_connections=max_connections,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
            connect=self._connect,
            on_report=lambda report: self._report_listener(leaf.id, report),
        )
        if not self._sweeping:
            self._sweeping = True
            self._clock.call_later(_ACTIVE_SWEEP_PERIOD_S, self._sweep)

    def close_pool(self, leaf_id: str) -> None:
        """Close the pool of a leaf."""
        leaf_pool = self._pool_by_leaf.pop(leaf_id, None)
        if leaf_pool is not None:
            self._retire_pool(leaf_pool)

    def probe(self, leaf_id: str) -> None:
        """Request a report from a leaf over a connection of its pool."""
        leaf_pool = self._pool_by_leaf.get(leaf_id)
        if leaf_pool is not None:
            leaf_pool.probe()

    def call(self, leaf_id: str, call: api.LeafCall) -> None:
        """Send a call, or fail it as not sent if the leaf has no pool."""
        leaf_pool = self._pool_by_leaf.get(leaf_id)
        if leaf_pool is None:
            reply = api.LeafReply(status=api.CallStatus.NOT_SENT)
            self._clock.call_later(0, call.on_reply, reply)
            return
        self._active_pools.add(leaf_pool)
        leaf_pool.call(call)

    def cancel(self, leaf_id: str, call_id: str) -> None:
        """Cancel a call."""
        leaf_pool = self._pool_by_leaf.get(leaf_id)
        if leaf_pool is not None:
            leaf_pool.cancel(call_id)

    def connections(self, leaf_id: str) -> int:
        """Return the number of connections that are open or being opened."""
        leaf_pool = self._pool_by_leaf.get(leaf_id)
        return leaf_pool.connection_count if leaf_pool is not None else 0

    def _retire_pool(self, leaf_pool: pool.ConnectionPool) -> None:
        """Close a pool; it is swept until its last connection has closed."""
        leaf_pool.close()
        self._closing_pools.append(leaf_pool)

    def _connect(self, leaf: config.Leaf, factory: protocol.Factory) -> Any:
        endpoint_class = endpoints.TCP4ClientEndpoint
        if ":" in leaf.host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        endpoint = endpoint_class(
            self._reactor, leaf.host, leaf.port, timeout=1.0
        )
        return endpoint.connect(factory)

    def _sweep(self) -> None:
        """Sweep the pools with calls each time, and all pools less often."""
        now = self._clock.monotonic()
        for leaf_pool in list(self._active_pools):
            leaf_pool.sweep(now)
            if leaf_pool.has_no_calls:
                self._active_pools.discard(leaf_pool)
        if now - self._last_full_sweep_at >= _FULL_SWEEP_PERIOD_S:
            self._last_full_sweep_at = now
            for leaf_pool in [
                *self._pool_by_leaf.values(),
                *self._closing_pools,
            ]:
                leaf_pool.sweep(now)
            self._closing_pools = [
                closing
                for closing in self._closing_pools
                if closing.connection_count
            ]
        self._clock.call_later(_ACTIVE_SWEEP_PERIOD_S, self._sweep)
