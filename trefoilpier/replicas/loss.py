"""Why a call to a leaf was lost."""

import enum
from collections.abc import Callable


class LossCause(enum.Enum):
    """What is known of the reason why a call was lost.

    UNKNOWN is being found out. CONNECTION lost no more than the connection: the
    leaf runs on. LEAF_ENDED lost the leaf.
    """

    UNKNOWN = enum.auto()
    CONNECTION = enum.auto()
    LEAF_ENDED = enum.auto()


class CallLoss:
    """A call that was lost by disconnection, and why.

    Attributes:
        cause: What is known of the reason.
        service: Service of the leaf.
        on_cause: Called with each new cause.

    >>> loss = CallLoss(service="s")
    >>> loss.set_cause(LossCause.CONNECTION)
    >>> loss.harmless
    True
    """

    __slots__ = ("cause", "on_cause", "service")

    def __init__(self, *, service: str) -> None:
        """Start with an unknown cause."""
        self.service = service
        self.cause = LossCause.UNKNOWN
        self.on_cause: Callable[[LossCause], None] = lambda cause: None

    @property
    def harmless(self) -> bool:
        """Whether the leaf is known to have outlived the call."""
        return self.cause is LossCause.CONNECTION

    def set_cause(self, cause: LossCause) -> None:
        """Set the cause; the end of a leaf is final."""
        if cause is self.cause or self.cause is LossCause.LEAF_ENDED:
            return
        self.cause = cause
        self.on_cause(cause)
