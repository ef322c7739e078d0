"""The life of a caller's request: admit, pin, send, gather, end once."""

from trefoilpier.forward.budget import BudgetTerms, ExtraBudget
from trefoilpier.forward.engine import ForwardEngine
from trefoilpier.forward.histogram import BOUNDS_S, LatencyHistogram
from trefoilpier.forward.wire import CallerAsk, LeafAnswer, LeafWire

__all__ = [
    "BOUNDS_S",
    "BudgetTerms",
    "CallerAsk",
    "ExtraBudget",
    "ForwardEngine",
    "LatencyHistogram",
    "LeafAnswer",
    "LeafWire",
]
