"""Simulated platform over HTTP: ``python -m standins.platform --help``.

On the control port, ``POST /v1/faults`` injects faults and
``POST /v1/members`` replaces the membership list.
"""

import argparse
import base64
import dataclasses
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import reactor

from standins import httpd, platform_model
from trefoilpier import base

_MEMBER_PREFIX = "vms/"
_RANGE_PAGE_ITEMS = 500
_WATCH_WAIT_MAX_S = 30.0


class PlatformServer:
    """HTTP interface of the store and the membership list."""

    def __init__(
        self, *, model: platform_model.PlatformModel, clock: base.Clock
    ) -> None:
        self._model = model
        self._clock = clock

    def handle(self, request: httpd.HttpRequest) -> None:
        """Handle one request; delay or drop it as the faults require."""
        if self._model.faults.down:
            request.abort()
            return
        request.is_answered = lambda: not self._is_silent(request)
        if self._is_silent(request):
            request.connection.muted = True
            return
        request.make_headers = lambda: b"Store-Era: %d\r\n" % self._model.era
        if self._model.faults.slow_s:
            self._clock.call_later(
                self._model.faults.slow_s, self._dispatch, request
            )
            return
        self._dispatch(request)

    def _is_silent(self, request: httpd.HttpRequest) -> bool:
        """Return whether the sender of a request gets no response now."""
        faults = self._model.faults
        if faults.silent or not faults.silent_to:
            return faults.silent
        transport = request.connection.transport
        return getattr(transport, "source", "") in faults.silent_to

    def _dispatch(self, request: httpd.HttpRequest) -> None:
        if self._model.faults.down:
            request.abort()
            return
        handler = {
            "/kv-key": self._handle_key,
            "/kv-range": self._handle_range,
            "/kv-watch": self._handle_watch,
            "/kv-txn": self._handle_txn,
            "/kv-lease": self._handle_lease,
        }.get(request.path)
        if handler is not None:
            handler(request)
        elif request.path.startswith("/kv-keep/"):
            lease = request.path.removeprefix("/kv-keep/")
            request.respond({}, 200 if self._model.renew_lease(lease) else 404)
        elif request.path.startswith("/kv-lease-end/"):
            self._model.end_lease(request.path.removeprefix("/kv-lease-end/"))
            request.respond({})
        else:
            request.respond({"error": "no such call"}, 404)

    def _handle_key(self, request: httpd.HttpRequest) -> None:
        key = request.query["key"]
        stored = self._model.get(key)
        if not stored.revision:
            request.respond({"at": self._model.revision}, 404)
            return
        request.respond({**_item_row(key, stored), "at": self._model.revision})

    def _handle_range(self, request: httpd.HttpRequest) -> None:
        prefix = request.query["prefix"]
        stored_by_key = self._model.items(prefix)
        if _MEMBER_PREFIX.startswith(prefix) or prefix == _MEMBER_PREFIX:
            stored_by_key |= self._member_entries()
        after = request.query.get("after", "")
        keys = [key for key in sorted(stored_by_key) if key > after]
        page = keys[:_RANGE_PAGE_ITEMS]
        request.respond(
            {
                "items": [_item_row(key, stored_by_key[key]) for key in page],
                "has-more": len(keys) > len(page),
                "at": self._model.revision,
            }
        )

    def _member_entries(self) -> dict[str, platform_model.StoredValue]:
        """Return the membership list, which may lag, as stored values."""
        return {
            f"{_MEMBER_PREFIX}{row['id']}": platform_model.StoredValue(
                value=orjson.dumps(row).decode(), revision=1
            )
            for row in self._model.members()
        }

    def _handle_watch(self, request: httpd.HttpRequest) -> None:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        wait_s = min(_WATCH_WAIT_MAX_S, int(request.query["wait-ms"]) / 1000)

        def reply() -> None:
            if self._model.faults.down:
                request.abort()
                return
            changes = self._model.changes(prefix, after)
            if changes is None:
                request.respond({"error": "history is gone"}, 410)
                return
            events = [_event_row(change) for change in changes]
            request.respond({"events": events, "at": self._model.revision})

        self._model.watch_prefix(prefix, after, wait_s, reply)

    def _handle_txn(self, request: httpd.HttpRequest) -> None:
        row = orjson.loads(request.body)
        for condition in row.get("precondition", []):
            current = self._model.current_value(condition["key"])
            if current.revision != condition["revision"]:
                request.respond({"items": []}, 412)
                return

        def write() -> dict[str, Any]:
            for write_row in row.get("writes", []):
                value = base64.b64decode(write_row["value"]).decode()
                lease = str(write_row.get("lease") or "")
                self._model.put(write_row["key"], value, None, lease)
            for key in row.get("delete-keys", []):
                self._model.delete(key)
            return {"revision": self._model.revision}

        self._write(request, write)

    def _handle_lease(self, request: httpd.HttpRequest) -> None:
        ttl_ms = orjson.loads(request.body)["ttl-ms"]
        self._write(
            request,
            lambda: {
                "lease": int(self._model.grant_lease(ttl_ms / 1000)),
                "ttl-ms": ttl_ms,
            },
        )

    def _write(
        self, request: httpd.HttpRequest, write: Callable[[], dict[str, Any]]
    ) -> None:
        """Perform a write, or lose it or its answer as the faults require."""
        faults = self._model.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            request.abort()
            return
        row = write()
        if faults.lose_answers:
            faults.lose_answers -= 1
            request.abort()
            return
        request.respond(row)


