"""Attempts of one call, and whether another one is allowed."""

_CONNECT_ATTEMPTS_MAX = 3  # Unreachable leaves tried per request.
# Leaves that may reject a request unprocessed: services usually have 3
# replicas.
_NOT_RUN_MAX = 3


class Attempts:
    """What a call has tried at the leaves of its service.

    Attributes:
        sends: Leaves to which the request was sent.
        tried_leaf_ids: Ids of the leaves chosen so far.

    >>> attempts = Attempts(attempts_max=2)
    >>> attempts.sends = 1
    >>> attempts.has_left(unsent_count=0), attempts.has_left(unsent_count=1)
    (True, False)
    """

    __slots__ = (
        "_attempts_max",
        "_connect_failures",
        "_not_run_count",
        "sends",
        "tried_leaf_ids",
    )

    def __init__(self, *, attempts_max: int) -> None:
        """Start without attempts.

        Args:
            attempts_max: Leaves that may run the request, by its route.
        """
        self._attempts_max = attempts_max
        self._connect_failures = 0
        self._not_run_count = 0
        self.sends = 0
        self.tried_leaf_ids: set[str] = set()

    def has_left(self, *, unsent_count: int) -> bool:
        """Return whether the route allows one more attempt.

        Args:
            unsent_count: Chosen leaves to which the request is still to be
                sent.
        """
        attempts = self.sends - self._not_run_count + unsent_count
        return attempts < self._attempts_max

    def may_retry_after_connect_failure(self) -> bool:
        """Count a leaf that was not reached; return whether to try another."""
        self._connect_failures += 1
        return self._connect_failures < _CONNECT_ATTEMPTS_MAX

    def record_not_run(self) -> None:
        """Count a leaf that rejected the request unprocessed."""
        self._not_run_count += 1

    def may_retry_after_rejection(self) -> bool:
        """Return whether to try another leaf after a rejection."""
        return self._not_run_count < _NOT_RUN_MAX and self.has_left(
            unsent_count=0
        )
