"""``trefoilpierd``, the daemon of an entry VM."""

import gc
import pathlib
import random
import signal
import sys
import time
from typing import Any

from twisted.internet import error, reactor

from trefoilpier import (
    base,
    board,
    caller,
    config,
    leaf,
    membership,
    metadata,
    peer,
    platform,
)
from trefoilpier.node import node, shutdown

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_SETTINGS = 3
EXIT_CANNOT_LISTEN = 4
_USAGE = "usage: trefoilpierd SETTINGS.ini"


class Daemon:
    """The sockets, clock and log of a `node.Node`, and its lifecycle."""

    __slots__ = (
        "_caller_port",
        "_clock",
        "_log",
        "_network",
        "_node",
        "_settings",
    )

    def __init__(self, *, settings: config.NodeSettings) -> None:
        self._settings = settings
        self._clock = base.ReactorClock(reactor=reactor)
        self._log = base.LoguruEventLog(level=settings.log_level)
        self._network = peer.TwistedPeerNetwork(
            reactor=reactor,
            clock=self._clock,
            log=self._log,
            own_id=settings.node_id,
            key=settings.peer_key,
        )
        self._node = self._make_node()
        self._caller_port: Any = None

    def _make_node(self) -> node.Node:
        settings = self._settings
        rng = random.Random()
        own_record = board.NodeRecord(
            id=settings.node_id,
            host=settings.host,
            peer_port=settings.peer_port,
            caller_port=settings.caller_port,
            region=settings.region,
            zone=settings.zone,
            incarnation=time.time_ns() // 1_000_000,
        )
        dependencies = node.NodeDependencies(
            clock=self._clock,
            rng=rng,
            log=self._log,
            leaf_transport=leaf.HttpLeafTransport(
                reactor=reactor, clock=self._clock, rng=rng, log=self._log
            ),
            network=self._network,
            store=metadata.KeyValueStoreAdapter(
                shared_store=platform.PlatformStore(
                    reactor=reactor,
                    clock=self._clock,
                    host=settings.platform_host,
                    port=settings.platform_port,
                )
            ),
            membership_timing=membership.MembershipTiming(),
            queries_max=settings.queries_max,
            seeds=tuple(
                peer.PeerAddress(host=host, port=port)
                for host, port in settings.peer_seeds
            ),
        )
        return node.Node(own_record=own_record, dependencies=dependencies)

    def start(self) -> None:
        """Listen on all ports and start the node.

        Raises:
            CannotListenError: A port cannot be bound.
        """
        settings = self._settings
        self._network.listen(settings.host, settings.peer_port)
        root = caller.make_root_resource(
            node_id=settings.node_id,
            blackboard=self._node.board,
            placement=self._node.placement,
            runner=self._node.runner,
            clock=self._clock,
            log=self._log,
            ready=self._node.ready,
        )
        site = caller.BoundedSite(
            root,
            bounds=caller.CallerBounds(
                max_body_bytes=settings.caller_body_max,
                max_connections=settings.caller_connections_max,
                idle_timeout_s=settings.caller_idle.total_seconds(),
            ),
            clock=self._clock,
            log=self._log,
        )
        self._caller_port = reactor.listenTCP(
            settings.caller_port, site, interface=settings.host
        )
        self._node.start()
        shutdown.GracefulShutdown(
            node=self._node,
            clock=self._clock,
            drain_lag=settings.drain_lag.total_seconds(),
            close=self._close,
        ).install(reactor, signal.SIGTERM, signal.SIGINT)

    def _close(self) -> None:
        """Stop listening, then stop the reactor."""
        self._caller_port.stopListening()
        self._node.stop()
        self._network.stop()
        self._clock.call_later(0.1, reactor.stop)


def run() -> None:
    """Read the settings, run the daemon and exit with its status."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print(_USAGE, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings_result = config.read_settings(pathlib.Path(sys.argv[1]))
    if settings_result.is_error():
        for finding in settings_result.error:
            code = base.ResultCode.SETTINGS_INVALID
            print(f"{code} {finding}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    settings = settings_result.ok
    base.configure_logging(style=settings.log_style, level=settings.log_level)
    base.observe_twisted(base.LoguruEventLog(level=settings.log_level))
    daemon = Daemon(settings=settings)
    try:
        daemon.start()
    except error.CannotListenError as listen_error:
        print(f"trefoilpierd: {listen_error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    # Objects created by imports live as long as the process, so the garbage
    # collector need not scan them again.
    gc.collect()
    gc.freeze()
    reactor.run()
    sys.exit(EXIT_OK)


if __name__ == "__main__":
    run()
