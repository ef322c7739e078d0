"""At-most-once execution of requests, by idempotency key claims."""

from trefoilpier.once.claims import Claim, ClaimResult, Claims, Settled

__all__ = ["Claim", "ClaimResult", "Claims", "Settled"]
