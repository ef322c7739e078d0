"""The VMs that gather, as they have registered in the store."""

from dataclasses import dataclass
from typing import Any

import expression
import orjson

from trefoilpier import base, replicas

KEY_PREFIX = "tier/vms/"
# Requests that a gatherer works on at a time before another is preferred.
_SLOTS = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class VmRecord:
    """One VM that gathers.

    Attributes:
        id: Its name.
        zone: Its availability zone.
        host: IP number.
        relay_port: Takes whole requests of other VMs.
        state_port: Tells other VMs what is in force.
        started_ms: Unix milliseconds of its process's start.
    """

    id: str
    zone: str
    host: str
    relay_port: int
    state_port: int
    started_ms: int

    def encode(self) -> bytes:
        """Returns the record as JSON."""
        return orjson.dumps(self)

    def as_leaf(self) -> replicas.LeafEntry:
        """Returns the VM as the target of relayed requests."""
        return replicas.LeafEntry(
            id=self.id,
            incarnation=self.started_ms,
            service=GATHERERS,
            host=self.host,
            port=self.relay_port,
            zone=self.zone,
            slots=_SLOTS,
            phase=replicas.LeafPhase.READY,
        )


GATHERERS = "gatherers"


def decode_vm(
    value: bytes | dict[str, Any] | None,
) -> expression.Result[VmRecord, str]:
    """Reads a record; the error says what is wrong.

    >>> decode_vm(b"{}").error
    'id is missing'
    """
    try:
        row = orjson.loads(value) if isinstance(value, bytes) else value
        if not isinstance(row, dict):
            return expression.Error("not a JSON object")
        for name in ("id", "zone", "host"):
            if not isinstance(row.get(name), str):
                return expression.Error(f"{name} is missing")
        return expression.Ok(
            VmRecord(
                id=row["id"],
                zone=row["zone"],
                host=row["host"],
                relay_port=int(row["relay_port"]),
                state_port=int(row["state_port"]),
                started_ms=int(row["started_ms"]),
            )
        )
    except (ValueError, KeyError, TypeError) as problem:
        return expression.Error(f"{type(problem).__name__}: {problem}")


class VmDirectory:
    """The registered VMs.

    Attributes:
        vm_by_id: Records by name.
        generation: Grows with each change.
    """

    __slots__ = ("generation", "vm_by_id")

    def __init__(self) -> None:
        self.vm_by_id: dict[str, VmRecord] = {}
        self.generation = 0

    def put(self, record: VmRecord) -> None:
        """Takes a record."""
        if self.vm_by_id.get(record.id) != record:
            self.vm_by_id[record.id] = record
            self.generation += 1

    def gone(self, vm_id: str) -> None:
        """Takes a removal."""
        if self.vm_by_id.pop(vm_id, None) is not None:
            self.generation += 1

    def replace_all(self, records: list[VmRecord]) -> None:
        """Takes the whole list."""
        by_id = {record.id: record for record in records}
        if by_id != self.vm_by_id:
            self.vm_by_id = by_id
            self.generation += 1

    def gatherers(self, count_max: int) -> list[VmRecord]:
        """Returns the VMs that gather, at most so many, by their hash."""
        ranked = sorted(
            self.vm_by_id.values(),
            key=lambda record: base.stable_hash(record.id),
        )
        return ranked[:count_max]
