"""Single keys and the membership list, over the shared store."""

from typing import Any

import expression
import orjson
from twisted.internet import defer

from trefoilpier import base
from trefoilpier import store as shared
from trefoilpier.metadata import store

_MEMBER_PREFIX = "vms/"


def _failure(code: base.ResultCode, detail: str) -> Any:
    return expression.Error(base.Failure(code=code, detail=detail))


class KeyedStore(store.Store):
    """Reads, watches and writes one key at a time."""

    __slots__ = ("_shared",)

    def __init__(self, *, shared_store: shared.KeyValueStore) -> None:
        self._shared = shared_store

    def get(self, key: str) -> "defer.Deferred[store.EntryResult]":
        """Reads a key."""
        return defer.ensureDeferred(self._get(key))

    async def _get(self, key: str) -> store.EntryResult:
        read = await self._shared.read(key)
        return read.map(
            lambda item: store.Entry(
                key=key, value=item.value or b"", revision=item.revision
            )
        )

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> "defer.Deferred[store.EntryResult]":
        """Writes a key if its revision is ``expect``."""
        if len(value) > store.VALUE_BYTES_MAX:
            code = base.ResultCode.VALUE_TOO_LARGE
            return defer.succeed(_failure(code, key))
        return defer.ensureDeferred(self._put(key, value, expect, lease))

    async def _put(
        self, key: str, value: bytes, expect: int, lease: str
    ) -> store.EntryResult:
        written = await self._shared.write(
            key, value, expect=expect, lease=lease
        )
        return written.map(
            lambda revision: store.Entry(
                key=key, value=value, revision=revision
            )
        )

    def watch(
        self, key: str, *, after: int, wait: float
    ) -> "defer.Deferred[store.EntryResult]":
        """Waits for a newer revision."""
        return defer.ensureDeferred(self._watch(key, after, wait))

    async def _watch(
        self, key: str, after: int, wait: float
    ) -> store.EntryResult:
        seen = await self._shared.watch(key, after=after, wait_s=wait)
        if seen.is_error():
            return expression.Error(seen.error)
        own = [change for change in seen.ok.changes if change.key == key]
        if not own or own[-1].item is None:
            return await self._get(key)
        newest = own[-1].item
        return expression.Ok(
            store.Entry(
                key=key, value=newest.value or b"", revision=newest.revision
            )
        )

    def grant_lease(
        self, *, ttl: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Makes a lease."""
        return self._shared.grant_lease(ttl_s=ttl)

    def members(self) -> "defer.Deferred[store.VmListResult]":
        """Reads the membership list."""
        return defer.ensureDeferred(self._members())

    async def _members(self) -> store.VmListResult:
        read = await self._shared.read_all(_MEMBER_PREFIX)
        return read.map(
            lambda snapshot: [
                _vm_record(orjson.loads(item.value))
                for item in snapshot.items
                if item.value
            ]
        )


def _vm_record(row: dict[str, Any]) -> store.VmRecord:
    return store.VmRecord(
        id=row["id"],
        host=row["host"],
        port=row["port"],
        region=row["region"],
        zone=row["zone"],
        state=store.VmState(row["state"]),
        role=row.get("role", "entry"),
        caller_port=row.get("caller_port", 0),
    )
