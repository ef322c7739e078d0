"""The client of the platform's store."""

import base64
import binascii
import urllib.parse
from typing import Any

import expression
import orjson
from twisted.internet import defer

from trefoilpier import base, http1, store

_ANSWER_TIMEOUT_S = 2.0  # The store answers within milliseconds.
_WATCH_OVER_S = 1.0  # Beyond its own wait, a watch answers like any call.
_STATUS_OK = 200
_STATUS_MISSING = 404
_STATUS_GONE = 410
_STATUS_CONFLICT = 412

Answer = expression.Result[tuple[int, dict[str, Any]], base.Failure]


def _failure(code: base.ResultCode, detail: str) -> Any:
    return expression.Error(base.Failure(code=code, detail=detail))


class PlatformStore(store.KeyValueStore):
    """Speaks the store's HTTP protocol."""

    __slots__ = ("_asker",)

    def __init__(
        self, *, reactor: Any, clock: base.Clock, host: str, port: int
    ) -> None:
        self._asker = http1.Asker(
            reactor=reactor, clock=clock, host=host, port=port
        )

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._asker.request_count

    async def _ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> Answer:
        """Makes one call and reads its answer."""
        headers = []
        data = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            data = orjson.dumps(body)
        outcome = await self._asker.ask(
            method.encode(),
            path.encode(),
            headers=headers,
            body=data,
            timeout_s=timeout_s,
        )
        if isinstance(outcome, http1.Lost):
            code = base.ResultCode.STORE_UNAVAILABLE
            if outcome.sent and method == "POST":
                code = base.ResultCode.STORE_ANSWER_LOST
            return _failure(code, outcome.reason)
        response = outcome.response
        try:
            row = orjson.loads(response.body) if response.body else {}
        except orjson.JSONDecodeError:
            row = None
        if not isinstance(row, dict):
            return _failure(
                base.ResultCode.STORE_UNAVAILABLE, "answer is no JSON object"
            )
        return expression.Ok((response.status, row))

    def read_all(
        self, prefix: str, *, may_be_old: bool = False
    ) -> "defer.Deferred[Any]":
        """Reads every item below a prefix, page by page."""
        return defer.ensureDeferred(self._read_all(prefix, may_be_old))

    async def _read_all(
        self, prefix: str, may_be_old: bool
    ) -> expression.Result[store.Snapshot, base.Failure]:
        items: list[store.Item] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix}
            if may_be_old:
                query["allow-stale"] = "1"
            if after:
                query["after"] = after
            path = "/kv-range?" + urllib.parse.urlencode(query)
            answer = _expect(await self._ask("GET", path), _STATUS_OK)
            if answer.is_error():
                return expression.Error(answer.error)
            row = answer.ok[1]
            # Pages are no snapshot: watching from the first one's revision
            # brings whatever changed between them.
            revision = revision or int(row.get("at", 0))
            page = [_item(each) for each in row.get("items", [])]
            items += page
            if not row.get("has-more") or not page:
                return expression.Ok(
                    store.Snapshot(items=items, revision=revision)
                )
            after = page[-1].key

    def read(self, key: str) -> "defer.Deferred[Any]":
        """Reads a key; an absent one has revision 0."""
        return defer.ensureDeferred(self._read(key))

    async def _read(
        self, key: str
    ) -> expression.Result[store.Item, base.Failure]:
        path = "/kv-key?" + urllib.parse.urlencode({"key": key})
        answer = _expect(
            await self._ask("GET", path), _STATUS_OK, _STATUS_MISSING
        )
        if answer.is_error():
            return expression.Error(answer.error)
        status, row = answer.ok
        if status == _STATUS_MISSING:
            return expression.Ok(store.Item(key=key, value=b"", revision=0))
        return expression.Ok(_item(row))

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> "defer.Deferred[Any]":
        """Waits for changes after a revision."""
        return defer.ensureDeferred(self._watch(prefix, after, wait_s))

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[store.Changes, base.Failure]:
        query = {
            "prefix": prefix,
            "after": after,
            "wait-ms": int(wait_s * 1000),
        }
        answer = _expect(
            await self._ask(
                "GET",
                "/kv-watch?" + urllib.parse.urlencode(query),
                timeout_s=wait_s + _WATCH_OVER_S,
            ),
            _STATUS_OK,
            _STATUS_GONE,
        )
        if answer.is_error():
            return expression.Error(answer.error)
        status, row = answer.ok
        if status == _STATUS_GONE:
            return expression.Ok(
                store.Changes(changes=[], revision=0, history_gone=True)
            )
        changes = [_change(each) for each in row.get("events", [])]
        revision = int(row.get("at", after))
        return expression.Ok(store.Changes(changes=changes, revision=revision))

    def grant_lease(self, *, ttl_s: float) -> "defer.Deferred[Any]":
        """Makes a lease."""
        return defer.ensureDeferred(self._grant_lease(ttl_s))

    async def _grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, base.Failure]:
        answer = _expect(
            await self._ask("POST", "/kv-lease", {"ttl-ms": int(ttl_s * 1000)}),
            _STATUS_OK,
        )
        return answer.map(lambda pair: str(pair[1].get("lease", "")))

    def keep_lease(self, lease: str) -> "defer.Deferred[Any]":
        """Renews a lease."""
        return defer.ensureDeferred(
            self._lease_call("POST", f"/kv-keep/{lease}")
        )

    def end_lease(self, lease: str) -> "defer.Deferred[Any]":
        """Ends a lease."""
        return defer.ensureDeferred(
            self._lease_call("DELETE", f"/kv-lease-end/{lease}")
        )

    async def _lease_call(
        self, method: str, path: str
    ) -> expression.Result[bool, base.Failure]:
        answer = _expect(
            await self._ask(method, path), _STATUS_OK, _STATUS_MISSING
        )
        return answer.map(lambda pair: pair[0] == _STATUS_OK)

    def write(
        self, key: str, value: bytes, *, expect: int | None, lease: str = ""
    ) -> "defer.Deferred[Any]":
        """Writes a key."""
        return defer.ensureDeferred(self._write(key, value, expect, lease))

    async def _write(
        self, key: str, value: bytes, expect: int | None, lease: str
    ) -> expression.Result[int, base.Failure]:
        row: dict[str, Any] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        if lease:
            row["lease"] = int(lease)
        body: dict[str, Any] = {"writes": [row], "delete-keys": []}
        body["precondition"] = (
            [] if expect is None else [{"key": key, "revision": expect}]
        )
        answer = _expect(
            await self._ask("POST", "/kv-txn", body),
            _STATUS_OK,
            _STATUS_CONFLICT,
            _STATUS_MISSING,
        )
        if answer.is_error():
            return expression.Error(answer.error)
        status, reply = answer.ok
        if status != _STATUS_OK:
            return _failure(base.ResultCode.STORE_CONFLICT, key)
        return expression.Ok(int(reply.get("revision", 0)))


def _expect(answer: Answer, *statuses: int) -> Answer:
    """Turns an answer of another status into a failure."""
    if answer.is_ok() and answer.ok[0] not in statuses:
        return _failure(
            base.ResultCode.STORE_UNAVAILABLE, f"status {answer.ok[0]}"
        )
    return answer


def _item(row: dict[str, Any]) -> store.Item:
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        value = None
    return store.Item(
        key=str(row.get("key", "")),
        value=value,
        revision=int(row.get("revision", 0)),
    )


def _change(row: dict[str, Any]) -> store.Change:
    item = None if row.get("deleted") else _item(row)
    return store.Change(
        key=str(row.get("key", "")),
        revision=int(row.get("revision", 0)),
        item=item,
    )
