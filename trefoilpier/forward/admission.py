"""Whether a request can be served at all, decided when it comes.

Pure decisions: what they look at is passed in.
"""

from dataclasses import dataclass

from trefoilpier import base

# A leaf that was left alone is tried again after about this time.
_RETRY_AFTER_S = 0.3
# Callers wait as told only up to a third of the time that they have left.
_RETRY_SHARE = 0.3


@dataclass(slots=True, kw_only=True, frozen=True)
class AdmissionView:
    """What the decision looks at.

    Attributes:
        services: Services that the request needs: one, or one a shard.
        usable: Those among them with a leaf that can be asked.
        coverage_least: Share of the services without which it is no use.
        wait_s: Time that the caller has left.
    """

    services: int
    usable: int
    coverage_least: float
    wait_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """Why a request is refused, and when to come back."""

    code: base.ResultCode
    retry_after_s: float


def admit(view: AdmissionView) -> Refusal | None:
    """Returns a refusal, or None if the request is admitted.

    >>> admit(AdmissionView(services=10, usable=9, coverage_least=0.89,
    ...                     wait_s=1.0)) is None
    True
    """
    if view.usable < 1 or (
        view.usable < view.coverage_least * view.services - 1e-9
    ):
        return Refusal(
            code=base.ResultCode.NO_LEAF,
            retry_after_s=retry_after(view.wait_s),
        )
    return None


def retry_after(wait_s: float) -> float:
    """Returns when to come back, within what a caller can wait.

    >>> retry_after(0.5)
    0.15
    """
    return round(max(0.001, min(_RETRY_AFTER_S, _RETRY_SHARE * wait_s)), 3)
