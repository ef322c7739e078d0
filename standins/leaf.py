"""Leaves over HTTP: ``python -m standins.leaf --help``.

One process serves one or more leaves, each on its own port. Faults are
switched by ``POST /v1/faults`` on the control port.
"""

import argparse
import dataclasses
import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import protocol, reactor

from standins import httpd, leaf_model
from trefoilpier import base


class LeafServer(protocol.Factory):
    """Serves one leaf model over HTTP."""

    noisy = False

    def __init__(
        self,
        *,
        model: leaf_model.LeafModel,
        rng: random.Random,
        connect_s: float,
    ) -> None:
        """Prepares a server.

        Args:
            model: The leaf's behaviour.
            rng: Seeded random numbers.
            connect_s: Seconds that a new connection takes to be of use.
        """
        self.model = model
        self._connect_s = connect_s
        self.accepted = 0
        self.refused = 0
        self.peak = 0
        self.frozen = False
        self._random = rng
        self._open: set[httpd.HttpProtocol] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Accepts a connection within the leaf's limit."""
        if len(self._open) >= self.model.setup.connections:
            self.refused += 1
            return None
        self.accepted += 1
        made = httpd.HttpProtocol(
            handle=self._handle, on_lost=self._lost, wait_s=self._connect_s
        )
        self._open.add(made)
        self.peak = max(self.peak, len(self._open))
        return made

    def mute_open(self) -> None:
        """Makes every connection that is open now silent for good."""
        for connection in self._open:
            connection.muted = True

    def connection_count(self) -> int:
        """Returns how many connections are open."""
        return len(self._open)

    def _lost(self, connection: httpd.HttpProtocol) -> None:
        self._open.discard(connection)

    def _handle(self, call: httpd.HttpCall) -> None:
        if self.frozen:
            return
        if call.path == "/v1/state":
            call.answer(self.model.report())
        elif call.path == "/v1/cancel":
            self.model.cancel(orjson.loads(call.body)["id"])
            call.answer({})
        elif call.path == "/v1/call":
            self._call(call)
        elif call.path == "/v1/calls":
            self._calls(call)
        else:
            call.answer({}, 404)

    def _call(self, call: httpd.HttpCall) -> None:
        if self.model.faults.mute_calls:
            call.connection.muted = True
        row = orjson.loads(call.body)
        self.model.call(row, lambda answer: self._answered(call, answer))

    def _calls(self, call: httpd.HttpCall) -> None:
        """Runs several calls of one request; answers once all have ended.

        Only the bench uses it, to measure what carrying calls together gives.
        """
        rows = orjson.loads(call.body)
        answers: list[dict[str, Any]] = []

        def collect(answer: dict[str, Any]) -> None:
            answers.append(answer)
            if len(answers) == len(rows):
                call.answer(answers)

        for row in rows:
            self.model.call(row, collect)

    def _answered(self, call: httpd.HttpCall, answer: dict[str, Any]) -> None:
        if self._random.random() < self.model.faults.lose_answers:
            call.drop()
            return
        call.answer(answer)
        if self.model.faults.twice:
            call.connection.write(200, orjson.dumps(answer))


