"""The stored value of a claim."""

import enum
from dataclasses import dataclass
from typing import Any

import orjson

from trefoilpier import base


class ClaimState(enum.StrEnum):
    """How far the request of a claim has come."""

    CLAIMED = "claimed"
    RELEASED = "released"
    SETTLED = "settled"


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRecord:
    """One claim as it is stored.

    Attributes:
        attempt: Token of the attempt that holds the claim.
        state: How far it has come.
        body_hash: Address of the request's body, to tell a reused key.
        deadline: Wall time in seconds after which the attempt sends nothing.
        code: Result code, once settled.
        ran: Whether it ran, once settled.
        result: The result, once settled.
    """

    attempt: str
    state: ClaimState
    body_hash: str
    deadline: float
    code: base.ResultCode | None = None
    ran: base.Ran = base.Ran.UNKNOWN
    result: Any = None

    def to_bytes(self) -> bytes:
        """Returns the stored value."""
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
        """Reads a stored value; raises ``ValueError`` or ``KeyError``."""
        row = orjson.loads(data)
        return cls(
            attempt=row["attempt"],
            state=ClaimState(row["state"]),
            body_hash=row["body"],
            deadline=row["deadline"],
            code=base.ResultCode(row["code"]) if row["code"] else None,
            ran=base.Ran(row["ran"]),
            result=row["result"],
        )
