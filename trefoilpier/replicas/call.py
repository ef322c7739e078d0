"""A request to one leaf, and its result."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier import http1
from trefoilpier.replicas import loss as losses

_REUSE_IDLE_S = 4.0  # Used when the leaf states no idle timeout.
# Leaves may close an idle connection without notice.
_NON_REPEATABLE_IDLE_S = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class ReusePolicy:
    """Maximum idle time of a connection that is reused.

    Attributes:
        idle_s: Seconds for a repeatable call.
        non_repeatable_idle_s: Seconds for a call that is not repeatable.
            After a connection reset it is unknown whether the leaf ran it.
    """

    idle_s: float = _REUSE_IDLE_S
    non_repeatable_idle_s: float = _NON_REPEATABLE_IDLE_S


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestIdentity:
    """What all repeats of a request have in common.

    Attributes:
        fingerprint: Hash of what leaves receive in each repeat.
        description: The request in short, for operators.
    """

    fingerprint: str
    description: str


class CallEnd(enum.Enum):
    """Outcome of a call to a leaf."""

    ANSWERED = enum.auto()
    NOT_SENT = enum.auto()
    LOST = enum.auto()


@dataclass(slots=True, kw_only=True)
class CallResult:
    """Result of a call.

    Attributes:
        end: Outcome of the call.
        response: The leaf's response, if it answered.
        reason: Why there is no response.
        disconnected: Whether the leaf's side closed the connection.
    """

    end: CallEnd
    response: http1.HttpResponse | None = None
    reason: str = ""
    disconnected: bool = False


class LeafCall:
    """One request to one leaf.

    Attributes:
        sent_at: Monotonic time of sending; 0 before.
        on_end: Called once with the result.
        suspect: Whether the request may crash the leaf.
        sent_in_contact: Whether nothing had failed toward the leaf since its
            last answer when the call was sent.
        loss: Why the call was lost, if its connection was.
    """

    __slots__ = (
        "connection",
        "done",
        "encode_request",
        "identity",
        "loss",
        "median_latency_s",
        "method",
        "on_end",
        "repeatable",
        "request_id",
        "sent_at",
        "sent_in_contact",
        "started_at",
        "suspect",
    )

    def __init__(
        self,
        *,
        method: bytes,
        request_id: bytes,
        repeatable: bool,
        median_latency_s: float,
        encode_request: Callable[[], bytes | None],
        on_end: Callable[["LeafCall", CallResult], None],
        identity: RequestIdentity | None = None,
        suspect: bool = False,
    ) -> None:
        """Create the call.

        Args:
            method: Request method.
            request_id: Id that the leaf echoes.
            repeatable: Whether the request may run more than once.
            median_latency_s: Median latency of the route's calls in seconds.
            encode_request: Called when the request is about to be sent.
                Returns None if it need not be sent any more.
            on_end: Called once with the result.
            identity: Identity of the request, if leaves that end count as
                evidence against it.
            suspect: Whether the request may crash the leaf.
        """
        self.identity = identity
        self.suspect = suspect
        self.method = method
        self.request_id = request_id
        self.repeatable = repeatable
        self.median_latency_s = median_latency_s
        self.encode_request = encode_request
        self.on_end = on_end
        self.connection: http1.ClientConnection | None = None
        self.sent_at = 0.0
        self.sent_in_contact = False
        self.loss: losses.CallLoss | None = None
        self.started_at = 0.0
        self.done = False
