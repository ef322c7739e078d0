"""Numbered log events, all listed in ``docs/EVENTS.md``."""

import abc
import enum
from typing import Any


class Event(enum.Enum):
    """The log events, each with its number, level and title."""

    STARTED = ("TPE-1001", "INFO", "node started")
    READY = ("TPE-1002", "INFO", "node ready")
    DRAIN_STARTED = ("TPE-1003", "INFO", "drain started")
    STOPPED = ("TPE-1004", "INFO", "node stopped")
    SETTINGS_READ = ("TPE-1005", "INFO", "settings read")
    LOOP_STALLED = ("TPE-1006", "WARNING", "event loop stalled")
    QUERY_DECIDED = ("TPE-2001", "INFO", "query routed")
    QUERY_REFUSED = ("TPE-2002", "INFO", "query refused")
    SUBQUERY_DECIDED = ("TPE-2003", "INFO", "sub-query gathered")
    SNAPSHOT_RESTARTED = ("TPE-2004", "WARNING", "query restarted")
    PLACEMENT_CHANGED = ("TPE-2005", "INFO", "block placement changed")
    REQUEST_ENDED = ("TPE-2006", "INFO", "request ended")
    CALLER_LEFT = ("TPE-2007", "INFO", "caller left")
    LEAF_CALL_LOST = ("TPE-2008", "INFO", "leaf call lost")
    LEAF_UP = ("TPE-3001", "INFO", "leaf up")
    LEAF_DOWN = ("TPE-3002", "WARNING", "leaf down")
    LEAF_DRAINING = ("TPE-3003", "INFO", "leaf draining")
    LEAF_SILENT = ("TPE-3004", "WARNING", "silent connection retired")
    LEAF_WRONG_ANSWER = ("TPE-3005", "WARNING", "leaf answer rejected")
    LEAF_RATE_LIMIT = ("TPE-3006", "INFO", "leaf limits its rate")
    SERVICES_LOST = ("TPE-3007", "WARNING", "services out of contact")
    LEAF_ENDED = ("TPE-3008", "WARNING", "leaf ended while it ran requests")
    QUARANTINE_BARRED = ("TPE-3009", "WARNING", "request barred")
    QUARANTINE_RELEASED = ("TPE-3010", "INFO", "bar of a request has ended")
    QUARANTINE_CLEARED = (
        "TPE-3011",
        "INFO",
        "evidence against request cleared",
    )
    ZONE_EVACUATED = ("TPE-3012", "WARNING", "zone evacuated")
    ZONE_TAKEN_BACK = ("TPE-3013", "INFO", "zone taken back")
    LEAF_COLD = ("TPE-3014", "INFO", "leaf cold")
    CANARY_MODE = (
        "TPE-3018",
        "WARNING",
        "unknown requests try one shard first",
    )
    REQUEST_SUSPECTED = (
        "TPE-3019",
        "WARNING",
        "gathered request suspected early",
    )
    LIMIT_OWNER = ("TPE-3020", "INFO", "state of shared limits changed")
    CONFIG_IN_FORCE = ("TPE-4001", "INFO", "configuration in force")
    CONFIG_REJECTED = ("TPE-4002", "ERROR", "configuration rejected")
    CONFIG_STALE_READ = ("TPE-4003", "WARNING", "older version ignored")
    STORE_DOWN = ("TPE-4004", "WARNING", "store unavailable")
    STORE_UP = ("TPE-4005", "INFO", "store available")
    WATCHER_ROLE = ("TPE-4006", "INFO", "store watcher role changed")
    ENTRY_MALFORMED = ("TPE-4007", "WARNING", "store entry cannot be read")
    TAKEN_FROM_PEER = ("TPE-4008", "INFO", "entries taken from a peer")
    STORE_RESTORED = ("TPE-4009", "WARNING", "store restored from a copy")
    ACCOUNTS_CONFIRMED = ("TPE-4010", "WARNING", "accounts confirmed or not")
    CHANGES_MISSED = ("TPE-4011", "WARNING", "changes of the store missed")
    NODE_JOINED = ("TPE-5001", "INFO", "node joined")
    NODE_SUSPECTED = ("TPE-5002", "WARNING", "node suspected")
    NODE_DEAD = ("TPE-5003", "WARNING", "node dead")
    NODE_LEAVING = ("TPE-5004", "INFO", "node leaving")
    PEER_CONNECTED = ("TPE-5005", "DEBUG", "peer connected")
    PEER_LOST = ("TPE-5006", "INFO", "peer lost")
    PEER_REJECTED = ("TPE-5007", "WARNING", "peer frame rejected")
    CLAIM_MADE = ("TPE-6001", "INFO", "idempotency key claimed")
    CLAIM_REFUSED = ("TPE-6002", "INFO", "idempotency key not claimed")
    CLAIM_UNSETTLED = ("TPE-6003", "WARNING", "claim outcome not recorded")
    CALLER_REJECTED = ("TPE-7001", "INFO", "caller input rejected")
    UNHANDLED = ("TPE-9001", "ERROR", "unhandled error")
    LINES_DROPPED = ("TPE-9002", "WARNING", "lines dropped")

    @property
    def number(self) -> str:
        """The event number used in logs and documentation.

        >>> Event.STARTED.number
        'TPE-1001'
        """
        return self.value[0]

    @property
    def level(self) -> str:
        """The loguru level name."""
        return self.value[1]

    @property
    def title(self) -> str:
        """The human-readable title."""
        return self.value[2]


class EventLog(abc.ABC):
    """An interface for logging events."""

    __slots__ = ()

    @abc.abstractmethod
    def emit(self, event: Event, **fields: Any) -> None:
        """Log one event with its fields."""


class NullEventLog(EventLog):
    """An event log that discards every event.

    >>> NullEventLog().emit(Event.STARTED, node="n1")
    """

    __slots__ = ()

    def emit(self, event: Event, **fields: Any) -> None:
        """Discard the event."""
