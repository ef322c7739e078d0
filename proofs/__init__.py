"""Proofs of the promises with real processes and induced failures."""
