"""Items of the store: up to where they are known, and who follows them."""

import abc
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
    def remove(self, key: str) -> None:
        """Apply the removal of an item."""

    def handle_store_restore(self) -> None:  # noqa: B027
        """Handle a restore of the store, before its items are applied."""
