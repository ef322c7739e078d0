"""The platform's service over HTTP: ``python -m standins.platform --help``.

Faults are switched by ``POST /v1/faults`` on the control port, and the
membership list is replaced by ``POST /v1/members`` there.
"""

import argparse
import dataclasses
import urllib.parse
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import reactor

from standins import httpd, platform_model
from trefoilpier import base


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
        if call.path == "/v1/members":
            call.answer({"members": self._model.members()})
        elif call.path == "/v1/leases":
            ttl = float(call.query["ttl"])
            self._write(call, lambda: {"id": self._model.grant(ttl)})
        elif call.path.startswith("/v1/watch/"):
            self._watch(call)
        elif call.path.startswith("/v1/kv/"):
            self._kv(call)
        else:
            call.answer({}, 404)

    def _kv(self, call: httpd.HttpCall) -> None:
        key = urllib.parse.unquote(call.path[len("/v1/kv/") :])
        if call.method == "GET":
            call.answer(_row(self._model.get(key)))
            return
        expect = int(call.query["expect"])
        lease = call.query.get("lease", "")
        value = call.body.decode()
        self._write(
            call, lambda: _row(self._model.put(key, value, expect, lease))
        )

    def _write(
        self, call: httpd.HttpCall, write: Callable[[], dict[str, Any] | None]
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
        if row is None:
            call.answer({}, 409)
        else:
            call.answer(row)

    def _watch(self, call: httpd.HttpCall) -> None:
        key = urllib.parse.unquote(call.path[len("/v1/watch/") :])
        self._model.watch(
            key,
            int(call.query["after"]),
            min(30.0, float(call.query["wait"])),
            lambda stored: self._watched(call, stored),
        )

    def _watched(
        self, call: httpd.HttpCall, stored: platform_model.StoredValue
    ) -> None:
        if self._model.faults.down:
            call.drop()
            return
        call.answer(_row(stored))


def _row(stored: platform_model.StoredValue | None) -> dict[str, Any] | None:
    if stored is None:
        return None
    return {"value": stored.value, "revision": stored.revision}


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
