"""Result of a request to one service."""

from dataclasses import dataclass

from trefoilpier import base
from trefoilpier.forward import wire as wires


@dataclass(slots=True, kw_only=True)
class ServiceResult:
    """Result of a service call.

    Attributes:
        answer: The leaf's answer, which may be an error response.
        ran: Whether a leaf ran, or may have run, the request.
        leaf_id: Id of the leaf that answered.
        reason: Why there is no successful answer.
    """

    answer: wires.LeafAnswer | None = None
    ran: base.Ran = base.Ran.NO
    leaf_id: str = ""
    reason: str = ""

    @property
    def successful(self) -> bool:
        """Whether the leaf answered successfully."""
        return self.answer is not None and self.answer.successful
