"""Requests that crash the leaves that run them, and their quarantine.

Such a request is known as a query of death. A leaf that ends gives evidence
against each request that it was running; one answer of the same service to a
request clears it. Evidence is shared by all VMs and outlives their processes.
"""

from trefoilpier.quarantine.canary import CanaryMode, ShardState, order_shards
from trefoilpier.quarantine.cases import Loss, SuspicionCases
from trefoilpier.quarantine.codec import (
    decode_records,
    encode_records,
    parse_document,
    to_document,
)
from trefoilpier.quarantine.early import EarlyStanding, EarlySuspicions
from trefoilpier.quarantine.evidence import (
    LeafEnd,
    RequestRecord,
    Standing,
    Verdict,
    is_expired,
    judge,
)
from trefoilpier.quarantine.gate import Admission, QuarantineGate
from trefoilpier.quarantine.identity import identify
from trefoilpier.quarantine.ledger import RECORDS_MAX, QuarantineLedger
from trefoilpier.quarantine.recorder import LeafEndRecorder

__all__ = [
    "RECORDS_MAX",
    "Admission",
    "CanaryMode",
    "EarlyStanding",
    "EarlySuspicions",
    "LeafEnd",
    "LeafEndRecorder",
    "Loss",
    "QuarantineGate",
    "QuarantineLedger",
    "RequestRecord",
    "ShardState",
    "Standing",
    "SuspicionCases",
    "Verdict",
    "decode_records",
    "encode_records",
    "identify",
    "is_expired",
    "judge",
    "order_shards",
    "parse_document",
    "to_document",
]
