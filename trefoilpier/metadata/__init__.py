"""Single-key access to the shared store, and the membership list."""

from trefoilpier.metadata.keyed import KeyValueStoreAdapter
from trefoilpier.metadata.store import (
    Entry,
    Store,
    VmRecord,
    VmState,
)

__all__ = [
    "Entry",
    "KeyValueStoreAdapter",
    "Store",
    "VmRecord",
    "VmState",
]