def _item_row(key: str, stored: platform_model.StoredValue) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(stored.value.encode()).decode(),
        "revision": stored.revision,
        "created": stored.created,
        "lease": int(stored.lease or 0),
    }


def _event_row(change: platform_model.StoredChange) -> dict[str, Any]:
    if change.stored is None:
        return {
            "key": change.key,
            "revision": change.revision,
            "deleted": True,
        }
    return _item_row(change.key, change.stored)


class ControlServer:
    """Control interface: faults, membership list, request counts and keys."""

    def __init__(self, *, model: platform_model.PlatformModel) -> None:
        self._model = model

    def handle(self, request: httpd.HttpRequest) -> None:
        """Respond to one control request."""
        if request.path == "/v1/faults":
            self._model.faults = dataclasses.replace(
                self._model.faults, **orjson.loads(request.body)
            )
            request.respond({})
        elif request.path == "/v1/members":
            self._model.set_members(orjson.loads(request.body)["members"])
            request.respond({})
        elif request.path == "/v1/members/state":
            request.respond(self._set_member_state(orjson.loads(request.body)))
        elif request.path == "/v1/counts":
            request.respond(dataclasses.asdict(self._model.counts))
        elif request.path == "/v1/keys":
            keys = self._model.keys(request.query.get("prefix", ""))
            request.respond({"keys": keys})
        else:
            request.respond({"error": "no such page"}, 404)

    def _set_member_state(self, row: dict[str, Any]) -> dict[str, Any]:
        """Change the state of one member; ``gone`` removes it."""
        members = self._model.newest_members()
        updated = [member for member in members if member["id"] != row["id"]]
        if row["state"] != "gone":
            updated += [
                {**member, "state": row["state"]}
                for member in members
                if member["id"] == row["id"]
            ]
        self._model.set_members(updated)
        return {}


def main() -> None:
    """Serve the platform until the process is terminated."""
    parser = argparse.ArgumentParser(
        prog="python -m standins.platform", description=__doc__
    )
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control", type=int, required=True)
    args = parser.parse_args()
    clock = base.ReactorClock(reactor=reactor)
    model = platform_model.PlatformModel(clock=clock)
    server = PlatformServer(model=model, clock=clock)
    control = ControlServer(model=model)
    reactor.listenTCP(
        args.port,
        httpd.HttpFactory(handle=server.handle),
        interface=args.host,
    )
    reactor.listenTCP(
        args.control,
        httpd.HttpFactory(handle=control.handle),
        interface=args.host,
    )
    reactor.run()


if __name__ == "__main__":
    main()
