"""The platform's key-value store and membership list."""

from trefoilpier.metadata.http_store import BytesProducer, HttpStore
from trefoilpier.metadata.store import (
    Entry,
    Store,
    VmRecord,
    VmState,
)

__all__ = [
    "BytesProducer",
    "Entry",
    "HttpStore",
    "Store",
    "VmRecord",
    "VmState",
]
