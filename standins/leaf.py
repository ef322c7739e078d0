"""Simulated leaves over HTTP: ``python -m standins.leaf --help``.

One process serves one or more leaves, each on its own port. ``POST /v1/faults``
on the control port injects faults.
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
    """HTTP server of one leaf model.

    Attributes:
        model: Behavior of the leaf.
        accepted_count: Connections accepted.
        refused_count: Connections refused at the leaf's connection limit.
        peak_connections: Highest number of connections open at once.
        frozen: Whether requests are discarded.
    """

    noisy = False

    def __init__(
        self,
        *,
        model: leaf_model.LeafModel,
        rng: random.Random,
        connect_delay_s: float,
    ) -> None:
        """Initialize the server.

        Args:
            model: Behavior of the leaf.
            rng: Seeded random number generator.
            connect_delay_s: Seconds before a new connection is read.
        """
        self.model = model
        self._connect_delay_s = connect_delay_s
        self.accepted_count = 0
        self.refused_count = 0
        self.peak_connections = 0
        self.frozen = False
        self._rng = rng
        self._open_connections: set[httpd.HttpProtocol] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Accept a connection, or refuse it at the leaf's connection limit."""
        if len(self._open_connections) >= self.model.setup.connections:
            self.refused_count += 1
            return None
        self.accepted_count += 1
        new_connection = httpd.HttpProtocol(
            handle=self._handle_request,
            on_lost=self._on_connection_lost,
            read_delay_s=self._connect_delay_s,
        )
        self._open_connections.add(new_connection)
        self.peak_connections = max(
            self.peak_connections, len(self._open_connections)
        )
        return new_connection

    def mute_open_connections(self) -> None:
        """Mute all connections that are open now, until they close."""
        for connection in self._open_connections:
            connection.muted = True

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._open_connections)

    def _on_connection_lost(self, connection: httpd.HttpProtocol) -> None:
        self._open_connections.discard(connection)

    def _handle_request(self, request: httpd.HttpRequest) -> None:
        if self.frozen:
            return
        if request.path == "/v1/state":
            request.respond(self.model.report())
        elif request.path == "/v1/cancel":
            self.model.cancel(orjson.loads(request.body)["id"])
            request.respond({})
        elif request.path == "/v1/call":
            self._handle_call(request)
        elif request.path == "/v1/calls":
            self._handle_call_batch(request)
        else:
            request.respond({}, 404)

    def _handle_call(self, request: httpd.HttpRequest) -> None:
        if self.model.faults.mute_calls:
            request.connection.muted = True
        row = orjson.loads(request.body)
        self.model.call(row, lambda reply: self._send_reply(request, reply))

    def _handle_call_batch(self, request: httpd.HttpRequest) -> None:
        """Run a batch of calls and respond when all of them have ended.

        Only the benchmarks use it, to measure the effect of batching.
        """
        rows = orjson.loads(request.body)
        replies: list[dict[str, Any]] = []

        def collect(reply: dict[str, Any]) -> None:
            replies.append(reply)
            if len(replies) == len(rows):
                request.respond(replies)

        for row in rows:
            self.model.call(row, collect)

    def _send_reply(
        self, request: httpd.HttpRequest, reply: dict[str, Any]
    ) -> None:
        if self._rng.random() < self.model.faults.lose_answers:
            request.abort()
            return
        request.respond(reply)
        if self.model.faults.twice:
            request.connection.write(200, orjson.dumps(reply))


class ControlServer:
    """Control interface: fault injection, leaf settings and run ledgers."""

    def __init__(self, *, server_by_leaf: dict[str, LeafServer]) -> None:
        self._server_by_leaf = server_by_leaf

    def handle(self, request: httpd.HttpRequest) -> None:
        """Respond to one control request."""
        handler = {
            "/v1/faults": self._update_faults,
            "/v1/setup": self._update_setup,
            "/v1/ledger": self._get_ledger,
            "/v1/leaves": self._get_leaves,
        }.get(request.path)
        if handler is None:
            request.respond({"error": "no such page"}, 404)
            return
        try:
            request.respond(handler(request))
        except (KeyError, TypeError, ValueError) as exc:
            request.respond({"error": repr(exc)}, 400)

    def _selected_servers(self, request: httpd.HttpRequest) -> list[LeafServer]:
        """Return the servers named by ``?leaf=``, or all."""
        names = request.query.get("leaf", "")
        if not names:
            return list(self._server_by_leaf.values())
        return [self._server_by_leaf[name] for name in names.split(",")]

    def _update_faults(self, request: httpd.HttpRequest) -> dict[str, Any]:
        row = orjson.loads(request.body)
        mute_open = row.pop("mute_open", False)
        frozen = row.pop("frozen", None)
        for server in self._selected_servers(request):
            server.model.faults = dataclasses.replace(
                server.model.faults, **row
            )
            if mute_open:
                server.mute_open_connections()
            if frozen is not None:
                server.frozen = frozen
            if row.get("cold_s"):
                server.model.restart()
        return {}

    def _update_setup(self, request: httpd.HttpRequest) -> dict[str, Any]:
        row = orjson.loads(request.body)
        if "shards" in row:
            row["shards"] = set(row["shards"])
        for server in self._selected_servers(request):
            for name, value in row.items():
                setattr(server.model.setup, name, value)
        return {}

    def _get_ledger(self, request: httpd.HttpRequest) -> dict[str, Any]:
        key_only = request.query.get("keys") == "1"
        return {
            server.model.setup.id: [
                dataclasses.asdict(run)
                for run in server.model.ledger
                if run.key or not key_only
            ]
            for server in self._selected_servers(request)
        }

    def _get_leaves(self, request: httpd.HttpRequest) -> dict[str, Any]:
        return {
            server.model.setup.id: {
                "open": server.connection_count(),
                "peak": server.peak_connections,
                "refused": server.refused_count,
                "runs": len(server.model.ledger),
                "counts": server.model.count_by_status,
                "report": server.model.report(),
            }
            for server in self._selected_servers(request)
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
        "--ledger",
        help="append executions that carry an idempotency key to this file",
    )
    return parser.parse_args()


def _ledger_writer(path: str) -> Callable[[leaf_model.Run], None]:
    """Return a function that appends keyed runs to a file, unbuffered.

    The file survives the process, so that executions before a kill stay known.
    """
    out = open(path, "ab", buffering=0)  # noqa: SIM115 - stays open until exit

    def write(run: leaf_model.Run) -> None:
        if run.key:
            out.write(orjson.dumps(dataclasses.asdict(run)) + b"\n")

    return write


def main() -> None:
    """Serve the leaves until the process is terminated."""
    args = _parse_args()
    clock = base.ReactorClock(reactor=reactor)
    server_by_leaf = {}
    for spec in args.leaf:
        leaf_id, port, shards = spec.split(":")
        rng = random.Random(f"{args.seed}|{leaf_id}")
        setup = leaf_model.LeafSetup(
            id=leaf_id,
            shards={int(shard) for shard in shards.split(",")},
            epoch=args.epoch,
            versions=[int(version) for version in args.versions.split(",")],
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
            model=model, rng=rng, connect_delay_s=args.connect_ms / 1000
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
