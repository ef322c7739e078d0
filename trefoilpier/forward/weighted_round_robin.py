"""Weighted round robin over the services of a route."""

from trefoilpier import routes


class WeightedRoundRobin:
    """Smooth weighted round robin.

    Any short run of requests is shared by the exact weights.

    Attributes:
        targets: The services and their weights.

    >>> selector = WeightedRoundRobin(targets=(
    ...     routes.WeightedService(name="a", weight=3),
    ...     routes.WeightedService(name="b", weight=1)))
    >>> [selector.next() for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    __slots__ = ("_credit_by_name", "targets")

    def __init__(self, *, targets: tuple[routes.WeightedService, ...]) -> None:
        self.targets = targets
        self._credit_by_name = {target.name: 0.0 for target in targets}

    def next(self) -> str:
        """Return the service of the next request."""
        credit = self._credit_by_name
        total_weight = 0.0
        for target in self.targets:
            credit[target.name] += target.weight
            total_weight += target.weight
        chosen = max(self.targets, key=lambda target: credit[target.name])
        credit[chosen.name] -= total_weight
        return chosen.name
