"""Registers this VM in the store for as long as it lives."""

import random

from twisted.internet import defer

from trefoilpier import base, store
from trefoilpier.fleet import directory

_TTL_S = 8.0  # Outlives a pause of some seconds; a dead VM is gone soon after.
_KEEP_S = 2.5  # Three renewals fit into a lease.
_RETRY_MAX_S = 2.0  # Between two attempts while the store is away.


class Presence:
    """Holds a lease with this VM's record under it."""

    __slots__ = (
        "_clock",
        "_lease",
        "_record",
        "_rng",
        "_stopped",
        "_store",
        "_ttl_s",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        rng: random.Random,
        store_client: store.KeyValueStore,
        record: directory.VmRecord,
        lease_least_s: float,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store_client
        self._record = record
        self._ttl_s = max(_TTL_S, lease_least_s)
        self._lease = ""
        self._stopped = False

    def start(self) -> None:
        """Registers, and again whenever the lease has ended."""
        defer.ensureDeferred(self._run())

    def stop(self) -> None:
        """Ends the lease, so that other VMs send nothing more."""
        self._stopped = True
        if self._lease:
            self._store.end_lease(self._lease)

    async def _run(self) -> None:
        pause_s = 0.1
        while not self._stopped:
            registered = await self._register()
            if registered:
                pause_s = 0.1
                await self._keep()
                continue
            await self._sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(_RETRY_MAX_S, 2 * pause_s)

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(ttl_s=self._ttl_s)
        if granted.is_error() or self._stopped:
            return False
        self._lease = granted.ok
        written = await self._store.write(
            directory.KEY_PREFIX + self._record.id,
            self._record.encode(),
            expect=None,
            lease=self._lease,
        )
        return written.is_ok()

    async def _keep(self) -> None:
        """Renews the lease until it has ended."""
        while not self._stopped:
            await self._sleep(_KEEP_S * self._rng.uniform(0.9, 1.1))
            if self._stopped:
                return
            kept = await self._store.keep_lease(self._lease)
            if kept.is_ok() and not kept.ok:
                return

    def _sleep(self, seconds: float) -> "defer.Deferred[None]":
        slept: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(seconds, slept.callback, None)
        return slept
