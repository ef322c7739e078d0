"""Decoding of the store's items; malformed ones are logged and left out."""

from trefoilpier import base, fleet, platform, replicas, store

_MALFORMED_KEYS_MAX = 200  # Limit on remembered malformed leaf entries.


class ItemDecoder:
    """Decodes items, and logs each malformed leaf entry once."""

    __slots__ = ("_log", "_malformed_revision_by_key")

    def __init__(self, *, log: base.EventLog) -> None:
        """Create the decoder.

        Args:
            log: Log of malformed items.
        """
        self._log = log
        self._malformed_revision_by_key: dict[str, int] = {}

    def decode_vm(self, item: store.Item) -> list[fleet.VmRecord]:
        """Return the VM's record in a list, or an empty list."""
        decoded = fleet.decode_vm_record(item.value)
        if decoded.is_ok():
            return [decoded.ok]
        self._log.emit(
            base.Event.ENTRY_MALFORMED, key=item.key, problem=decoded.error
        )
        return []

    def decode_leaf(self, item: store.Item) -> list[replicas.LeafEntry]:
        """Return the leaf's entry in a list, or an empty list."""
        decoded = platform.decode_leaf(
            item.key, item.value, revision=item.revision
        )
        if decoded.is_ok():
            return [decoded.ok]
        if item.key not in self._malformed_revision_by_key:
            if len(self._malformed_revision_by_key) >= _MALFORMED_KEYS_MAX:
                self._malformed_revision_by_key.clear()
            self._malformed_revision_by_key[item.key] = item.revision
            self._log.emit(
                base.Event.ENTRY_MALFORMED,
                key=item.key,
                revision=item.revision,
                problem=decoded.error,
            )
        return []
