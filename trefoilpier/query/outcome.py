"""Requests from callers and the outcomes reported to them."""

import datetime
from dataclasses import dataclass, field
from typing import Any

import orjson

from trefoilpier import base, routing

_HTTP_STATUS_BY_CODE = {
    base.ResultCode.COMPLETE: 200,
    base.ResultCode.PARTIAL: 200,
    base.ResultCode.REPLAYED: 200,
    base.ResultCode.NOT_JSON: 400,
    base.ResultCode.BODY_TOO_LARGE: 413,
    base.ResultCode.UNKNOWN_SERVICE: 404,
    base.ResultCode.BAD_DEADLINE: 400,
    base.ResultCode.BAD_IDEMPOTENCY_KEY: 400,
    base.ResultCode.NO_SUCH_PAGE: 404,
    base.ResultCode.UNKNOWN_KEY: 401,
    base.ResultCode.SLOW_SENDER: 408,
    base.ResultCode.MALFORMED_HTTP: 400,
    base.ResultCode.KEY_REUSED: 422,
    base.ResultCode.KEY_IN_PROGRESS: 409,
    base.ResultCode.DEADLINE_PASSED: 504,
    base.ResultCode.OUTCOME_UNKNOWN: 504,
}
_HTTP_STATUS_DEFAULT = 503


@dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """A validated request from a caller.

    Attributes:
        service: Name of the service.
        query: The body as JSON text.
        route: Selects the shard of a ``single`` service.
        limit: Number of hits that a ``top`` merge keeps.
        caller: Name of the caller, for fair sharing of capacity.
        deadline: Monotonic time in seconds, or None for the service's
            default.
        key: Idempotency key, or empty.
        account_key_digest: Digest of the key of a client account, or empty.
    """

    service: str
    query: bytes
    route: str
    limit: int
    caller: str
    deadline: float | None = None
    key: str = ""
    account_key_digest: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Coverage:
    """The shards that a result covers.

    Attributes:
        answered: Number of shards in the result.
        total: Number of shards that the request covers.
        reason_by_missing: Why each missing shard is not in the result.
    """

    answered: int
    total: int
    reason_by_missing: dict[int, routing.MissReason] = field(
        default_factory=dict
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """The final outcome of one request.

    Attributes:
        code: The result code.
        detail: Human-readable explanation; empty if there is none.
        result: The merged result, or None.
        snapshot: The snapshot that the result was made from, or None.
        config_version: The configuration version in use.
        coverage: The shards in the result, or None if none were queried.
        ran: Whether the request ran at a leaf.
        retry_after: How long to wait before a retry, if known.
        leaf_calls: Number of leaf calls, for the log.
        extra_calls: Number of hedges and retries, for the log.
        choices: The leaves that answered, in compact form, for the log.
    """

    code: base.ResultCode
    detail: str = ""
    result: Any = None
    snapshot: routing.Snapshot | None = None
    config_version: int = 0
    coverage: Coverage | None = None
    ran: base.Ran = base.Ran.NO
    retry_after: datetime.timedelta | None = None
    leaf_calls: int = 0
    extra_calls: int = 0
    choices: str = ""

    @property
    def http_status(self) -> int:
        """The HTTP status for the result code.

        >>> Outcome(code=base.ResultCode.OVERLOADED).http_status
        503
        """
        return _HTTP_STATUS_BY_CODE.get(self.code, _HTTP_STATUS_DEFAULT)

    @property
    def retry_after_ms(self) -> int | None:
        """Milliseconds to wait before a retry, or None."""
        if self.retry_after is None:
            return None
        return max(1, round(self.retry_after.total_seconds() * 1000))

    def to_json(self) -> bytes:
        """Return the JSON body of the response to the caller."""
        body: dict[str, Any] = {
            "code": self.code,
            "result": self.result,
            "config_version": self.config_version,
            "ran": self.ran,
        }
        if self.detail:
            body["detail"] = self.detail
        if self.snapshot is not None:
            body["snapshot"] = {
                "group": self.snapshot.group,
                "epoch": self.snapshot.epoch,
                "index_version": self.snapshot.index_version,
                "config_version": self.snapshot.config_version,
            }
        if self.coverage is not None:
            reasons = self.coverage.reason_by_missing
            body["coverage"] = {
                "answered": self.coverage.answered,
                "total": self.coverage.total,
                "missing": {str(s): reasons[s] for s in sorted(reasons)},
            }
        if self.retry_after is not None:
            body["retry_after_ms"] = self.retry_after_ms
        return orjson.dumps(body)

    @classmethod
    def from_failure(
        cls, failure: base.Failure, *, config_version: int
    ) -> "Outcome":
        """Return the outcome for a request that failed before it was run."""
        return cls(
            code=failure.code,
            detail=failure.detail,
            ran=failure.ran,
            retry_after=failure.retry_after,
            config_version=config_version,
        )
