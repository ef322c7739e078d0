"""Synchronization of store items from peers when the store lags or fails."""

import base64
from typing import Any

import orjson
from twisted.internet import defer

from trefoilpier import base, fleet, http1, store
from trefoilpier.tier import store_sync

# How long the store may take to deliver routes that a peer already reports.
# Longer than the pause between two watches.
_STORE_HEAD_START_S = 0.8
# Several hundred items arrive within milliseconds.
_SNAPSHOT_TIMEOUT_S = 1.5


class PeerSync:
    """Fetches of a peer's items, if it has newer routes or the store fails.

    The store takes precedence: while a VM can follow it, only newer routes are
    applied from a peer, which may have received them slightly earlier.
    """

    __slots__ = (
        "_clock",
        "_fetching",
        "_log",
        "_missed",
        "_reactor",
        "_store_sync",
        "_applied_tag_by_peer",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        local_sync: store_sync.StoreSync,
    ) -> None:
        self._clock = clock
        self._log = log
        self._reactor = reactor
        self._store_sync = local_sync
        self._fetching = False
        # A state that arrived while the items of the same peer were fetched,
        # which may lack what it tells.
        self._missed: tuple[fleet.VmRecord, fleet.GathererState] | None = None
        self._applied_tag_by_peer: dict[str, str] = {}

    def handle_state(
        self,
        record: fleet.VmRecord,
        state: fleet.GathererState,
        *,
        delayed: bool = False,
    ) -> None:
        """Fetch the peer's items if its state calls for it.

        Args:
            record: Record of the peer.
            state: State received from the peer.
            delayed: Whether the store has had time to deliver the same routes.
        """
        has_newer_routes = state.version > self._store_sync.version
        if has_newer_routes and self._store_sync.current and not delayed:
            # The store is likely to deliver the same routes soon.
            self._clock.call_later(
                _STORE_HEAD_START_S,
                lambda: self.handle_state(record, state, delayed=True),
            )
            return
        needed = has_newer_routes or (
            state.current
            and not self._store_sync.current
            and not self._store_sync.is_later_era_than(state.era)
        )
        if self._fetching and needed:
            self._missed = (record, state)
        if not needed or self._fetching:
            return
        tag = state.tag(include_leaves=True)
        if (
            not has_newer_routes
            and self._applied_tag_by_peer.get(record.id) == tag
        ):
            return
        defer.ensureDeferred(self._fetch_snapshot(record, state, tag))

    async def _fetch_snapshot(
        self, record: fleet.VmRecord, state: fleet.GathererState, tag: str
    ) -> None:
        self._fetching = True
        self._missed = None
        client = http1.HttpClient(
            reactor=self._reactor,
            clock=self._clock,
            host=record.host,
            port=record.state_port,
        )
        outcome = await client.send_request(
            b"GET",
            fleet.SNAPSHOT_PATH,
            headers=[(b"accept-encoding", fleet.SNAPSHOT_ENCODING)],
            timeout_s=_SNAPSHOT_TIMEOUT_S,
        )
        self._fetching = False
        client.close()
        if isinstance(outcome, http1.RequestFailed):
            self._reject(record, outcome.reason)
            return
        snapshot = fleet.read_snapshot(outcome.response)
        items = decode_items(snapshot.data)
        if not items:
            # Applied, it would remove every leaf.
            self._reject(record, "snapshot is empty or malformed")
            return
        position = snapshot.position or _position_of_state(state, items)
        self._store_sync.apply_peer_items(
            items,
            era=position.era,
            complete=position.current,
            revision=position.revision,
        )
        self._applied_tag_by_peer = {record.id: tag}
        self._log.emit(
            base.Event.TAKEN_FROM_PEER,
            peer=record.id,
            version=self._store_sync.version,
            era=self._store_sync.era,
            store_current=self._store_sync.current,
        )
        if self._missed is not None and self._missed[0].id == record.id:
            self.handle_state(*self._missed)

    def _reject(self, record: fleet.VmRecord, reason: str) -> None:
        self._log.emit(base.Event.PEER_REJECTED, peer=record.id, reason=reason)


def _position_of_state(
    state: fleet.GathererState, items: list[store.Item]
) -> fleet.SnapshotPosition:
    """Return the position of the items of a VM of an earlier release.

    If it follows the store, it has seen at least the newest change among them.
    """
    revision = 0
    if state.current:
        revision = max(
            [state.store_revision, *(item.revision for item in items)]
        )
    return fleet.SnapshotPosition(
        era=state.era, revision=revision, current=state.current
    )


def encode_items(items: list[store.Item]) -> bytes:
    """Encode items as JSON.

    >>> item = store.Item(key="k", value=b"v", revision=3)
    >>> decode_items(encode_items([item])) == [item]
    True
    """
    return orjson.dumps(
        [
            [
                item.key,
                None
                if item.value is None
                else base64.b64encode(item.value).decode(),
                item.revision,
            ]
            for item in items
        ]
    )


def decode_items(data: bytes) -> list[store.Item]:
    """Decode items; return an empty list if the data is malformed."""
    try:
        return [
            store.Item(
                key=key,
                value=None if value is None else base64.b64decode(value),
                revision=int(revision),
            )
            for key, value, revision in orjson.loads(data)
        ]
    except (ValueError, TypeError):
        return []