class ControlServer:
    """Switches faults and shows ledgers."""

    def __init__(self, *, server_by_leaf: dict[str, LeafServer]) -> None:
        self._server_by_leaf = server_by_leaf

    def handle(self, call: httpd.HttpCall) -> None:
        """Answers one control request."""
        page = {
            "/v1/faults": self._set_faults,
            "/v1/setup": self._set_setup,
            "/v1/ledger": self._ledger,
            "/v1/leaves": self._leaves,
        }.get(call.path)
        if page is None:
            call.answer({"error": "no such page"}, 404)
            return
        try:
            call.answer(page(call))
        except (KeyError, TypeError, ValueError) as bad:
            call.answer({"error": repr(bad)}, 400)

    def _chosen(self, call: httpd.HttpCall) -> list[LeafServer]:
        """Returns the leaves that ``?leaf=`` names, or all."""
        names = call.query.get("leaf", "")
        if not names:
            return list(self._server_by_leaf.values())
        return [self._server_by_leaf[name] for name in names.split(",")]

    def _set_faults(self, call: httpd.HttpCall) -> dict[str, Any]:
        row = orjson.loads(call.body)
        mute_open = row.pop("mute_open", False)
        frozen = row.pop("frozen", None)
        for server in self._chosen(call):
            server.model.faults = dataclasses.replace(
                server.model.faults, **row
            )
            if mute_open:
                server.mute_open()
            if frozen is not None:
                server.frozen = frozen
            if row.get("cold_s"):
                server.model.restart()
        return {}

    def _set_setup(self, call: httpd.HttpCall) -> dict[str, Any]:
        row = orjson.loads(call.body)
        if "shards" in row:
            row["shards"] = set(row["shards"])
        for server in self._chosen(call):
            for name, value in row.items():
                setattr(server.model.setup, name, value)
        return {}

    def _ledger(self, call: httpd.HttpCall) -> dict[str, Any]:
        key_only = call.query.get("keys") == "1"
        return {
            server.model.setup.id: [
                dataclasses.asdict(run)
                for run in server.model.ledger
                if run.key or not key_only
            ]
            for server in self._chosen(call)
        }

    def _leaves(self, call: httpd.HttpCall) -> dict[str, Any]:
        return {
            server.model.setup.id: {
                "open": server.connection_count(),
                "peak": server.peak,
                "refused": server.refused,
                "runs": len(server.model.ledger),
                "counts": server.model.count_by_status,
                "report": server.model.report(),
            }
            for server in self._chosen(call)
        }


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m standins.leaf", description=__doc__
    )
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--control", type=int, required=True)
    parser.add_argument(
        "--leaf",
        action="append",
        required=True,
        metavar="ID:PORT:SHARD[,SHARD]",
    )
    parser.add_argument("--epoch", type=int, default=1)
    parser.add_argument("--versions", default="1")
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--queue", type=int, default=4)
    parser.add_argument("--connections", type=int, default=25)
    parser.add_argument("--connect-ms", type=float, default=0.0)
    parser.add_argument("--median-ms", type=float, default=5.0)
    parser.add_argument("--sigma", type=float, default=0.3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--ledger", help="file that keeps runs with a key beyond a kill"
    )
    return parser.parse_args()


def _ledger_writer(path: str) -> Callable[[leaf_model.Run], None]:
    """Returns a function that appends runs with a key to a file."""
    out = open(path, "ab", buffering=0)  # noqa: SIM115 - open for life

    def write(run: leaf_model.Run) -> None:
        if run.key:
            out.write(orjson.dumps(dataclasses.asdict(run)) + b"\n")

    return write


def main() -> None:
    """Serves the leaves until the process is ended."""
    args = _parse_args()
    clock = base.ReactorClock(reactor=reactor)
    server_by_leaf = {}
    for text in args.leaf:
        leaf_id, port, shards = text.split(":")
        rng = random.Random(f"{args.seed}|{leaf_id}")
        setup = leaf_model.LeafSetup(
            id=leaf_id,
            shards={int(shard) for shard in shards.split(",")},
            epoch=args.epoch,
            versions=[int(each) for each in args.versions.split(",")],
            slots=args.slots,
            queue=args.queue,
            connections=args.connections,
            median_s=args.median_ms / 1000,
            sigma=args.sigma,
        )
        model = leaf_model.LeafModel(setup=setup, clock=clock, rng=rng)
        if args.ledger:
            model.on_run = _ledger_writer(args.ledger)
        server = LeafServer(
            model=model, rng=rng, connect_s=args.connect_ms / 1000
        )
        server_by_leaf[leaf_id] = server
        reactor.listenTCP(int(port), server, interface=args.host)
    control = ControlServer(server_by_leaf=server_by_leaf)
    reactor.listenTCP(
        args.control,
        httpd.HttpFactory(handle=control.handle),
        interface=args.host,
    )
    reactor.run()


if __name__ == "__main__":
    main()
