"""Leaf calls over HTTP/1.1, a bounded pool of connections for each leaf."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints, protocol

from trefoilpier import base, config
from trefoilpier.leaf import api, pool

_SWEEP_PERIOD_S = 0.025
_SWEEP_ALL_PERIOD_S = 0.25


class HttpLeafTransport(api.LeafTransport):
    """Holds one pool for each leaf and sweeps them for silent connections."""

    __slots__ = (
        "_active",
        "_clock",
        "_closing",
        "_listener",
        "_log",
        "_pool_by_leaf",
        "_random",
        "_reactor",
        "_sweeping",
        "_swept_all_at",
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
        self._random = rng
        self._log = log
        self._pool_by_leaf: dict[str, pool.LeafPool] = {}
        self._listener: Callable[[str, api.LeafReport | None], None] = (
            lambda leaf_id, report: None
        )
        self._active: set[pool.LeafPool] = set()
        self._swept_all_at = 0.0
        self._closing: list[pool.LeafPool] = []
        self._sweeping = False

    def set_listener(
        self, on_report: Callable[[str, api.LeafReport | None], None]
    ) -> None:
        """Sets who hears reports."""
        self._listener = on_report

    def hold(self, leaf: config.Leaf, *, share: int) -> None:
        """Begins to hold connections to a leaf, or changes their number."""
        held = self._pool_by_leaf.get(leaf.id)
        if held is not None and held.address == (leaf.host, leaf.port):
            held.set_share(share)
            return
        if held is not None:
            self._close(held)
        self._pool_by_leaf[leaf.id] = pool.LeafPool(
            leaf=leaf,
            share=share,
            clock=self._clock,
            rng=self._random,
            log=self._log,
            connect=self._connect,
            on_report=lambda report: self._listener(leaf.id, report),
        )
        if not self._sweeping:
            self._sweeping = True
            self._clock.call_later(_SWEEP_PERIOD_S, self._sweep)

    def release(self, leaf_id: str) -> None:
        """Closes the pool of a leaf."""
        held = self._pool_by_leaf.pop(leaf_id, None)
        if held is not None:
            self._close(held)

    def probe(self, leaf_id: str) -> None:
        """Asks a leaf for a report over a connection of its pool."""
        held = self._pool_by_leaf.get(leaf_id)
        if held is not None:
            held.probe()

    def call(self, leaf_id: str, call: api.LeafCall) -> None:
        """Sends a call, or ends it as not sent when the leaf is not held."""
        held = self._pool_by_leaf.get(leaf_id)
        if held is None:
            reply = api.LeafReply(status=api.CallStatus.NOT_SENT)
            self._clock.call_later(0, call.on_reply, reply)
            return
        self._active.add(held)
        held.call(call)

    def cancel(self, leaf_id: str, call_id: str) -> None:
        """Withdraws a call."""
        held = self._pool_by_leaf.get(leaf_id)
        if held is not None:
            held.cancel(call_id)

    def connections(self, leaf_id: str) -> int:
        """Returns how many connections are open or being opened."""
        held = self._pool_by_leaf.get(leaf_id)
        return held.connection_count if held is not None else 0

    def _close(self, held: pool.LeafPool) -> None:
        """Closes a pool; it is swept until its last call has ended."""
        held.close()
        self._closing.append(held)

    def _connect(self, leaf: config.Leaf, factory: protocol.Factory) -> Any:
        endpoint_class = endpoints.TCP4ClientEndpoint
        if ":" in leaf.host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        endpoint = endpoint_class(
            self._reactor, leaf.host, leaf.port, timeout=1.0
        )
        return endpoint.connect(factory)

    def _sweep(self) -> None:
        """Sweeps the pools with calls often, and all of them now and then."""
        now = self._clock.monotonic()
        for held in list(self._active):
            held.sweep(now)
            if held.quiet:
                self._active.discard(held)
        if now - self._swept_all_at >= _SWEEP_ALL_PERIOD_S:
            self._swept_all_at = now
            for held in [*self._pool_by_leaf.values(), *self._closing]:
                held.sweep(now)
            self._closing = [h for h in self._closing if h.connection_count]
        self._clock.call_later(_SWEEP_PERIOD_S, self._sweep)
