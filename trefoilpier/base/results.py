"""Numbered result codes and the failure type that carries one.

A function whose failure must be reported to the caller returns an
``expression.Result`` with a `Failure` as its error. All codes are listed in
``docs/RESULT-CODES.md``.
"""

import datetime
import enum
from dataclasses import dataclass


class Ran(enum.StrEnum):
    """Whether a request ran on a backend server."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class ResultCode(enum.StrEnum):
    """The outcomes reported to callers, peers and operators."""

    COMPLETE = "TPR-1000"
    PARTIAL = "TPR-1001"
    REPLAYED = "TPR-1002"
    NOT_JSON = "TPR-2001"
    BODY_TOO_LARGE = "TPR-2002"
    UNKNOWN_SERVICE = "TPR-2003"
    BAD_DEADLINE = "TPR-2004"
    BAD_IDEMPOTENCY_KEY = "TPR-2005"
    NO_SUCH_PAGE = "TPR-2006"
    SLOW_SENDER = "TPR-2007"
    MALFORMED_HTTP = "TPR-2008"
    KEY_REUSED = "TPR-2009"
    NO_ROUTE = "TPR-2010"
    UNKNOWN_KEY = "TPR-2011"
    OVERLOADED = "TPR-3001"
    DEADLINE_TOO_SHORT = "TPR-3002"
    DRAINING = "TPR-3003"
    NO_CONFIGURATION = "TPR-3004"
    STORE_UNAVAILABLE = "TPR-3005"
    CONNECTION_LIMIT = "TPR-3006"
    QUARANTINED = "TPR-3007"
    QUOTA_EXCEEDED = "TPR-3008"
    ACCOUNTS_NOT_CONFIRMED = "TPR-3009"
    NO_LEAF = "TPR-4001"
    BELOW_MINIMUM_COVERAGE = "TPR-4002"
    SNAPSHOT_GONE = "TPR-4003"
    DEADLINE_PASSED = "TPR-4004"
    LEAF_FAILED = "TPR-4005"
    OUTCOME_UNKNOWN = "TPR-5001"
    KEY_IN_PROGRESS = "TPR-5002"
    PUBLISHED = "TPR-6001"
    PUBLISH_LOST = "TPR-6002"
    PUBLISH_UNKNOWN = "TPR-6003"
    CONFIG_INVALID = "TPR-6004"
    VALUE_TOO_LARGE = "TPR-6005"
    STORE_CONFLICT = "TPR-6006"
    STORE_ANSWER_LOST = "TPR-6007"
    SETTINGS_INVALID = "TPR-7001"
    PEER_PROTOCOL = "TPR-7002"
    NOT_GATHERER = "TPR-7003"


@dataclass(slots=True, kw_only=True, frozen=True)
class Failure:
    """The reason why an operation failed.

    Attributes:
        code: The result code.
        detail: A human-readable description.
        ran: Whether the request ran on a backend server.
        retry_after: Delay before a retry is worthwhile; None if unknown.
    """

    code: ResultCode
    detail: str = ""
    ran: Ran = Ran.NO
    retry_after: datetime.timedelta | None = None
