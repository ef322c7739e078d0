"""An operator who evacuates availability zones and takes them back."""

from collections.abc import Iterator

from standins import leaf_rules, platform_model, published_protocol
from trefoilpier import base


class ZoneOperator:
    """Writes and deletes the keys of evacuated zones.

    Attributes:
        evacuations: Times in which the store had such a key, in order.
        zones: Zones that the operator wants to be evacuated.
    """

    __slots__ = ("_clock", "_model", "evacuations", "zones")

    def __init__(
        self, *, clock: base.Clock, model: platform_model.PlatformModel
    ) -> None:
        """Create an operator who has evacuated no zone.

        Args:
            clock: Clock of the store.
            model: The store.
        """
        self._clock = clock
        self._model = model
        self.evacuations: list[leaf_rules.Evacuation] = []
        self.zones: set[str] = set()

    def evacuate(self, zone: str) -> None:
        """Write the key of a zone; the store must be up."""
        self.zones.add(zone)
        self._model.put(
            published_protocol.EVACUATION_PREFIX + zone, "drill", None, ""
        )
        self.note_keys()

    def take_back(self, zone: str) -> None:
        """Delete the key of a zone; the store must be up."""
        self.zones.discard(zone)
        self._model.delete(published_protocol.EVACUATION_PREFIX + zone)
        self.note_keys()

    def write_again(self) -> None:
        """Repeat what a restored store may have lost."""
        if self._model.faults.down:
            return
        stored = set(self._stored_zones())
        for zone in sorted(self.zones - stored):
            self.evacuate(zone)
        for zone in sorted(stored - self.zones):
            self.take_back(zone)

    def note_keys(self) -> None:
        """Note which keys the store has now, after any change of them."""
        now = self._clock.monotonic()
        stored = set(self._stored_zones())
        for each in self.evacuations:
            if each.end == float("inf") and each.zone not in stored:
                each.end = now
            if each.end == float("inf"):
                stored.discard(each.zone)
        for zone in sorted(stored):
            self.evacuations.append(leaf_rules.Evacuation(zone=zone, start=now))

    def _stored_zones(self) -> Iterator[str]:
        prefix = published_protocol.EVACUATION_PREFIX
        for key in self._model.keys(prefix):
            yield key.removeprefix(prefix)
