"""Directory of the gatherer VMs that are registered in the store."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import expression
import orjson

from trefoilpier import base, replicas

VM_KEY_PREFIX = "tier/vms/"
# Concurrent requests to one gatherer above which another is preferred.
_GATHERER_SLOTS = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class VmRecord:
    """Registration record of one gatherer VM.

    Attributes:
        id: Name of the VM.
        zone: Availability zone of the VM.
        host: IP address.
        relay_port: Port for requests that other VMs relay.
        state_port: Port that serves the VM's state to other VMs.
        started_ms: Start time of the process, in Unix milliseconds.
    """

    id: str
    zone: str
    host: str
    relay_port: int
    state_port: int
    started_ms: int

    def encode(self) -> bytes:
        """Encode the record as JSON."""
        return orjson.dumps(self)

    def to_leaf_entry(self) -> replicas.LeafEntry:
        """Return the VM as a target of relayed requests."""
        return replicas.LeafEntry(
            id=self.id,
            incarnation=self.started_ms,
            service=GATHERER_SERVICE,
            host=self.host,
            port=self.relay_port,
            zone=self.zone,
            slots=_GATHERER_SLOTS,
            phase=replicas.LeafPhase.READY,
        )


GATHERER_SERVICE = "gatherers"


def decode_vm_record(
    value: bytes | dict[str, Any] | None,
) -> expression.Result[VmRecord, str]:
    """Decode a record; the error describes what is invalid.

    >>> decode_vm_record(b"{}").error
    'id is missing'
    """
    try:
        row = orjson.loads(value) if isinstance(value, bytes) else value
        if not isinstance(row, dict):
            return expression.Error("not a JSON object")
        for name in ("id", "zone", "host"):
            if not isinstance(row.get(name), str):
                return expression.Error(f"{name} is missing")
        if not base.is_ipv4_address(row["host"]):
            return expression.Error("host is not an IPv4 address")
        for name in ("relay_port", "state_port"):
            if not base.is_port(row[name]):
                return expression.Error(f"{name} is not a port")
        return expression.Ok(
            VmRecord(
                id=row["id"],
                zone=row["zone"],
                host=row["host"],
                relay_port=row["relay_port"],
                state_port=row["state_port"],
                started_ms=int(row["started_ms"]),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return expression.Error(f"{type(error).__name__}: {error}")


def find_successor(vm_id: str, records: Iterable[VmRecord]) -> VmRecord | None:
    """Return the VM that follows one in the ring of their names' hashes.

    Args:
        vm_id: Name of the one VM.
        records: The other VMs.
    """
    own_hash = base.stable_hash(vm_id)

    def rank(record: VmRecord) -> tuple[bool, int]:
        name_hash = base.stable_hash(record.id)
        return name_hash <= own_hash, name_hash

    return min(records, key=rank, default=None)


class VmDirectory:
    """Registered VMs and a counter of their changes.

    Attributes:
        record_by_id: Records by VM name.
        generation: Incremented on each change.
    """

    __slots__ = ("generation", "record_by_id")

    def __init__(self) -> None:
        self.record_by_id: dict[str, VmRecord] = {}
        self.generation = 0

    def put(self, record: VmRecord) -> None:
        """Add or replace a record."""
        if self.record_by_id.get(record.id) != record:
            self.record_by_id[record.id] = record
            self.generation += 1

    def remove_vm(self, vm_id: str) -> None:
        """Remove the record of a VM, if there is one."""
        if self.record_by_id.pop(vm_id, None) is not None:
            self.generation += 1

    def replace_all(self, records: list[VmRecord]) -> None:
        """Replace all records."""
        by_id = {record.id: record for record in records}
        if by_id != self.record_by_id:
            self.record_by_id = by_id
            self.generation += 1
