"""Interface of the key-value store that all VMs share."""

from trefoilpier.store.api import Change, Changes, Item, KeyValueStore, Snapshot

__all__ = ["Change", "Changes", "Item", "KeyValueStore", "Snapshot"]
