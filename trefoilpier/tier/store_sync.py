"""Synchronization of routes, leaves and VM records from the store."""

import random
from collections.abc import Callable

from twisted.internet import defer

from trefoilpier import base, fleet, platform, replicas, routes, store
from trefoilpier.tier import item_decoder, store_items

_WATCH_WAIT_MAX_S = 4.0
# For the read that follows a watch without a response, with several pages, and
# at all VMs at the same time.
_REREAD_S = 1.0
# A watch that the store receives while it discards its history reports no
# changes. That is likely after a failure, so watches are shorter for a while
# after the complete read that follows one.
_SHORT_WATCH_WAIT_S = 1.0
_SHORT_WATCH_PERIOD_S = 5.0
_CHANGE_BATCH_PAUSE_S = 0.5  # Batches changes in quick succession.
_RETRY_PAUSE_MIN_S = 0.1  # First pause after a failed call.
# Well below the time within which changes must be in force.
_RETRY_PAUSE_MAX_S = 1.0
# Before the first routes, when no request can be served.
_RETRY_PAUSE_UNLOADED_MAX_S = 0.25
# After the registry trusts the entries of a restored store again.
_REAPPLY_MARGIN_S = 0.05


def compute_watch_wait_s(contact_s: float) -> float:
    """Return the longest wait of a watch in seconds.

    A store that has been silent answers no watch that it got meanwhile, and
    only the missing response shows it. Wait, response and the read that
    follows must fit into the time after which a VM counts as in touch again:
    from then on it must know each change whose bound has passed.

    Args:
        contact_s: That time, in seconds.

    >>> round(compute_watch_wait_s(4.0), 3)
    2.4
    """
    reserved_s = store.WATCH_ANSWER_S + _REREAD_S
    wait_s = min(_WATCH_WAIT_MAX_S, contact_s - reserved_s)
    return max(_SHORT_WATCH_WAIT_S, wait_s)


