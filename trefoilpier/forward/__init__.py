"""Request forwarding: admission, retries, hedging and scatter-gather."""

from trefoilpier.forward.budget import RetryBudget, RetryBudgetLimits
from trefoilpier.forward.engine import ForwardEngine
from trefoilpier.forward.histogram import BOUNDS_S, LatencyHistogram
from trefoilpier.forward.policy import ForwardPolicy
from trefoilpier.forward.quota import QuotaDecision, QuotaGate
from trefoilpier.forward.stopping import StopTimes
from trefoilpier.forward.wire import LeafAnswer, LeafWire, RequestMetadata

__all__ = [
    "BOUNDS_S",
    "RetryBudgetLimits",
    "RequestMetadata",
    "ForwardEngine",
    "ForwardPolicy",
    "LatencyHistogram",
    "LeafAnswer",
    "LeafWire",
    "QuotaDecision",
    "QuotaGate",
    "RetryBudget",
    "StopTimes",
]
