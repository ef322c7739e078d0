"""Requests that run at most once, by a claim in the platform's store."""

from trefoilpier.once.claims import Claim, ClaimResult, Claims, Settled

__all__ = ["Claim", "ClaimResult", "Claims", "Settled"]