class StoreSync:
    """Local copy of the store's items, kept up to date by watches.

    Attributes:
        last_call_failed: Whether the last call to the store failed.
        loaded: Whether all items have been read, from the store or a peer.
        loaded_at: Monotonic time in seconds of the first complete read.
        loaded_from_store: Whether all items have been read from the store.
        position: Up to where this VM has applied the store's changes.
    """

    __slots__ = (
        "_short_watches_until",
        "_clock",
        "_decoder",
        "_directory",
        "_failed_since_load",
        "_follower_by_prefix",
        "_items_by_key",
        "_log",
        "_missed_changes",
        "_outage_reported",
        "_on_confirmed",
        "_on_members",
        "_on_routes",
        "_pause_s",
        "_registry",
        "_revision_era",
        "_rng",
        "_started",
        "_store",
        "_table",
        "_table_value",
        "_watch_wait_s",
        "last_call_failed",
        "loaded",
        "loaded_at",
        "loaded_from_store",
        "position",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        rng: random.Random,
        store_client: store.KeyValueStore,
        registry: replicas.LeafRegistry,
        directory: fleet.VmDirectory,
        on_routes: Callable[[routes.RouteTable], None],
        on_members: Callable[[], None],
        follower_by_prefix: dict[str, store_items.ItemFollower] | None = None,
        on_confirmed: Callable[[float], None] = lambda at: None,
        watch_wait_s: float = _WATCH_WAIT_MAX_S,
    ) -> None:
        """Create the copy; `start` begins to follow the store.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            rng: Source of the jitter of pauses.
            store_client: The store.
            registry: Registry of the leaves.
            directory: Directory of the VMs' records.
            on_routes: Called with each version of the routes that comes into
                force.
            on_members: Called after changes of leaves or VMs.
            follower_by_prefix: Followers of further items, by their prefix.
            on_confirmed: Called with a monotonic time at which the items were
                current.
            watch_wait_s: Longest wait of a watch, in seconds.
        """
        self._on_confirmed = on_confirmed
        self._watch_wait_s = watch_wait_s
        self._follower_by_prefix = follower_by_prefix or {}
        self._directory = directory
        self._on_members = on_members
        self._clock = clock
        self._log = log
        self._rng = rng
        self._store = store_client
        self._registry = registry
        self._on_routes = on_routes
        self._table: routes.RouteTable | None = None
        self._table_value: bytes | None = None
        self._decoder = item_decoder.ItemDecoder(log=log)
        self._started = False
        self._items_by_key: dict[str, store.Item] = {}
        self.position = store_items.StorePosition()
        self._revision_era: int | None = None
        self.last_call_failed = False
        self._outage_reported = False
        self._failed_since_load = False
        self._missed_changes = False  # Whether the last watch did.
        self._short_watches_until = 0.0
        self._pause_s = _RETRY_PAUSE_MIN_S
        self.loaded = False
        self.loaded_at = 0.0
        self.loaded_from_store = False

    def start(self) -> None:
        """Start to follow the store until the process ends.

        Further calls have no effect.
        """
        if not self._started:
            self._started = True
            self._start_following()

    def _start_following(self) -> None:
        defer.ensureDeferred(self._run()).addErrback(self._on_unhandled_error)

    def _on_unhandled_error(self, failure: object) -> None:
        self._log.emit(base.Event.UNHANDLED, problem=str(failure))
        self._clock.call_later(_RETRY_PAUSE_MAX_S, self._start_following)

    async def _run(self) -> None:
        while True:
            revision = await self._load()
            while revision:
                revision = await self._watch_once(revision)

    async def _load(self) -> int:
        """Read all items; return their revision, or 0 on failure."""
        if self._failed_since_load:
            self._short_watches_until = (
                self._clock.monotonic() + _SHORT_WATCH_PERIOD_S
            )
        asked_at = self._clock.monotonic()
        read = await self._store.read_all("")
        if read.is_error():
            self._failed_since_load = True
            await self._on_read_failed(read.error, asked_at)
            return 0
        self._failed_since_load = self._missed_changes = False
        self._on_call_succeeded()
        snapshot = read.ok
        if self.is_later_era_than(snapshot.era):
            # The read was delayed since before a restore that a peer reported.
            await self._sleep(_RETRY_PAUSE_MIN_S)
            return 0
        self._revision_era = snapshot.era
        self._update_era(snapshot.era)
        self._items_by_key = {item.key: item for item in snapshot.items}
        self._apply_items(from_peer=False, revision=snapshot.revision)
        self._publish(snapshot.revision)
        self.loaded_from_store = True
        self._mark_loaded()
        self._on_confirmed(asked_at)
        return snapshot.revision

    def _update_era(self, era: int | None) -> None:
        """Note the era of new items; a higher one follows a restore."""
        previous = self.era
        if era == previous:
            return
        known_revision = self.revision if previous is None else 0
        self.position = store_items.StorePosition(
            era=era, revision=known_revision
        )
        if previous is None:
            return
        self._log.emit(
            base.Event.STORE_RESTORED,
            era_before=previous,
            era=era,
            version=self.version,
        )
        self._registry.handle_store_restore()
        for follower in self._follower_by_prefix.values():
            follower.handle_store_restore()
        delay_s = (
            self._registry.entries_distrusted_until - self._clock.monotonic()
        )
        self._clock.call_later(
            delay_s + _REAPPLY_MARGIN_S, self._reapply_leaves, era
        )

    def _reapply_leaves(self, era: int | None) -> None:
        """Apply the entries that were ignored after a restore."""
        if era != self.era:
            return
        for item in self._items_by_key.values():
            if item.key.startswith(platform.LEAF_PREFIX):
                for entry in self._decoder.decode_leaf(item):
                    self._registry.put(entry)
        self._on_members()

    def _apply_items(self, *, from_peer: bool, revision: int | None) -> None:
        """Apply all items, as a replacement of the previous ones."""
        leaves = []
        vms = []
        for item in self._items_by_key.values():
            if item.key == platform.ROUTES_KEY:
                self._apply_routes(item)
            elif item.key.startswith(platform.LEAF_PREFIX):
                leaves += self._decoder.decode_leaf(item)
            elif item.key.startswith(fleet.VM_KEY_PREFIX):
                vms += self._decoder.decode_vm(item)
        if vms or not from_peer:
            self._directory.replace_all(vms)
        for prefix, follower in self._follower_by_prefix.items():
            follower.replace_all(
                [
                    item
                    for item in self._items_by_key.values()
                    if item.key.startswith(prefix)
                ],
                from_peer=from_peer,
                revision=revision,
            )
        self._registry.replace_all(leaves, from_peer=from_peer)

    def _publish(self, revision: int) -> None:
        """Note that the items are those of a revision, and applied.

        Only this method sets the revision: peers take what a VM does not have
        below its position for ended. A complete read may lower it, since items
        of a peer may have come while the read was on its way.
        """
        self.position = store_items.StorePosition(
            era=self.era, revision=revision
        )
        self._on_members()

    def apply_peer_items(
        self,
        items: list[store.Item],
        *,
        era: int | None = None,
        complete: bool = True,
        revision: int = 0,
    ) -> None:
        """Apply the items of a peer.

        Newer routes are always applied; all other items only while this VM
        cannot follow the store, and not if they are older than its own.

        Args:
            items: The items.
            era: Era in which the peer read them; None if unknown.
            complete: Whether the peer could follow the store.
            revision: Revision up to which all changes are among them.
        """
        if self.current or self._is_later_than(era, revision):
            for item in items:
                if item.key == platform.ROUTES_KEY:
                    self._apply_routes(item)
            return
        if era is not None:
            self._update_era(era)
        self._items_by_key = {item.key: item for item in items}
        self._apply_items(
            from_peer=True, revision=revision if complete else None
        )
        self._publish(revision)
        self._mark_loaded()

    def _is_later_than(self, era: int | None, revision: int) -> bool:
        """Return whether the items are later than those of a position."""
        if self.is_later_era_than(era):
            return True
        same_era = era is None or self.era is None or era == self.era
        return same_era and revision < self.revision

    def is_later_era_than(self, era: int | None) -> bool:
        """Return whether the items are of a later era than the given one."""
        return self.position.is_later_era_than(era)

    @property
    def era(self) -> int | None:
        """Era of the store in which the items were read; None if unknown."""
        return self.position.era

    @property
    def revision(self) -> int:
        """Revision in that era up to which all changes are known."""
        return self.position.revision

    @property
    def current(self) -> bool:
        """Whether all items were read and the last store call succeeded."""
        return self.loaded_from_store and not self.last_call_failed

    @property
    def version(self) -> int:
        """Version of the routes in force; 0 for none."""
        return self._table.version if self._table is not None else 0

    @property
    def items(self) -> list[store.Item]:
        """The store's items as last known."""
        return list(self._items_by_key.values())

    def _mark_loaded(self) -> None:
        if not self.loaded:
            self.loaded = True
            self.loaded_at = self._clock.monotonic()

    async def _watch_once(self, revision: int) -> int:
        """Wait for changes after a revision and apply them.

        Returns:
            The next revision to watch from, or 0 if all items must be read
            again.
        """
        now = self._clock.monotonic()
        wait_s = self._watch_wait_s
        if now < self._short_watches_until:
            wait_s = min(wait_s, _SHORT_WATCH_WAIT_S)
        seen = await self._store.watch(
            "",
            after=revision,
            wait_s=wait_s,
            era=self._revision_era,
        )
        if seen.is_error():
            self.last_call_failed = True
            self._failed_since_load = True
            self._log.emit(
                base.Event.STORE_DOWN, problem=seen.error.detail, call="watch"
            )
            return 0
        self._on_call_succeeded()
        if seen.ok.history_gone:
            self._failed_since_load = True
            return 0
        # The watch covers all keys, so that changes are missing if the store is
        # ahead of the last one. They are asked for again, and if that brings
        # them neither, everything is read.
        applied = max([revision, *(each.revision for each in seen.ok.changes)])
        self._apply_changes(seen.ok.changes, applied)
        if applied < seen.ok.revision:
            self._log.emit(
                base.Event.CHANGES_MISSED,
                applied=applied,
                revision=seen.ok.revision,
            )
            await self._sleep(_RETRY_PAUSE_MIN_S)
            missed_before, self._missed_changes = self._missed_changes, True
            return 0 if missed_before else applied
        self._missed_changes = False
        self._on_confirmed(self._clock.monotonic())
        if seen.ok.changes:
            await self._sleep(_CHANGE_BATCH_PAUSE_S)
        return applied

    def _apply_changes(
        self, changes: list[store.Change], revision: int
    ) -> None:
        removed_leaf_ids = []
        for change in store_items.final_changes(changes, self._items_by_key):
            if change.item is not None:
                self._items_by_key[change.key] = change.item
            else:
                self._items_by_key.pop(change.key, None)
            if change.key == platform.ROUTES_KEY and change.item is not None:
                self._apply_routes(change.item)
            if change.key.startswith(fleet.VM_KEY_PREFIX):
                self._apply_vm_change(change)
            self._notify_follower(change)
            if not change.key.startswith(platform.LEAF_PREFIX):
                continue
            leaf_id = change.key.removeprefix(platform.LEAF_PREFIX)
            if change.item is None:
                removed_leaf_ids.append(leaf_id)
            else:
                entries = self._decoder.decode_leaf(change.item)
                for entry in entries:
                    self._registry.put(entry)
                if not entries:
                    removed_leaf_ids.append(leaf_id)
        self._registry.remove_leaves(removed_leaf_ids)
        self._publish(revision)

    def _apply_routes(self, item: store.Item) -> None:
        # Decoding takes some 15 microseconds an account, and each snapshot of
        # a peer has the routes.
        if self._table is not None and item.value == self._table_value:
            return
        decoded = platform.decode_routes(item.value)
        if decoded.is_error():
            self._log.emit(
                base.Event.CONFIG_REJECTED,
                revision=item.revision,
                problem=decoded.error,
            )
            return
        table = decoded.ok
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        self._table_value = item.value
        self._log.emit(
            base.Event.CONFIG_IN_FORCE,
            version=table.version,
            revision=item.revision,
            routes=len(table.routes),
        )
        self._on_routes(table)

    def _notify_follower(self, change: store.Change) -> None:
        for prefix, follower in self._follower_by_prefix.items():
            if not change.key.startswith(prefix):
                continue
            if change.item is None:
                follower.remove(change.key, change.revision)
            else:
                follower.put(change.item)

    def _apply_vm_change(self, change: store.Change) -> None:
        if change.item is None:
            vm_id = change.key.removeprefix(fleet.VM_KEY_PREFIX)
            self._directory.remove_vm(vm_id)
        else:
            for record in self._decoder.decode_vm(change.item):
                self._directory.put(record)

    def _on_call_succeeded(self) -> None:
        self._pause_s = _RETRY_PAUSE_MIN_S
        if self.last_call_failed:
            self.last_call_failed = False
            self._log.emit(base.Event.STORE_UP, version=self.version)
        if self._outage_reported:
            self._outage_reported = False
            self._registry.handle_store_recovery()

    async def _on_read_failed(
        self, failure: base.Failure, asked_at: float
    ) -> None:
        """Report the outage, and pause between the begins of two reads."""
        self.last_call_failed = True
        if not self._outage_reported:
            self._outage_reported = True
            self._registry.handle_store_loss()
        self._log.emit(
            base.Event.STORE_DOWN, problem=failure.detail, call="read"
        )
        pause_s = self._pause_s * self._rng.uniform(0.7, 1.3)
        pause_max_s = (
            _RETRY_PAUSE_MAX_S if self.loaded else _RETRY_PAUSE_UNLOADED_MAX_S
        )
        self._pause_s = min(pause_max_s, 2 * self._pause_s)
        # A read without a response has taken its time already.
        pause_s += asked_at - self._clock.monotonic()
        if pause_s > 0:
            await self._sleep(pause_s)

    def _sleep(self, seconds: float) -> "defer.Deferred[None]":
        elapsed: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(seconds, elapsed.callback, None)
        return elapsed
