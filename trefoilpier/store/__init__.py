"""Interface of the key-value store that all VMs share."""

from trefoilpier.store.api import (
    WATCH_ANSWER_S,
    Change,
    Changes,
    Item,
    KeyValueStore,
    Snapshot,
)

__all__ = [
    "WATCH_ANSWER_S",
    "Change",
    "Changes",
    "Item",
    "KeyValueStore",
    "Snapshot",
]
