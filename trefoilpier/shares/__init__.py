"""Limits on a sum over all VMs, whether they are in contact or not.

Each limit has one owner among the gatherers, which keeps a token bucket. The
other VMs ask it for tokens in advance. A VM that cannot reach the owner has a
fixed part of the tolerance that each limit allows. The package does no input or
output; messages pass through a `ShareTransport`.
"""

from trefoilpier.shares.holder import ShareDecision
from trefoilpier.shares.messages import (
    ShareAnswer,
    ShareRequest,
    decode_request,
    encode_answer,
)
from trefoilpier.shares.service import ShareService
from trefoilpier.shares.spec import LimitSpec
from trefoilpier.shares.transport import (
    ANSWER_TIMEOUT_S,
    SendFailure,
    ShareTransport,
)

__all__ = [
    "ANSWER_TIMEOUT_S",
    "LimitSpec",
    "SendFailure",
    "ShareAnswer",
    "ShareDecision",
    "ShareRequest",
    "ShareService",
    "ShareTransport",
    "decode_request",
    "encode_answer",
]
