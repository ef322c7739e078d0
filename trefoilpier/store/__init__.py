"""The store that all VMs share, as the product uses it."""

from trefoilpier.store.api import Change, Changes, Item, KeyValueStore, Snapshot

__all__ = ["Change", "Changes", "Item", "KeyValueStore", "Snapshot"]
