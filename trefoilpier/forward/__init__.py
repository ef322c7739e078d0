"""Request forwarding: admission, retries, hedging and scatter-gather."""

from trefoilpier.forward.budget import BudgetTerms, RetryBudget
from trefoilpier.forward.engine import ForwardEngine
from trefoilpier.forward.histogram import BOUNDS_S, LatencyHistogram
from trefoilpier.forward.wire import CallerAsk, LeafAnswer, LeafWire

__all__ = [
    "BOUNDS_S",
    "BudgetTerms",
    "CallerAsk",
    "ForwardEngine",
    "LatencyHistogram",
    "LeafAnswer",
    "LeafWire",
    "RetryBudget",
]
