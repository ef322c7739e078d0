"""Learns from other VMs what the store does not tell this one."""

import base64
from typing import Any

import orjson
from twisted.internet import defer

from trefoilpier import base, fleet, http1, store
from trefoilpier.tier import store_sync

# Longer than changes are gathered before a watch is placed again.
_STORE_HEAD_START_S = 0.8
_SNAPSHOT_TIMEOUT_S = 1.5  # Some hundred entries arrive within milliseconds.


class PeerSync:
    """Fetches a peer's items when it is ahead or the store is away.

    The store comes first: a VM that follows it takes nothing but newer
    routes, which the peer may have heard of a moment earlier.
    """

    __slots__ = (
        "_clock",
        "_fetching",
        "_log",
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
        self._applied_tag_by_peer: dict[str, str] = {}

    def handle_state(
        self,
        record: fleet.VmRecord,
        state: fleet.GathererState,
        *,
        delayed: bool = False,
    ) -> None:
        """Takes a peer's news.

        Args:
            record: The peer.
            state: What it tells.
            delayed: Whether the store has had its time to tell the same.
        """
        newer = state.version > self._store_sync.version
        if newer and self._store_sync.current and not delayed:
            # The store most likely tells the same within a moment.
            self._clock.call_later(
                _STORE_HEAD_START_S,
                lambda: self.handle_state(record, state, delayed=True),
            )
            return
        needed = newer or (state.current and not self._store_sync.current)
        if not needed or self._fetching:
            return
        tag = state.tag(include_leaves=True)
        if not newer and self._applied_tag_by_peer.get(record.id) == tag:
            return
        defer.ensureDeferred(self._fetch_snapshot(record, tag))

    async def _fetch_snapshot(self, record: fleet.VmRecord, tag: str) -> None:
        self._fetching = True
        asker = http1.Asker(
            reactor=self._reactor,
            clock=self._clock,
            host=record.host,
            port=record.state_port,
        )
        outcome = await asker.ask(
            b"GET", fleet.SNAPSHOT_PATH, timeout_s=_SNAPSHOT_TIMEOUT_S
        )
        self._fetching = False
        asker.close()
        if isinstance(outcome, http1.Lost):
            self._log.emit(
                base.Event.PEER_REJECTED,
                peer=record.id,
                reason=outcome.reason,
            )
            return
        self._applied_tag_by_peer = {record.id: tag}
        self._store_sync.apply_peer_items(decode_items(outcome.response.body))
        self._log.emit(
            base.Event.TAKEN_FROM_PEER,
            peer=record.id,
            version=self._store_sync.version,
            store_current=self._store_sync.current,
        )


def encode_items(items: list[store.Item]) -> bytes:
    """Returns items as JSON.

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
    """Reads items; malformed data holds none."""
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
