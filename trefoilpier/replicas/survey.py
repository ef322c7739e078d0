"""Which leaves of some services a VM has lost."""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from trefoilpier import base

if TYPE_CHECKING:
    from trefoilpier.replicas import pool
    from trefoilpier.replicas import registry as registries


class LeafSurvey:
    """Contact with the leaves of some services, looked at only when needed.

    Attributes:
        registry: The leaves; set before the first use.
    """

    __slots__ = ("_clock", "registry")

    def __init__(self, *, clock: base.Clock) -> None:
        """Create it; `registry` is set later.

        Args:
            clock: Clock of the leaves' contact.
        """
        self._clock = clock
        self.registry: registries.LeafRegistry

    def _pools(self, services: Iterable[str]) -> "Iterator[pool.LeafPool]":
        for service in services:
            yield from self.registry.pools_by_service.get(service, ())

    def count_lost(
        self, services: Iterable[str], *, since: float, except_ids: set[str]
    ) -> int:
        """Return how many leaves were lost since a time and do not respond.

        Leaves count by address: the entry of a leaf that has ended remains for
        some seconds, in which its successor uses the address.

        Args:
            services: Services of the leaves.
            since: Monotonic time from which the loss of connections counts. A
                leaf that ended earlier may be found out of contact only now.
            except_ids: Ids of leaves that do not count.
        """
        now = self._clock.monotonic()
        lost: set[tuple[str, int]] = set()
        excepted: set[tuple[str, int]] = set()
        for each in self._pools(services):
            address = (each.entry.host, each.entry.port)
            if each.entry.id in except_ids:
                excepted.add(address)
            elif (
                not each.connected
                and each.disconnected_at >= since
                and each.is_out_of_contact(now)
            ):
                lost.add(address)
        return len(lost - excepted)

    def count_connected(self, leaf_ids: Iterable[str]) -> int:
        """Return to how many of some leaves there are connections."""
        pools = map(self.registry.pool_by_id.get, leaf_ids)
        return sum(each is not None and each.connected for each in pools)

    def check_unconnected(self, services: Iterable[str]) -> None:
        """Connect to leaves without connections, to learn if they run.

        A leaf that has ended has lost all of its connections, also idle ones.
        """
        for each in self._pools(services):
            if not each.connected:
                each.warm_up()
