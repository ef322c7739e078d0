"""Shares a route's requests between services by weight."""

from trefoilpier import routes


class WeightedSplit:
    """Smooth weighted round robin: exact shares over any short run.

    >>> split = WeightedSplit(targets=(
    ...     routes.WeightedService(name="a", weight=3),
    ...     routes.WeightedService(name="b", weight=1)))
    >>> [split.next() for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    __slots__ = ("_credit_by_name", "targets")

    def __init__(self, *, targets: tuple[routes.WeightedService, ...]) -> None:
        self.targets = targets
        self._credit_by_name = {target.name: 0.0 for target in targets}

    def next(self) -> str:
        """Returns the service of the next request."""
        credit = self._credit_by_name
        total = 0.0
        for target in self.targets:
            credit[target.name] += target.weight
            total += target.weight
        chosen = max(self.targets, key=lambda target: credit[target.name])
        credit[chosen.name] -= total
        return chosen.name
