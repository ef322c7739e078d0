"""At-most-once execution of requests, by idempotency key claims."""

from trefoilpier.idempotency.claims import (
    Claim,
    ClaimRejection,
    ClaimResult,
    Claims,
)

__all__ = ["Claim", "ClaimResult", "Claims", "ClaimRejection"]
