"""Exchange of the evidence against requests through the store.

Each VM writes what it has observed under a key of its own, which outlives its
process, and reads the keys of all others. While it cannot write, the VMs that
poll it take its observations over.
"""

import random
from collections.abc import Callable

from twisted.internet import defer

from trefoilpier import base, quarantine, store
from trefoilpier.tier import store_items

KEY_PREFIX = "tier/quarantine/"
# Most requests that were running on a leaf that ended are answered by another
# one within this time, and clear themselves.
_WRITE_DELAY_S = 1.0
_WRITE_PAUSE_S = 0.2  # Between two writes.
_RETRY_PAUSE_MAX_S = 2.0
_SWEEP_PAUSE_S = 60.0


class QuarantineSync(store_items.ItemFollower):
    """Copies the ledger of a VM to the store, and those of others from it.

    Attributes:
        unsent_generation: Counter of changes of what could not be written.
    """

    __slots__ = (
        "_clock",
        "_item_by_key",
        "_key",
        "_ledger",
        "_log",
        "_on_unsent",
        "_rng",
        "_scheduled",
        "_store",
        "_unsent",
        "_writing",
        "_written",
        "unsent_generation",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        rng: random.Random,
        store_client: store.KeyValueStore,
        ledger: quarantine.QuarantineLedger,
        vm_id: str,
        on_unsent: Callable[[], None],
    ) -> None:
        """Create it; nothing is written before the ledger changes.

        Args:
            clock: Source of timers.
            log: Log of events.
            rng: Source of jitter.
            store_client: The store.
            ledger: Ledger of this VM.
            vm_id: Name of this VM.
            on_unsent: Called when `unsent_generation` has changed.
        """
        self._clock = clock
        self._log = log
        self._rng = rng
        self._store = store_client
        self._ledger = ledger
        self._on_unsent = on_unsent
        self._key = KEY_PREFIX + vm_id
        self._item_by_key: dict[str, store.Item] = {}
        self._scheduled: base.Timer | None = None
        self._unsent = False
        self._writing = False
        # What this VM has in the store; empty if nothing or not known.
        self._written = b""
        self.unsent_generation = 0
        ledger.on_own_change(self._handle_own_change)
        self._schedule_sweep()

    def replace_all(
        self, items: list[store.Item], *, from_peer: bool, revision: int | None
    ) -> None:
        """Read all evidence in the store, and write what it lacks."""
        if from_peer:
            for item in items:
                self._merge(item)
            return
        self._item_by_key.clear()
        self._written = b""
        for item in items:
            self.put(item)
        self._handle_own_change()

    def put(self, item: store.Item) -> None:
        """Read the evidence of one VM."""
        known = self._item_by_key.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self._item_by_key[item.key] = item
        if item.key == self._key:
            self._written = item.value or b""
        self._merge(item)

    def remove(self, key: str, revision: int) -> None:
        """Note that a VM's evidence was deleted, since it has expired."""
        known = self._item_by_key.get(key)
        if known is not None and known.revision > revision:
            # This VM has written it again since.
            return
        self._item_by_key.pop(key, None)
        if key == self._key:
            self._written = b""

    def _merge(self, item: store.Item) -> None:
        decoded = quarantine.decode_records(item.value)
        if decoded.is_error():
            self._log.emit(
                base.Event.ENTRY_MALFORMED, key=item.key, problem=decoded.error
            )
            return
        self._ledger.merge(decoded.ok, own=item.key == self._key)

    def unsent_records(self) -> dict[str, quarantine.RequestRecord]:
        """Return what this VM has observed but could not write."""
        return self._ledger.records_to_publish() if self._unsent else {}

    def _handle_own_change(self) -> None:
        """Write the observations of this VM, at once if one bars a request."""
        if self._unsent:
            self._notify_unsent()
        if self._ledger.urgent:
            self._start_writing()
        elif self._scheduled is None:
            self._scheduled = self._clock.call_later(
                _WRITE_DELAY_S, self._start_writing
            )

    def _notify_unsent(self) -> None:
        self.unsent_generation += 1
        self._on_unsent()

    def _start_writing(self) -> None:
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None
        if not self._writing:
            self._writing = True
            defer.ensureDeferred(self._write_all())

    async def _write_all(self) -> None:
        """Write until the store has all observations of this VM."""
        pause_s = _WRITE_PAUSE_S
        while True:
            records = self._ledger.records_to_publish()
            data = quarantine.encode_records(records) if records else b""
            if data == self._written:
                break
            sent = await self._write(data)
            if sent:
                self._ledger.handle_published(records)
                pause_s = _WRITE_PAUSE_S
            else:
                pause_s = min(_RETRY_PAUSE_MAX_S, 2 * pause_s)
            if self._unsent is sent:
                self._unsent = not sent
                self._notify_unsent()
            await self._sleep(pause_s * self._rng.uniform(0.7, 1.3))
        self._writing = False

    async def _write(self, data: bytes) -> bool:
        """Write the observations of this VM; return False on failure.

        The write is conditional, since a lost one may still take effect later.
        """
        known = self._item_by_key.get(self._key)
        expected = known.revision if known is not None else 0
        if data:
            changed = await self._store.write(self._key, data, expect=expected)
        else:
            changed = await self._store.delete(self._key, expect=expected)
        if changed.is_ok():
            self._item_by_key[self._key] = store.Item(
                key=self._key, value=data, revision=changed.ok
            )
            self._written = data
            return True
        if changed.error.code is base.ResultCode.STORE_CONFLICT:
            read = await self._store.read(self._key)
            if read.is_ok():
                self._handle_conflict(read.ok)
        return False

    def _handle_conflict(self, item: store.Item) -> None:
        """Take over what an earlier process or a lost write has left."""
        self._item_by_key.pop(self._key, None)
        self._written = b""
        if item.revision:
            self.put(item)

    def _schedule_sweep(self) -> None:
        self._clock.call_later(
            _SWEEP_PAUSE_S * self._rng.uniform(0.7, 1.3), self._sweep
        )

    def _sweep(self) -> None:
        """Drop evidence that has expired, here and in the store."""
        self._schedule_sweep()
        if self._ledger.drop_expired():
            self._handle_own_change()
        for item in list(self._item_by_key.values()):
            if item.key != self._key and self._has_expired(item):
                self._store.delete(item.key, expect=item.revision)

    def _has_expired(self, item: store.Item) -> bool:
        decoded = quarantine.decode_records(item.value)
        now_ms = self._ledger.now_ms()
        return decoded.is_error() or all(
            quarantine.is_expired(record, now_ms)
            for record in decoded.ok.values()
        )

    def _sleep(self, seconds: float) -> "defer.Deferred[None]":
        elapsed: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(seconds, elapsed.callback, None)
        return elapsed
