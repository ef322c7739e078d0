"""The platform's service over HTTP: ``python -m standins.platform --help``.

Faults are switched by ``POST /v1/faults`` on the control port, and the
membership list is replaced by ``POST /v1/members`` there.
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
_PAGE_ITEMS = 500
_WATCH_MAX_S = 30.0


class PlatformServer:
    """Serves the store and the membership list with faults."""

    def __init__(
        self, *, model: platform_model.PlatformModel, clock: base.Clock
    ) -> None:
        self._model = model
        self._clock = clock

    def handle(self, call: httpd.HttpCall) -> None:
        """Answers one request, late or never when a fault says so."""
        if self._model.faults.down:
            call.drop()
            return
        if self._model.faults.slow_s:
            self._clock.call_later(
                self._model.faults.slow_s, self._dispatch, call
            )
            return
        self._dispatch(call)

    def _dispatch(self, call: httpd.HttpCall) -> None:
        if self._model.faults.down:
            call.drop()
            return
        handle = {
            "/kv-key": self._key,
            "/kv-range": self._range,
            "/kv-watch": self._watch,
            "/kv-txn": self._txn,
            "/kv-lease": self._lease,
        }.get(call.path)
        if handle is not None:
            handle(call)
        elif call.path.startswith("/kv-keep/"):
            lease = call.path.removeprefix("/kv-keep/")
            call.answer({}, 200 if self._model.keep(lease) else 404)
        elif call.path.startswith("/kv-lease-end/"):
            self._model.end_lease(call.path.removeprefix("/kv-lease-end/"))
            call.answer({})
        else:
            call.answer({"error": "no such call"}, 404)

    def _key(self, call: httpd.HttpCall) -> None:
        key = call.query["key"]
        stored = self._model.get(key)
        if not stored.revision:
            call.answer({"at": self._model.revision}, 404)
            return
        call.answer({**_item(key, stored), "at": self._model.revision})

    def _range(self, call: httpd.HttpCall) -> None:
        prefix = call.query["prefix"]
        stored_by_key = self._model.items(prefix)
        if _MEMBER_PREFIX.startswith(prefix) or prefix == _MEMBER_PREFIX:
            stored_by_key |= self._members()
        after = call.query.get("after", "")
        keys = [key for key in sorted(stored_by_key) if key > after]
        page = keys[:_PAGE_ITEMS]
        call.answer(
            {
                "items": [_item(key, stored_by_key[key]) for key in page],
                "has-more": len(keys) > len(page),
                "at": self._model.revision,
            }
        )

    def _members(self) -> dict[str, platform_model.StoredValue]:
        """Returns the membership list, which lags, as stored values."""
        return {
            f"{_MEMBER_PREFIX}{row['id']}": platform_model.StoredValue(
                value=orjson.dumps(row).decode(), revision=1
            )
            for row in self._model.members()
        }

    def _watch(self, call: httpd.HttpCall) -> None:
        prefix = call.query["prefix"]
        after = int(call.query["after"])
        wait_s = min(_WATCH_MAX_S, int(call.query["wait-ms"]) / 1000)

        def reply() -> None:
            if self._model.faults.down:
                call.drop()
                return
            changes = self._model.changes(prefix, after)
            if changes is None:
                call.answer({"error": "history is gone"}, 410)
                return
            events = [_event(change) for change in changes]
            call.answer({"events": events, "at": self._model.revision})

        self._model.watch_prefix(prefix, after, wait_s, reply)

    def _txn(self, call: httpd.HttpCall) -> None:
        row = orjson.loads(call.body)
        for condition in row.get("precondition", []):
            current = self._model.get(condition["key"])
            if current.revision != condition["revision"]:
                call.answer({"items": []}, 412)
                return

        def write() -> dict[str, Any]:
            for each in row.get("writes", []):
                value = base64.b64decode(each["value"]).decode()
                lease = str(each.get("lease") or "")
                self._model.put(each["key"], value, None, lease)
            for key in row.get("delete-keys", []):
                self._model.delete(key)
            return {"revision": self._model.revision}

        self._write(call, write)

    def _lease(self, call: httpd.HttpCall) -> None:
        ttl_ms = orjson.loads(call.body)["ttl-ms"]
        self._write(
            call,
            lambda: {
                "lease": int(self._model.grant(ttl_ms / 1000)),
                "ttl-ms": ttl_ms,
            },
        )

    def _write(
        self, call: httpd.HttpCall, write: Callable[[], dict[str, Any]]
    ) -> None:
        """Writes, or loses the write or its answer."""
        faults = self._model.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            call.drop()
            return
        row = write()
        if faults.lose_answers:
            faults.lose_answers -= 1
            call.drop()
            return
        call.answer(row)


def _item(key: str, stored: platform_model.StoredValue) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(stored.value.encode()).decode(),
        "revision": stored.revision,
        "created": stored.created,
        "lease": int(stored.lease or 0),
    }


def _event(change: platform_model.StoredChange) -> dict[str, Any]:
    if change.stored is None:
        return {
            "key": change.key,
            "revision": change.revision,
            "deleted": True,
        }
    return _item(change.key, change.stored)


class ControlServer:
    """Switches faults, sets the membership list and shows the call counts."""

    def __init__(self, *, model: platform_model.PlatformModel) -> None:
        self._model = model

    def handle(self, call: httpd.HttpCall) -> None:
        """Answers one control request."""
        if call.path == "/v1/faults":
            self._model.faults = dataclasses.replace(
                self._model.faults, **orjson.loads(call.body)
            )
            call.answer({})
        elif call.path == "/v1/members":
            self._model.set_members(orjson.loads(call.body)["members"])
            call.answer({})
        elif call.path == "/v1/members/state":
            call.answer(self._set_state(orjson.loads(call.body)))
        elif call.path == "/v1/counts":
            call.answer(dataclasses.asdict(self._model.counts))
        elif call.path == "/v1/keys":
            keys = self._model.keys(call.query.get("prefix", ""))
            call.answer({"keys": keys})
        else:
            call.answer({"error": "no such page"}, 404)

    def _set_state(self, row: dict[str, Any]) -> dict[str, Any]:
        """Changes the state of one member; ``gone`` removes it."""
        members = self._model.newest_members()
        kept = [m for m in members if m["id"] != row["id"]]
        if row["state"] != "gone":
            kept += [
                {**m, "state": row["state"]}
                for m in members
                if m["id"] == row["id"]
            ]
        self._model.set_members(kept)
        return {}


def main() -> None:
    """Serves the platform until the process is ended."""
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
