"""Learns from other VMs what the store does not tell this one."""

import base64
from typing import Any

import orjson
from twisted.internet import defer

from trefoilpier import base, fleet, http1, store
from trefoilpier.tier import store_sync

# Longer than changes are gathered before a watch is placed again.
_STORE_FIRST_S = 0.8
_ANSWER_TIMEOUT_S = 1.5  # Some hundred entries arrive within milliseconds.


class PeerFeed:
    """Fetches a peer's items when it is ahead or the store is away.

    The store comes first: a VM that follows it takes nothing but newer
    routes, which the peer may have heard of a moment earlier.
    """

    __slots__ = ("_clock", "_fetching", "_log", "_reactor", "_sync", "_taken")

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        sync: store_sync.StoreSync,
    ) -> None:
        self._clock = clock
        self._log = log
        self._reactor = reactor
        self._sync = sync
        self._fetching = False
        self._taken: dict[str, str] = {}

    def take_state(
        self,
        record: fleet.VmRecord,
        state: fleet.FleetState,
        *,
        late: bool = False,
    ) -> None:
        """Takes a peer's news.

        Args:
            record: The peer.
            state: What it tells.
            late: Whether the store has had its time to tell the same.
        """
        newer = state.version > self._sync.version
        if newer and self._sync.current and not late:
            # The store most likely tells the same within a moment.
            self._clock.call_later(
                _STORE_FIRST_S,
                lambda: self.take_state(record, state, late=True),
            )
            return
        needed = newer or (state.current and not self._sync.current)
        if not needed or self._fetching:
            return
        tag = state.tag(leafs=True)
        if not newer and self._taken.get(record.id) == tag:
            return
        defer.ensureDeferred(self._fetch(record, tag))

    async def _fetch(self, record: fleet.VmRecord, tag: str) -> None:
        self._fetching = True
        asker = http1.Asker(
            reactor=self._reactor,
            clock=self._clock,
            host=record.host,
            port=record.state_port,
        )
        outcome = await asker.ask(
            b"GET", fleet.SNAPSHOT_PATH, timeout_s=_ANSWER_TIMEOUT_S
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
        self._taken = {record.id: tag}
        self._sync.take_from_peer(decode_items(outcome.response.body))
        self._log.emit(
            base.Event.TAKEN_FROM_PEER,
            peer=record.id,
            version=self._sync.version,
            store_current=self._sync.current,
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
