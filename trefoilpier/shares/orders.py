"""The owners of limits among some VMs."""

from collections.abc import Iterable

from trefoilpier import base

_CACHED_OWNERS_MAX = 50_000
_ORDERS_MAX = 16  # Lists of VMs in use at the same time.


class OwnerOrder:
    """Owners of limits among some VMs, by rendezvous hash.

    Attributes:
        vm_ids: The VMs, in ascending order.
        digest: Hash of the VMs' ids.
    """

    __slots__ = ("_owner_by_name", "digest", "vm_ids")

    def __init__(self, *, vm_ids: tuple[str, ...]) -> None:
        self.vm_ids = vm_ids
        self.digest = f"{base.stable_hash('|'.join(vm_ids)):x}"
        self._owner_by_name: dict[str, str] = {}

    def owner_of(self, name: str) -> str:
        """Return the VM that owns a limit; empty if there are no VMs."""
        owner = self._owner_by_name.get(name)
        if owner is None:
            if len(self._owner_by_name) >= _CACHED_OWNERS_MAX:
                self._owner_by_name.clear()
            owner = max(
                self.vm_ids,
                key=lambda vm_id: (base.stable_hash(f"{name}|{vm_id}"), vm_id),
                default="",
            )
            self._owner_by_name[name] = owner
        return owner


class OwnerOrders:
    """The orders in use, so that equal lists of VMs share one.

    >>> orders = OwnerOrders()
    >>> orders.get(["b", "a"]) is orders.get(["a", "b"])
    True
    >>> orders.get(["a", "b"]).owner_of("quota/crew") in ("a", "b")
    True
    """

    __slots__ = ("_order_by_ids",)

    def __init__(self) -> None:
        self._order_by_ids: dict[tuple[str, ...], OwnerOrder] = {}

    def get(self, vm_ids: Iterable[str]) -> OwnerOrder:
        """Return the order of some VMs."""
        key = tuple(sorted(vm_ids))
        order = self._order_by_ids.pop(key, None)
        if order is None:
            order = OwnerOrder(vm_ids=key)
            if len(self._order_by_ids) >= _ORDERS_MAX:
                del self._order_by_ids[next(iter(self._order_by_ids))]
        self._order_by_ids[key] = order
        return order
