"""The platform's service over HTTP."""

import urllib.parse
from typing import Any

import expression
import orjson
from twisted.internet import defer, error
from twisted.web import client, http_headers

from trefoilpier import base
from trefoilpier.metadata import store

_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 3.0
_STATUS_OK = 200
_STATUS_CONFLICT = 409


class BytesProducer:
    """Sends a request body that is held in memory."""

    __slots__ = ("_body", "length")

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        """Writes the whole body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written at once."""


def _failure(code: base.ResultCode, detail: str) -> Any:
    return expression.Error(base.Failure(code=code, detail=detail))


class HttpStore(store.Store):
    """Calls the platform's HTTP interface with a bounded wait."""

    __slots__ = ("_agent", "_reactor", "_root")

    def __init__(self, *, reactor: Any, host: str, port: int) -> None:
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._agent = client.Agent(
            reactor, connectTimeout=_CONNECT_TIMEOUT_S, pool=pool
        )
        self._root = f"http://{host}:{port}"

    async def _ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        wait: float = _ANSWER_TIMEOUT_S,
    ) -> expression.Result[tuple[int, bytes], base.Failure]:
        """Sends one request; tells a refused one from a lost answer."""
        producer = None if body is None else BytesProducer(body=body)
        request = self._agent.request(
            method.encode(),
            (self._root + path).encode(),
            http_headers.Headers({}),
            producer,
        )
        request.addTimeout(wait, self._reactor)
        try:
            response = await request
            reading = client.readBody(response)
            reading.addTimeout(wait, self._reactor)
            data = await reading
        except error.ConnectError as failed:
            # Nothing was sent, so a write cannot have taken effect.
            return _failure(base.ResultCode.STORE_UNAVAILABLE, str(failed))
        except Exception as failed:  # noqa: BLE001
            code = base.ResultCode.STORE_UNAVAILABLE
            if method in ("PUT", "POST"):
                code = base.ResultCode.STORE_ANSWER_LOST
            return _failure(code, repr(failed))
        if response.code not in (_STATUS_OK, _STATUS_CONFLICT):
            detail = f"status {response.code}"
            return _failure(base.ResultCode.STORE_UNAVAILABLE, detail)
        return expression.Ok((response.code, data))

    async def _entry(
        self, key: str, *ask: Any, **options: Any
    ) -> store.EntryResult:
        """Asks and reads a stored value from the answer."""
        answer = await self._ask(*ask, **options)
        if answer.is_error():
            return expression.Error(answer.error)
        status, data = answer.ok
        if status == _STATUS_CONFLICT:
            return _failure(base.ResultCode.STORE_CONFLICT, key)
        row = orjson.loads(data)
        return expression.Ok(
            store.Entry(
                key=key,
                value=row["value"].encode(),
                revision=row["revision"],
            )
        )

    def get(self, key: str) -> "defer.Deferred[store.EntryResult]":
        """Reads a key."""
        path = f"/v1/kv/{urllib.parse.quote(key, safe='')}"
        return defer.ensureDeferred(self._entry(key, "GET", path))

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> "defer.Deferred[store.EntryResult]":
        """Writes a key if its revision is ``expect``."""
        if len(value) > store.VALUE_BYTES_MAX:
            code = base.ResultCode.VALUE_TOO_LARGE
            return defer.succeed(_failure(code, key))
        path = (
            f"/v1/kv/{urllib.parse.quote(key, safe='')}"
            f"?expect={expect}&lease={lease}"
        )
        return defer.ensureDeferred(self._entry(key, "PUT", path, value))

    def watch(
        self, key: str, *, after: int, wait: float
    ) -> "defer.Deferred[store.EntryResult]":
        """Waits for a newer revision by long polling."""
        path = (
            f"/v1/watch/{urllib.parse.quote(key, safe='')}"
            f"?after={after}&wait={wait}"
        )
        return defer.ensureDeferred(
            self._entry(key, "GET", path, wait=wait + _ANSWER_TIMEOUT_S)
        )

    async def _grant(self, ttl: float) -> expression.Result[str, base.Failure]:
        answer = await self._ask("POST", f"/v1/leases?ttl={ttl}", b"")
        return answer.map(lambda pair: orjson.loads(pair[1])["id"])

    def grant_lease(
        self, *, ttl: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Makes a lease."""
        return defer.ensureDeferred(self._grant(ttl))

    async def _members(self) -> store.VmListResult:
        answer = await self._ask("GET", "/v1/members")
        if answer.is_error():
            return expression.Error(answer.error)
        rows = orjson.loads(answer.ok[1])["members"]
        return expression.Ok(
            [
                store.VmRecord(
                    id=row["id"],
                    host=row["host"],
                    port=row["port"],
                    region=row["region"],
                    zone=row["zone"],
                    state=store.VmState(row["state"]),
                    role=row.get("role", "entry"),
                    caller_port=row.get("caller_port", 0),
                )
                for row in rows
            ]
        )

    def members(self) -> "defer.Deferred[store.VmListResult]":
        """Reads the membership list."""
        return defer.ensureDeferred(self._members())
