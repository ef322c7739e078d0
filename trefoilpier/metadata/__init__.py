"""Single-key access to the shared store, and the membership list."""

from trefoilpier.metadata.keyed import KeyedStore
from trefoilpier.metadata.store import (
    Entry,
    Store,
    VmRecord,
    VmState,
)

__all__ = [
    "Entry",
    "KeyedStore",
    "Store",
    "VmRecord",
    "VmState",
]
