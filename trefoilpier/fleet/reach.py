"""Which services a VM reaches."""

from collections.abc import Callable

from trefoilpier import base, replicas

_CHECK_PAUSE_S = 0.1  # A small part of a caller's time.
# One leaf may be down by itself. If more are out of contact, the others of
# their service may be so too without a call that shows it.
_DOUBTFUL_MIN = 2


class ServiceReach:
    """Services of whose leaves this VM reaches none.

    A VM that has lost its path to the leaves finds all services lost; if the
    leaves of a service are down, all VMs find it lost.

    Attributes:
        lost_services: The services that are lost.
    """

    __slots__ = (
        "_clock",
        "_get_services",
        "_log",
        "_on_change",
        "_registry",
        "lost_services",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        registry: replicas.LeafRegistry,
        get_services: Callable[[], frozenset[str]],
        on_change: Callable[[], None],
    ) -> None:
        """Create it with all services reached; `start` begins the checks.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            registry: The leaves.
            get_services: Returns the services that the routes use.
            on_change: Called when `lost_services` has changed.
        """
        self._clock = clock
        self._log = log
        self._registry = registry
        self._get_services = get_services
        self._on_change = on_change
        self.lost_services: frozenset[str] = frozenset()

    def start(self) -> None:
        """Check periodically until the process ends."""
        self._check()
        self._clock.call_later(_CHECK_PAUSE_S, self.start)

    def _is_lost(self, service: str) -> bool:
        """Return whether a service is lost; check its leaves if in doubt."""
        lost_count = self._registry.count_out_of_contact(service)
        if not lost_count:
            return False
        if self._registry.is_out_of_contact(service):
            return True
        if lost_count >= _DOUBTFUL_MIN:
            self._registry.check_contact(service)
        return False

    def _check(self) -> None:
        lost = frozenset(
            service
            for service in self._get_services()
            if self._is_lost(service)
        )
        if lost == self.lost_services:
            return
        self.lost_services = lost
        self._log.emit(base.Event.SERVICES_LOST, lost=sorted(lost))
        self._on_change()
