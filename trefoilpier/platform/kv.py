"""The client of the platform's store."""

import base64
import binascii
import socket
import urllib.parse
from typing import Any

import expression
import orjson
from twisted.internet import defer, protocol

from trefoilpier import base, http1, store

_CONNECT_TIMEOUT_S = 1.0  # A healthy store accepts within milliseconds.
_ANSWER_TIMEOUT_S = 2.0  # The store answers within milliseconds.
_WATCH_OVER_S = 1.0  # Beyond its own wait, a watch answers like any call.
# Keep-alive probes find a connection that has gone silent within about 3 s.
_KEEP_IDLE_S = 1
_KEEP_INTERVAL_S = 1
_KEEP_COUNT = 2
_STATUS_OK = 200
_STATUS_MISSING = 404
_STATUS_GONE = 410
_STATUS_CONFLICT = 412

Answer = expression.Result[tuple[int, dict[str, Any]], base.Failure]


def _failure(code: base.ResultCode, detail: str) -> Any:
    return expression.Error(base.Failure(code=code, detail=detail))


class _Factory(protocol.ClientFactory):
    """Makes one connection and reports a failed one."""

    noisy = False

    def __init__(self, *, client: "PlatformStore", call: "_Call") -> None:
        self._client = client
        self._call = call

    def buildProtocol(self, addr: Any) -> http1.ClientConnection:  # noqa: N802
        return self._client.make_connection(self._call)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._call.fail(
            base.ResultCode.STORE_UNAVAILABLE, reason.getErrorMessage()
        )


class _Call:
    """One call that waits for its answer."""

    __slots__ = ("connection", "data", "done", "method", "timer")

    def __init__(self, *, method: str, data: bytes) -> None:
        self.method = method
        self.data = data
        self.done: defer.Deferred[Answer] = defer.Deferred()
        self.connection: http1.ClientConnection | None = None
        self.timer: base.Timer | None = None

    def end(self, answer: Answer) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not self.done.called:
            self.done.callback(answer)

    def fail(self, code: base.ResultCode, detail: str) -> None:
        self.end(_failure(code, detail))

    def time_out(self) -> None:
        """Gives up; nothing further comes over the connection."""
        if self.connection is not None:
            self.connection.withdraw()
        self.fail(self.lost_code(), "no answer in time")

    def lost_code(self) -> base.ResultCode:
        if self.method == "POST" and self.connection is not None:
            return base.ResultCode.STORE_ANSWER_LOST
        return base.ResultCode.STORE_UNAVAILABLE


class PlatformStore(store.KeyValueStore, http1.ConnectionEvents):
    """Speaks the store's HTTP protocol over a few connections."""

    __slots__ = (
        "_clock",
        "_first_call_by_connection",
        "_host",
        "_idle",
        "_port",
        "_reactor",
        "calls",
    )

    def __init__(
        self, *, reactor: Any, clock: base.Clock, host: str, port: int
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._host = host
        self._port = port
        self._idle: list[http1.ClientConnection] = []
        self._first_call_by_connection: dict[http1.ClientConnection, _Call] = {}
        self.calls = 0

    # Connections.

    def make_connection(self, call: _Call) -> http1.ClientConnection:
        """Makes the protocol of a connection for its first call."""
        connection = http1.ClientConnection(clock=self._clock, events=self)
        self._first_call_by_connection[connection] = call
        return connection

    def opened(self, connection: http1.ClientConnection) -> None:
        """Probes the connection while it is idle, and sends its first call."""
        handle = connection.transport.getHandle()
        connection.transport.setTcpKeepAlive(True)
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEP_IDLE_S),
            (socket.TCP_KEEPINTVL, _KEEP_INTERVAL_S),
            (socket.TCP_KEEPCNT, _KEEP_COUNT),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)
        call = self._first_call_by_connection.pop(connection)
        if call.done.called:
            self._idle.append(connection)
            return
        self._send(connection, call)

    def freed(self, connection: http1.ClientConnection) -> None:
        """Keeps the connection for the next call."""
        self._idle.append(connection)

    def closed(self, connection: http1.ClientConnection) -> None:
        """Forgets the connection."""
        self._first_call_by_connection.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def _send(self, connection: http1.ClientConnection, call: _Call) -> None:
        call.connection = connection

        def ended(outcome: http1.Exchanged | http1.Lost) -> None:
            if isinstance(outcome, http1.Lost):
                call.fail(call.lost_code(), outcome.reason)
                return
            response = outcome.response
            try:
                row = orjson.loads(response.body) if response.body else {}
            except orjson.JSONDecodeError:
                row = {}
            call.end(expression.Ok((response.status, row)))

        connection.send(
            call.data, method=call.method.encode(), own_id=b"", on_end=ended
        )

    def _ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> "defer.Deferred[Answer]":
        """Makes one call."""
        self.calls += 1
        headers = [(b"host", f"{self._host}:{self._port}".encode())]
        data = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            data = orjson.dumps(body)
        call = _Call(
            method=method,
            data=http1.encode_request(
                method.encode(), path.encode(), headers, data
            ),
        )
        call.timer = self._clock.call_later(timeout_s, call.time_out)
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                self._send(connection, call)
                return call.done
        self._reactor.connectTCP(
            self._host,
            self._port,
            _Factory(client=self, call=call),
            timeout=_CONNECT_TIMEOUT_S,
        )
        return call.done

    # The interface.

    def read_all(self, prefix: str) -> "defer.Deferred[Any]":
        """Reads every item below a prefix, page by page."""
        return defer.ensureDeferred(self._read_all(prefix))

    async def _read_all(
        self, prefix: str
    ) -> expression.Result[store.Snapshot, base.Failure]:
        items: list[store.Item] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix}
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
