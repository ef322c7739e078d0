"""Clock, result codes, log events and hashing shared by all packages."""

from trefoilpier.base.addresses import is_ipv4_address, is_port
from trefoilpier.base.clock import (
    Clock,
    ReactorClock,
    Timer,
    VirtualClock,
    use_monotonic_timers,
)
from trefoilpier.base.events import Event, EventLog, NullEventLog
from trefoilpier.base.hashing import content_hash, rank_nodes, stable_hash
from trefoilpier.base.log import (
    LoguruEventLog,
    configure_logging,
    observe_twisted,
)
from trefoilpier.base.results import Failure, Ran, ResultCode

__all__ = [
    "is_ipv4_address",
    "is_port",
    "Clock",
    "Event",
    "EventLog",
    "Failure",
    "LoguruEventLog",
    "NullEventLog",
    "Ran",
    "ReactorClock",
    "ResultCode",
    "Timer",
    "VirtualClock",
    "configure_logging",
    "content_hash",
    "observe_twisted",
    "rank_nodes",
    "stable_hash",
    "use_monotonic_timers",
]
