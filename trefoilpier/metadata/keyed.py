"""Single-key access and the membership list, on top of the shared store."""

from typing import Any

import expression
import orjson
from twisted.internet import defer

from trefoilpier import base
from trefoilpier import store as store_api
from trefoilpier.metadata import store

_MEMBER_PREFIX = "vms/"


def _failure(code: base.ResultCode, detail: str) -> Any:
    return expression.Error(base.Failure(code=code, detail=detail))


class KeyValueStoreAdapter(store.Store):
    """Adapter from the shared store to single-key access."""

    __slots__ = ("_era_by_watched_key", "_shared_store")

    def __init__(self, *, shared_store: store_api.KeyValueStore) -> None:
        self._shared_store = shared_store
        self._era_by_watched_key: dict[str, int | None] = {}

    def get(self, key: str) -> "defer.Deferred[store.EntryResult]":
        """Read a key; an absent one has revision 0."""
        return defer.ensureDeferred(self._get(key))

    async def _get(self, key: str) -> store.EntryResult:
        read_result = await self._shared_store.read(key)
        return read_result.map(
            lambda item: store.Entry(
                key=key,
                value=item.value or b"",
                revision=item.revision,
                era=self._shared_store.era,
            )
        )

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> "defer.Deferred[store.EntryResult]":
        """Write a key if its revision is ``expect`` (0: if absent)."""
        if len(value) > store.VALUE_BYTES_MAX:
            code = base.ResultCode.VALUE_TOO_LARGE
            return defer.succeed(_failure(code, key))
        return defer.ensureDeferred(self._put(key, value, expect, lease))

    async def _put(
        self, key: str, value: bytes, expect: int, lease: str
    ) -> store.EntryResult:
        write_result = await self._shared_store.write(
            key, value, expect=expect, lease=lease
        )
        return write_result.map(
            lambda revision: store.Entry(
                key=key, value=value, revision=revision
            )
        )

    def watch(
        self, key: str, *, after: int, wait: float
    ) -> "defer.Deferred[store.EntryResult]":
        """Wait up to ``wait`` seconds for a revision above ``after``."""
        return defer.ensureDeferred(self._watch(key, after, wait))

    async def _watch(
        self, key: str, after: int, wait: float
    ) -> store.EntryResult:
        era = self._shared_store.era
        if after and self._era_by_watched_key.get(key, era) != era:
            # The revision is of an earlier era.
            self._era_by_watched_key[key] = era
            return await self._get(key)
        watch_result = await self._shared_store.watch(
            key, after=after, wait_s=wait
        )
        if watch_result.is_error():
            return expression.Error(watch_result.error)
        self._era_by_watched_key[key] = self._shared_store.era
        key_changes = [
            change for change in watch_result.ok.changes if change.key == key
        ]
        if not key_changes or key_changes[-1].item is None:
            return await self._get(key)
        newest_item = key_changes[-1].item
        return expression.Ok(
            store.Entry(
                key=key,
                value=newest_item.value or b"",
                revision=newest_item.revision,
                era=self._shared_store.era,
            )
        )

    def grant_lease(
        self, *, ttl: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Create a lease of ``ttl`` seconds and return its id."""
        return self._shared_store.grant_lease(ttl_s=ttl)

    def members(self) -> "defer.Deferred[store.VmListResult]":
        """Read the membership list, which may lag."""
        return defer.ensureDeferred(self._members())

    async def _members(self) -> store.VmListResult:
        read_result = await self._shared_store.read_all(_MEMBER_PREFIX)
        return read_result.map(
            lambda snapshot: [
                _parse_vm_record(orjson.loads(item.value))
                for item in snapshot.items
                if item.value
            ]
        )


def _parse_vm_record(fields: dict[str, Any]) -> store.VmRecord:
    return store.VmRecord(
        id=fields["id"],
        host=fields["host"],
        port=fields["port"],
        region=fields["region"],
        zone=fields["zone"],
        state=store.VmState(fields["state"]),
        role=fields.get("role", "entry"),
        caller_port=fields.get("caller_port", 0),
    )
