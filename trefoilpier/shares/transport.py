"""How messages about shared limits reach other VMs."""

import abc
import enum
from collections.abc import Callable

# A VM that has not answered by then counts as not reached. Longer than a pause
# of a few frames on a loaded VM, and shorter than the lifetime of tokens.
ANSWER_TIMEOUT_S = 0.25


class SendFailure(enum.Enum):
    """Why a message got no answer.

    LOST: no answer in time. UNSUPPORTED: the other VM does not know shared
    limits. REJECTED: the other VM cannot read the message.
    """

    LOST = enum.auto()
    UNSUPPORTED = enum.auto()
    REJECTED = enum.auto()


class ShareTransport(abc.ABC):
    """Sends messages to other VMs."""

    __slots__ = ()

    @abc.abstractmethod
    def send(
        self,
        vm_id: str,
        body: bytes,
        on_outcome: Callable[[bytes | SendFailure], None],
    ) -> None:
        """Send a message to a VM.

        Args:
            vm_id: Name of the VM.
            body: The message.
            on_outcome: Called once with the answer or the reason for having
                none, after `ANSWER_TIMEOUT_S` at the latest.
        """
