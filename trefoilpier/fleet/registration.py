"""Registration of this VM in the store under a lease."""

import random
from collections.abc import Callable

from twisted.internet import defer

from trefoilpier import base, store
from trefoilpier.fleet import directory

# Long enough to survive a pause of a few seconds, short enough that a dead VM
# disappears from the store soon.
_LEASE_TTL_S = 8.0
_RENEWAL_INTERVAL_S = 2.5  # Allows three renewals within one lease.
_RETRY_PAUSE_MAX_S = 2.0  # Between attempts while the store is unavailable.
# Spreads the writes of all VMs after a restore of the store.
_RESTORE_PAUSE_MAX_S = 0.3


class VmRegistration:
    """Record of this VM in the store, bound to a lease."""

    __slots__ = (
        "_clock",
        "_lease_id",
        "_record",
        "_rng",
        "_stopped",
        "_store",
        "_ttl_s",
        "_wake",
        "_was_listed",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        rng: random.Random,
        store_client: store.KeyValueStore,
        record: directory.VmRecord,
        lease_ttl_min_s: float,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store_client
        self._record = record
        self._ttl_s = max(_LEASE_TTL_S, lease_ttl_min_s)
        self._lease_id = ""
        self._stopped = False
        self._was_listed = False
        self._wake: Callable[[], None] = lambda: None
        store_client.on_restore(self._handle_restore)

    def start(self) -> None:
        """Register the VM, and register it again whenever the lease expires."""
        defer.ensureDeferred(self._run())

    def stop(self) -> None:
        """Revoke the lease, so that other VMs stop sending requests."""
        self._stopped = True
        if self._lease_id:
            self._store.end_lease(self._lease_id)

    def _handle_restore(self, previous_era: int, era: int) -> None:
        """Register again after a restore of the store.

        The record may be lost, and the lease's id may have been given out to
        another VM.
        """
        self._register_again()

    def handle_listing(self, *, listed: bool) -> None:
        """Register again if the store no longer lists the VM's record.

        A write that was taken for lost and is done seconds later binds the
        record to an earlier lease, with which it ends.

        Args:
            listed: Whether the store lists the record, as far as it is known.
        """
        was_listed, self._was_listed = self._was_listed, listed
        if was_listed and not listed and not self._stopped:
            self._register_again()

    def _register_again(self) -> None:
        self._lease_id = ""
        self._wake()

    async def _run(self) -> None:
        pause_s = 0.1
        while not self._stopped:
            registered = await self._register()
            if registered:
                pause_s = 0.1
                await self._renew_lease()
                await self._sleep(_RESTORE_PAUSE_MAX_S * self._rng.random())
                continue
            await self._sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(_RETRY_PAUSE_MAX_S, 2 * pause_s)

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(ttl_s=self._ttl_s)
        if granted.is_error() or self._stopped:
            return False
        era = self._store.era
        self._lease_id = granted.ok
        written = await self._store.write(
            directory.VM_KEY_PREFIX + self._record.id,
            self._record.encode(),
            expect=None,
            lease=self._lease_id,
        )
        return written.is_ok() and self._store.era == era

    async def _renew_lease(self) -> None:
        """Renew the lease until it is lost or `stop` is called."""
        while self._lease_id and not self._stopped:
            await self._sleep(_RENEWAL_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            if self._stopped or not self._lease_id:
                return
            renewed = await self._store.keep_lease(self._lease_id)
            if renewed.is_ok() and not renewed.ok:
                return

    def _sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Return a Deferred that fires after some seconds, or on `_wake`."""
        elapsed: defer.Deferred[None] = defer.Deferred()

        def wake() -> None:
            timer.cancel()
            if not elapsed.called:
                elapsed.callback(None)

        timer = self._clock.call_later(seconds, wake)
        self._wake = wake
        return elapsed
