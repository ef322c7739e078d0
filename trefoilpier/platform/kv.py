"""Client of the platform's key-value store."""

import base64
import binascii
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

import expression
import orjson
from twisted.internet import defer

from trefoilpier import base, http1, store

# The store answers within milliseconds, or within some 0.4 s while it is slow.
# A read that is lost costs time in which nothing new is known, and one that is
# repeated costs little; a write that may take effect late does harm.
_WRITE_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 1.0
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_GONE = 410
_STATUS_PRECONDITION_FAILED = 412
# Counts the restores of the store from older copies; in every response.
_ERA_HEADER = b"store-era"

StoreResult = expression.Result[tuple[int, dict[str, Any]], base.Failure]


def _make_error(code: base.ResultCode, detail: str) -> Any:
    return expression.Error(base.Failure(code=code, detail=detail))


class PlatformStore(store.KeyValueStore):
    """A key-value store that is accessed over the platform's HTTP API."""

    __slots__ = ("_client", "_era", "_pending_watches", "_restore_callbacks")

    def __init__(
        self, *, reactor: Any, clock: base.Clock, host: str, port: int
    ) -> None:
        self._client = http1.HttpClient(
            reactor=reactor, clock=clock, host=host, port=port
        )
        self._era: int | None = None
        self._pending_watches: set[defer.Deferred[Any]] = set()
        self._restore_callbacks: list[Callable[[int, int], None]] = []

    @property
    def era(self) -> int | None:
        """Latest era in a response; None before the first one."""
        return self._era

    def on_restore(self, callback: Callable[[int, int], None]) -> None:
        """Call back with the former and the new era after each restore."""
        self._restore_callbacks.append(callback)

    def _update_era(self, era: int) -> None:
        """Record the era of a response; a higher one shows a restore.

        Waiting watches are ended: they wait for revisions that the store may
        give out a second time.
        """
        previous, self._era = self._era, era
        if previous is None or previous == era:
            return
        for callback in self._restore_callbacks:
            callback(previous, era)
        watches, self._pending_watches = self._pending_watches, set()
        for watch in watches:
            watch.cancel()

    @property
    def request_count(self) -> int:
        """Number of HTTP requests made so far."""
        return self._client.request_count

    async def _request(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
        *,
        ended_by_restore: bool = False,
    ) -> StoreResult:
        """Send a request; return the status and JSON object of the response.

        Args:
            method: The HTTP method.
            path: The path with its query.
            body: The request body, to be encoded as JSON; None for no body.
            timeout_s: Seconds to wait for the response; None for the usual
                time of the method.
            ended_by_restore: Whether a restore of the store fails the request.
        """
        if timeout_s is None:
            timeout_s = _READ_TIMEOUT_S if method == "GET" else _WRITE_TIMEOUT_S
        headers = []
        encoded_body = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            encoded_body = orjson.dumps(body)
        pending = self._client.send_request(
            method.encode(),
            path.encode(),
            headers=headers,
            body=encoded_body,
            timeout_s=timeout_s,
        )
        if ended_by_restore:
            self._pending_watches.add(pending)
        outcome = await pending
        self._pending_watches.discard(pending)
        if isinstance(outcome, http1.RequestFailed):
            code = base.ResultCode.STORE_UNAVAILABLE
            if outcome.sent and method == "POST":
                code = base.ResultCode.STORE_ANSWER_LOST
            return _make_error(code, outcome.reason)
        response = outcome.response
        era = _parse_era(response)
        if era is not None and self._era is not None and era < self._era:
            # What it reports, a write included, may have been lost since.
            return _make_error(
                base.ResultCode.STORE_ANSWER_LOST
                if method == "POST"
                else base.ResultCode.STORE_UNAVAILABLE,
                f"response of era {era}, before a restore of the store",
            )
        if era is not None:
            self._update_era(era)
        try:
            json_object = orjson.loads(response.body) if response.body else {}
        except orjson.JSONDecodeError:
            json_object = None
        if not isinstance(json_object, dict):
            return _make_error(
                base.ResultCode.STORE_UNAVAILABLE,
                "response is not a JSON object",
            )
        return expression.Ok((response.status, json_object))

    def read_all(
        self, prefix: str, *, allow_stale: bool = False
    ) -> "defer.Deferred[Any]":
        """Read every item below a prefix, page by page."""
        return defer.ensureDeferred(self._read_all(prefix, allow_stale))

    async def _read_all(
        self, prefix: str, allow_stale: bool
    ) -> expression.Result[store.Snapshot, base.Failure]:
        items: list[store.Item] = []
        revision = 0
        after = ""
        era: int | None = None
        while True:
            query = {"prefix": prefix}
            if allow_stale:
                query["allow-stale"] = "1"
            if after:
                query["after"] = after
            path = "/kv-range?" + urllib.parse.urlencode(query)
            result = _require_status(
                await self._request("GET", path), _STATUS_OK
            )
            if result.is_error():
                return expression.Error(result.error)
            json_object = result.ok[1]
            if after and self._era != era:
                return _make_error(
                    base.ResultCode.STORE_UNAVAILABLE,
                    "the store was restored between two pages",
                )
            era = self._era
            # The pages are not one consistent snapshot. A watch from the
            # revision of the first page reports the changes between pages.
            revision = revision or int(json_object.get("at", 0))
            page = [
                _parse_item(entry) for entry in json_object.get("items", [])
            ]
            items += page
            if not json_object.get("has-more") or not page:
                return expression.Ok(
                    store.Snapshot(items=items, revision=revision, era=era)
                )
            after = page[-1].key

    def read(self, key: str) -> "defer.Deferred[Any]":
        """Read a key; an absent key has revision 0."""
        return defer.ensureDeferred(self._read(key))

    async def _read(
        self, key: str
    ) -> expression.Result[store.Item, base.Failure]:
        path = "/kv-key?" + urllib.parse.urlencode({"key": key})
        result = _require_status(
            await self._request("GET", path), _STATUS_OK, _STATUS_NOT_FOUND
        )
        if result.is_error():
            return expression.Error(result.error)
        status, json_object = result.ok
        if status == _STATUS_NOT_FOUND:
            return expression.Ok(store.Item(key=key, value=b"", revision=0))
        return expression.Ok(_parse_item(json_object))

    def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        era: int | None = None,
    ) -> "defer.Deferred[Any]":
        """Wait for changes after a revision."""
        return defer.ensureDeferred(
            self._watch(
                prefix, after, wait_s, self._era if era is None else era
            )
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float, era: int | None
    ) -> expression.Result[store.Changes, base.Failure]:
        if era != self._era:
            return expression.Ok(_HISTORY_GONE)
        query = {
            "prefix": prefix,
            "after": after,
            "wait-ms": int(wait_s * 1000),
        }
        result = _require_status(
            await self._request(
                "GET",
                "/kv-watch?" + urllib.parse.urlencode(query),
                timeout_s=wait_s + store.WATCH_ANSWER_S,
                ended_by_restore=True,
            ),
            _STATUS_OK,
            _STATUS_GONE,
        )
        # A restored store answers from any revision that it has, although it
        # has given that out for another change.
        if era is not None and self._era != era:
            return expression.Ok(_HISTORY_GONE)
        if result.is_error():
            return expression.Error(result.error)
        status, json_object = result.ok
        if status == _STATUS_GONE:
            return expression.Ok(_HISTORY_GONE)
        changes = [
            _parse_change(event) for event in json_object.get("events", [])
        ]
        revision = int(json_object.get("at", after))
        return expression.Ok(store.Changes(changes=changes, revision=revision))

    def grant_lease(self, *, ttl_s: float) -> "defer.Deferred[Any]":
        """Create a lease and return its id."""
        return defer.ensureDeferred(self._grant_lease(ttl_s))

    async def _grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, base.Failure]:
        result = _require_status(
            await self._request(
                "POST", "/kv-lease", {"ttl-ms": int(ttl_s * 1000)}
            ),
            _STATUS_OK,
        )
        return result.map(
            lambda status_and_object: str(status_and_object[1].get("lease", ""))
        )

    def keep_lease(self, lease: str) -> "defer.Deferred[Any]":
        """Renew a lease; return False if it has ended."""
        return defer.ensureDeferred(
            self._request_lease("POST", f"/kv-keep/{lease}")
        )

    def end_lease(self, lease: str) -> "defer.Deferred[Any]":
        """End a lease; return False if it had ended already."""
        return defer.ensureDeferred(
            self._request_lease("DELETE", f"/kv-lease-end/{lease}")
        )

    async def _request_lease(
        self, method: str, path: str
    ) -> expression.Result[bool, base.Failure]:
        result = _require_status(
            await self._request(method, path), _STATUS_OK, _STATUS_NOT_FOUND
        )
        return result.map(
            lambda status_and_object: status_and_object[0] == _STATUS_OK
        )

    def write(
        self, key: str, value: bytes, *, expect: int | None, lease: str = ""
    ) -> "defer.Deferred[Any]":
        """Write a key and return its new revision."""
        return defer.ensureDeferred(self._write(key, value, expect, lease))

    async def _write(
        self, key: str, value: bytes, expect: int | None, lease: str
    ) -> expression.Result[int, base.Failure]:
        operation: dict[str, Any] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        if lease:
            operation["lease"] = int(lease)
        return await self._change(key, expect, writes=[operation])

    def delete(self, key: str, *, expect: int) -> "defer.Deferred[Any]":
        """Delete a key and return the store's new revision."""
        return defer.ensureDeferred(
            self._change(key, expect, deleted_keys=[key])
        )

    async def _change(
        self,
        key: str,
        expect: int | None,
        *,
        writes: Sequence[dict[str, Any]] = (),
        deleted_keys: Sequence[str] = (),
    ) -> expression.Result[int, base.Failure]:
        """Change a key, if it has the expected revision."""
        body = {
            "writes": list(writes),
            "delete-keys": list(deleted_keys),
            "precondition": (
                [] if expect is None else [{"key": key, "revision": expect}]
            ),
        }
        result = _require_status(
            await self._request("POST", "/kv-txn", body),
            _STATUS_OK,
            _STATUS_PRECONDITION_FAILED,
            _STATUS_NOT_FOUND,
        )
        if result.is_error():
            return expression.Error(result.error)
        status, reply = result.ok
        if status != _STATUS_OK:
            return _make_error(base.ResultCode.STORE_CONFLICT, key)
        return expression.Ok(int(reply.get("revision", 0)))


_HISTORY_GONE = store.Changes(changes=[], revision=0, history_gone=True)


def _parse_era(response: http1.HttpResponse) -> int | None:
    value = http1.find_header(response.headers, _ERA_HEADER) or b""
    return int(value) if value.isdigit() else None


def _require_status(result: StoreResult, *statuses: int) -> StoreResult:
    """Return the response, or an error if its status is not expected."""
    if result.is_ok() and result.ok[0] not in statuses:
        return _make_error(
            base.ResultCode.STORE_UNAVAILABLE,
            f"unexpected status {result.ok[0]}",
        )
    return result


def _parse_item(json_object: dict[str, Any]) -> store.Item:
    try:
        value = base64.b64decode(json_object.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        value = None
    return store.Item(
        key=str(json_object.get("key", "")),
        value=value,
        revision=int(json_object.get("revision", 0)),
    )


def _parse_change(json_object: dict[str, Any]) -> store.Change:
    item = None if json_object.get("deleted") else _parse_item(json_object)
    return store.Change(
        key=str(json_object.get("key", "")),
        revision=int(json_object.get("revision", 0)),
        item=item,
    )
