"""Stored form of an idempotency key claim."""

import enum
from dataclasses import dataclass
from typing import Any

import orjson

from trefoilpier import base


class ClaimState(enum.StrEnum):
    """State of the attempt that holds a claim."""

    CLAIMED = "claimed"
    RELEASED = "released"
    SETTLED = "settled"


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRecord:
    """A claim as it is stored.

    Attributes:
        attempt: Unique id of the attempt that holds the claim.
        state: State of the attempt.
        body_hash: Content hash of the request body, which detects reuse of
            the key for another request.
        deadline: Unix time in seconds after which the attempt sends nothing.
        code: Result code of a settled attempt.
        ran: Whether the request of a settled attempt ran.
        result: Result of a settled attempt.
    """

    attempt: str
    state: ClaimState
    body_hash: str
    deadline: float
    code: base.ResultCode | None = None
    ran: base.Ran = base.Ran.UNKNOWN
    result: Any = None

    def to_bytes(self) -> bytes:
        """Return the value to store, as JSON."""
        return orjson.dumps(
            {
                "attempt": self.attempt,
                "state": self.state,
                "body": self.body_hash,
                "deadline": self.deadline,
                "code": self.code,
                "ran": self.ran,
                "result": self.result,
            }
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "ClaimRecord":
        """Parse a stored value.

        Raises:
            ValueError: The value is no JSON text, or has an unknown state,
                code or ``ran``.
            KeyError: A field is missing.
        """
        fields = orjson.loads(data)
        return cls(
            attempt=fields["attempt"],
            state=ClaimState(fields["state"]),
            body_hash=fields["body"],
            deadline=fields["deadline"],
            code=base.ResultCode(fields["code"]) if fields["code"] else None,
            ran=base.Ran(fields["ran"]),
            result=fields["result"],
        )
