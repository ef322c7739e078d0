"""Serves callers here, or relays them to a VM that gathers."""

from collections.abc import Callable

from trefoilpier import base, fleet, forward, http1

# With no gatherer for so long, this VM asks the leafs itself.
_FALLBACK_DELAY_S = 1.5
_FALLBACK_CHECK_PAUSE_S = 0.5


class Relay:
    """The parts that relay requests."""

    __slots__ = ("_wire", "engine", "version", "watch")

    def __init__(
        self,
        *,
        engine: forward.ForwardEngine,
        wire: fleet.RelayWire,
        watch: fleet.GathererWatch,
    ) -> None:
        self._wire = wire
        self.engine = engine
        self.watch = watch
        self.version = 0

    def update_version(self, version: int) -> None:
        """Takes the version that a gatherer has in force."""
        if version <= self.version:
            return
        self.version = version
        self._wire.min_version = max(self._wire.min_version, version)
        self.engine.table = fleet.relay_table(version)


class RequestDispatcher(http1.RequestHandler):
    """Takes callers' requests."""

    __slots__ = (
        "_no_gatherer_since",
        "_clock",
        "_engine",
        "_gathers",
        "_store_sync_started",
        "_relay",
        "_start_store_sync",
        "_started",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        engine: forward.ForwardEngine,
        relay: Relay,
        gathers: Callable[[], bool],
        start_store_sync: Callable[[], None],
    ) -> None:
        """Joins both ways to serve.

        Args:
            clock: The clock.
            engine: Asks the leafs.
            relay: Asks VMs that gather.
            gathers: Whether this VM is one of them.
            start_store_sync: Starts to follow the store; called once, when no
                gatherer answers.
        """
        self._clock = clock
        self._engine = engine
        self._relay = relay
        self._gathers = gathers
        self._start_store_sync = start_store_sync
        self._started = False
        self._store_sync_started = False
        self._no_gatherer_since = 0.0

    def start(self) -> None:
        """Looks for gatherers; does nothing the second time."""
        if self._started:
            return
        self._started = True
        self._no_gatherer_since = self._clock.monotonic()
        self._relay.watch.start()
        self._check_fallback()

    def _check_fallback(self) -> None:
        """Follows the store itself once no gatherer has answered for long."""
        now = self._clock.monotonic()
        if self._relay.watch.usable or self._gathers():
            self._no_gatherer_since = now
        elif (
            not self._store_sync_started
            and now - self._no_gatherer_since > _FALLBACK_DELAY_S
        ):
            self._store_sync_started = True
            self._start_store_sync()
        self._clock.call_later(_FALLBACK_CHECK_PAUSE_S, self._check_fallback)

    @property
    def relays(self) -> bool:
        """Whether requests go to VMs that gather."""
        return (
            self._started and self._relay.watch.usable and not self._gathers()
        )

    def handle(self, exchange: http1.Exchange) -> None:
        """Serves or relays a request."""
        if self.relays:
            self._relay.engine.handle(exchange)
        else:
            self._engine.handle(exchange)

    def rejected(self, status: int, reason: str) -> None:
        """Logs input that is no proper request."""
        self._engine.rejected(status, reason)
