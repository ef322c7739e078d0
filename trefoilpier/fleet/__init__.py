"""Which VM gathers: presence, the list of VMs, and relaying to gatherers.

A leaf takes connections from some tens of VMs only, and a small VM can
neither merge nor carry the parts of a large query in time. So the VMs with
enough processor and network gather, and the others relay whole requests to
them. Where every VM can gather, nothing is relayed.
"""

from trefoilpier.fleet.directory import (
    GATHERERS,
    KEY_PREFIX,
    VmDirectory,
    VmRecord,
    decode_vm,
)
from trefoilpier.fleet.gatherers import GathererWatch
from trefoilpier.fleet.presence import Presence
from trefoilpier.fleet.relay import RelayDoor, RelayWire, relay_table
from trefoilpier.fleet.role import can_gather, gatherers_max
from trefoilpier.fleet.state_pages import (
    SNAPSHOT_PATH,
    FleetState,
    StatePages,
)

__all__ = [
    "GATHERERS",
    "KEY_PREFIX",
    "SNAPSHOT_PATH",
    "FleetState",
    "GathererWatch",
    "Presence",
    "RelayDoor",
    "RelayWire",
    "StatePages",
    "VmDirectory",
    "VmRecord",
    "can_gather",
    "decode_vm",
    "gatherers_max",
    "relay_table",
]
