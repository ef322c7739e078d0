"""Items of the store: up to where they are known, and who follows them."""

import abc
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from trefoilpier import store


@dataclass(slots=True, kw_only=True, frozen=True)
class StorePosition:
    """Up to where a VM knows the store.

    Attributes:
        era: Era of the store; None if unknown.
        revision: Revision in that era up to which all changes are known.
    """

    era: int | None = None
    revision: int = 0

    def is_later_era_than(self, era: int | None) -> bool:
        """Return whether it is of a later era than the given one.

        >>> StorePosition(era=3).is_later_era_than(2)
        True
        >>> StorePosition(era=3).is_later_era_than(None)
        False
        """
        return self.era is not None and era is not None and era < self.era


def final_changes(
    changes: Iterable[store.Change], known_by_key: Mapping[str, store.Item]
) -> list[store.Change]:
    """Return the last change of each key, without what is known already.

    So a batch leaves no trace of what it has itself undone, and its writes and
    removals concern different keys. A watch may repeat changes that precede
    the items of a complete read, whose pages are no snapshot.

    Args:
        changes: Changes in the order of their revisions.
        known_by_key: The items as known before.

    >>> item = store.Item(key="a", value=b"", revision=6)
    >>> removal = store.Change(key="a", revision=5, item=None)
    >>> write = store.Change(key="a", revision=6, item=item)
    >>> final_changes([removal, write], {}) == [write]
    True
    >>> final_changes([removal], {"a": item})
    []
    """
    change_by_key = {change.key: change for change in changes}
    return [
        change
        for key, change in change_by_key.items()
        if key not in known_by_key
        or known_by_key[key].revision < change.revision
    ]


class ItemFollower(abc.ABC):
    """Follows the items below one prefix."""

    __slots__ = ()

    @abc.abstractmethod
    def replace_all(
        self, items: list[store.Item], *, from_peer: bool, revision: int | None
    ) -> None:
        """Apply a complete list of the items.

        Args:
            items: The items.
            from_peer: Whether the list is another VM's copy.
            revision: Revision of the store up to which the list is complete;
                None if it may be out of date.
        """

    @abc.abstractmethod
    def put(self, item: store.Item) -> None:
        """Apply a new or changed item."""

    @abc.abstractmethod
    def remove(self, key: str, revision: int) -> None:
        """Apply the removal of an item in a revision of the store."""

    def handle_store_restore(self) -> None:  # noqa: B027
        """Handle a restore of the store, before its items are applied."""
