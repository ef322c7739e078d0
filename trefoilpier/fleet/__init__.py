"""Gatherer VMs: selection, registration, discovery and request relaying.

A leaf accepts connections from only a few tens of VMs, and a small VM has
neither the processor nor the network capacity to receive and merge the parts
of a large query in time. Therefore VMs with enough capacity gather, and the
others relay whole requests to them. If every VM can gather, none relays.
"""

from trefoilpier.fleet.directory import (
    GATHERER_SERVICE,
    VM_KEY_PREFIX,
    VmDirectory,
    VmRecord,
    decode_vm_record,
)
from trefoilpier.fleet.gatherers import GathererWatch
from trefoilpier.fleet.leaf_reports import LeafReports
from trefoilpier.fleet.reach import ServiceReach
from trefoilpier.fleet.registration import VmRegistration
from trefoilpier.fleet.relay import RelayHandler, RelayWire, relay_table
from trefoilpier.fleet.role import can_gather, gatherers_max
from trefoilpier.fleet.selection import GathererSelection
from trefoilpier.fleet.snapshot import (
    SNAPSHOT_ENCODING,
    SNAPSHOT_PATH,
    Snapshot,
    SnapshotPosition,
    read_snapshot,
)
from trefoilpier.fleet.state_handler import GathererState, StateHandler
from trefoilpier.fleet.vm_count import VmCount

__all__ = [
    "GATHERER_SERVICE",
    "VM_KEY_PREFIX",
    "SNAPSHOT_ENCODING",
    "SNAPSHOT_PATH",
    "GathererSelection",
    "GathererState",
    "GathererWatch",
    "LeafReports",
    "VmRegistration",
    "RelayHandler",
    "RelayWire",
    "ServiceReach",
    "Snapshot",
    "SnapshotPosition",
    "StateHandler",
    "VmCount",
    "VmDirectory",
    "VmRecord",
    "can_gather",
    "decode_vm_record",
    "gatherers_max",
    "read_snapshot",
    "relay_table",
]
