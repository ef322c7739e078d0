"""What a caller asks and what it is told."""

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
    base.ResultCode.SLOW_SENDER: 408,
    base.ResultCode.MALFORMED_HTTP: 400,
    base.ResultCode.KEY_REUSED: 422,
    base.ResultCode.KEY_IN_PROGRESS: 409,
    base.ResultCode.DEADLINE_PASSED: 504,
    base.ResultCode.OUTCOME_UNKNOWN: 504,
}
_HTTP_STATUS_OTHERWISE = 503


@dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """A caller's request, read and bounded.

    Attributes:
        service: Name of the service.
        query: The body as JSON text.
        route: Picks the shard of a ``single`` service.
        limit: Number of hits that a ``top`` merge keeps.
        caller: Who asks, for fairness.
        deadline: Monotonic instant, or None for the service's own.
        key: Idempotency key, or empty.
    """

    service: str
    query: bytes
    route: str
    limit: int
    caller: str
    deadline: float | None = None
    key: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Coverage:
    """How much of the pinned shard map is in an answer."""

    answered: int
    total: int
    reason_by_missing: dict[int, routing.MissReason] = field(
        default_factory=dict
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """The final answer to one request.

    Attributes:
        code: The numbered result.
        detail: One sentence for a person; empty for a plain answer.
        result: The merged result, or None.
        snapshot: What the result was made from, or None.
        config_version: The configuration in force.
        coverage: Shards in the result, or None when none were asked.
        ran: Whether the request ran at a leaf.
        retry_after: When it is worth asking again, if that is known.
        calls: Leaf calls made, for the log.
        extra: Hedges and retries among them, for the log.
        choices: The leaves that answered, compressed, for the log.
    """

    code: base.ResultCode
    detail: str = ""
    result: Any = None
    snapshot: routing.Snapshot | None = None
    config_version: int = 0
    coverage: Coverage | None = None
    ran: base.Ran = base.Ran.NO
    retry_after: datetime.timedelta | None = None
    calls: int = 0
    extra: int = 0
    choices: str = ""

    @property
    def http_status(self) -> int:
        """The HTTP status that goes with the code.

        >>> Outcome(code=base.ResultCode.OVERLOADED).http_status
        503
        """
        return _HTTP_STATUS_BY_CODE.get(self.code, _HTTP_STATUS_OTHERWISE)

    @property
    def retry_after_ms(self) -> int | None:
        """Milliseconds after which to ask again, or None."""
        if self.retry_after is None:
            return None
        return max(1, round(self.retry_after.total_seconds() * 1000))

    def to_json(self) -> bytes:
        """Returns the body that the caller gets."""
        row: dict[str, Any] = {
            "code": self.code,
            "result": self.result,
            "config_version": self.config_version,
            "ran": self.ran,
        }
        if self.detail:
            row["detail"] = self.detail
        if self.snapshot is not None:
            row["snapshot"] = {
                "group": self.snapshot.group,
                "epoch": self.snapshot.epoch,
                "index_version": self.snapshot.index_version,
                "config_version": self.snapshot.config_version,
            }
        if self.coverage is not None:
            reasons = self.coverage.reason_by_missing
            row["coverage"] = {
                "answered": self.coverage.answered,
                "total": self.coverage.total,
                "missing": {str(s): reasons[s] for s in sorted(reasons)},
            }
        if self.retry_after is not None:
            row["retry_after_ms"] = self.retry_after_ms
        return orjson.dumps(row)

    @classmethod
    def from_failure(
        cls, failure: base.Failure, *, config_version: int
    ) -> "Outcome":
        """Tells a caller why its request was not run."""
        return cls(
            code=failure.code,
            detail=failure.detail,
            ran=failure.ran,
            retry_after=failure.retry_after,
            config_version=config_version,
        )
