"""Dispatch of callers' requests: served locally or relayed to a gatherer.

A gatherer relays too while it has lost contact with services that a peer
reaches.
"""

from collections.abc import Callable

from trefoilpier import base, fleet, forward, http1

# After this time without a gatherer that goes on, the VM starts to follow the
# store. It sends requests to leaves itself once none is left.
_FALLBACK_DELAY_S = 1.5
_FALLBACK_CHECK_PAUSE_S = 0.5


class Relay:
    """Components of the relay path.

    Attributes:
        engine: Engine that forwards requests to gatherers.
        version: Highest version of the routes reported by a gatherer.
        watch: Monitor of the gatherers.
    """

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

    def begin_stop(self, times: forward.StopTimes) -> None:
        """Tell gatherers from now on when this VM ends."""
        clock = self.engine.clock
        self._wire.get_ends_in_s = lambda: times.answer_by - clock.monotonic()
        self.engine.begin_stop(times, estimates_end=False)

    def update_version(self, version: int) -> None:
        """Update the version of the routes from a gatherer's report."""
        if version <= self.version:
            return
        self.version = version
        self._wire.min_version = max(self._wire.min_version, version)
        self.engine.table = fleet.relay_table(version)


class RequestDispatcher(http1.RequestHandler):
    """Handler of callers' requests; serves or relays each one."""

    __slots__ = (
        "_no_gatherer_since",
        "_clock",
        "_detour",
        "_engine",
        "_is_gatherer",
        "_store_sync_started",
        "_reach",
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
        detour: Relay,
        reach: fleet.ServiceReach,
        is_gatherer: Callable[[], bool],
        start_store_sync: Callable[[], None],
    ) -> None:
        """Initialize the dispatcher.

        Args:
            clock: Source of time and timers.
            engine: Engine that forwards requests to leaves.
            relay: Relay path to gatherers, for a VM that does not gather.
            detour: Relay path to peers, for a gatherer.
            reach: Services that this VM reaches.
            is_gatherer: Returns whether this VM is a gatherer.
            start_store_sync: Starts to follow the store; called once, if no
                gatherer becomes usable.
        """
        self._clock = clock
        self._engine = engine
        self._relay = relay
        self._detour = detour
        self._reach = reach
        self._is_gatherer = is_gatherer
        self._start_store_sync = start_store_sync
        self._started = False
        self._store_sync_started = False
        self._no_gatherer_since = 0.0

    def start(self) -> None:
        """Start discovery of gatherers; further calls have no effect."""
        if self._started:
            return
        self._started = True
        self._no_gatherer_since = self._clock.monotonic()
        self._relay.watch.start()
        self._check_fallback()

    def _check_fallback(self) -> None:
        """Start to follow the store if no gatherer has been usable for long."""
        now = self._clock.monotonic()
        if self._relay.watch.lasting or self._is_gatherer():
            self._no_gatherer_since = now
        elif (
            not self._store_sync_started
            # A store that fails here would fail there as well.
            and not self._relay.watch.read_failed
            and now - self._no_gatherer_since > _FALLBACK_DELAY_S
        ):
            self._store_sync_started = True
            self._start_store_sync()
        self._clock.call_later(_FALLBACK_CHECK_PAUSE_S, self._check_fallback)

    @property
    def is_relaying(self) -> bool:
        """Whether requests are relayed to gatherers."""
        return (
            self._started
            and self._relay.watch.usable
            and not self._is_gatherer()
        )

    def _needs_detour(self, request: http1.HttpRequest) -> bool:
        """Return whether a peer reaches more of what the request needs."""
        lost_services = self._reach.lost_services
        if not lost_services:
            return False
        if self._detour.watch.lowest_lost_count >= len(lost_services):
            return False
        route = self._engine.find_route(request)
        return route is not None and not lost_services.isdisjoint(
            route.service_names
        )

    def handle(self, exchange: http1.Exchange) -> None:
        """Serve the request locally or relay it."""
        if self.is_relaying:
            self._relay.engine.handle(exchange)
        elif self._needs_detour(exchange.request):
            self._detour.engine.handle(exchange)
        else:
            self._engine.handle(exchange)

    def rejected(self, status: int, reason: str) -> None:
        """Log a malformed request."""
        self._engine.rejected(status, reason)
