"""The promises, judged by what callers and leafs saw."""

import collections
from collections.abc import Iterable, Sequence

from soak import callers, faults
from standins import opaque_leaf, published, tier_world

_NOT_RUN = frozenset((408, 421, 429, 503))
_RECORD_BYTES = 16
_RECORDS_MAX = 5
_LEAVING_S = 3.0  # The users' bound for a leaf that leaves.
_IN_FORCE_S = 3.0  # The users' bound for new routes.
_STOPPING_S = 6.0  # The users' bound for a VM that is told to stop.
_CALM_S = 4.0  # The users' span in which an outage still excuses.
# Share of the requests after the faults that must succeed.
_RECOVERED_LEAST = 0.9


def check_all(
    soak_world: tier_world.World,
    seen: list[callers.Seen],
    *,
    recovered_from: float,
    applied: Sequence[faults.Disruption] = (),
) -> list[str]:
    """Returns a line for each broken promise."""
    found: list[str] = []
    found += _check_runs(soak_world, seen)
    found += _check_answers(soak_world, seen)
    found += _check_leaving(soak_world, applied)
    found += _check_planned_stops(soak_world, seen, applied)
    found += _check_in_force(soak_world, seen, applied)
    found += _check_recovery(seen, recovered_from)
    for vm in soak_world.vms:
        if vm.unplanned_ends:
            found.append(f"{vm.name} ended {vm.unplanned_ends} times by itself")
    return found


def _check_runs(
    soak_world: tier_world.World, seen: list[callers.Seen]
) -> Iterable[str]:
    """At most one run of what may not repeat; no run of what was refused."""
    runs = collections.Counter(
        request_id
        for each in soak_world.leaf_by_id.values()
        for request_id in each.leaf.runs
    )
    known = {each.id.encode() for each in seen}
    for request_id in set(runs) - known:
        yield f"a leaf ran {request_id!r}, which no caller sent"
    for each in seen:
        count = runs[each.id.encode()]
        if each.kind == "w" and count > 1:
            yield f"{each.id} ran {count} times"
        if each.status in _NOT_RUN and count:
            yield f"{each.id} was answered {each.status} and ran {count} times"


def _check_answers(
    soak_world: tier_world.World, seen: list[callers.Seen]
) -> Iterable[str]:
    answer_by_seal: dict[bytes, opaque_leaf.LeafAnswer] = {}
    service_by_seal: dict[bytes, str] = {}
    for each in soak_world.leaf_by_id.values():
        for seal, answer in each.leaf.answer_by_seal.items():
            answer_by_seal[seal] = answer
            service_by_seal[seal] = each.service
    for each in seen:
        if each.status == -1:
            yield f"{each.id} has no end"
        if each.status != 200:
            continue
        if each.kind == "g":
            yield from _check_gathered(
                each, answer_by_seal, service_by_seal, soak_world.sets
            )
            continue
        answer = answer_by_seal.get(published.seal_of(each.headers) or b"")
        if answer is None or answer.status != 200:
            yield f"{each.id} is no leaf's success"
        elif answer.request_id != each.id.encode():
            yield f"{each.id} got the answer to {answer.request_id!r}"
        elif answer.body != each.body:
            yield f"{each.id} got other bytes than the leaf sent"


def _check_gathered(
    each: callers.Seen,
    answer_by_seal: dict[bytes, opaque_leaf.LeafAnswer],
    service_by_seal: dict[bytes, str],
    sets: list[tuple[str, ...]],
) -> Iterable[str]:
    seals, missing = published.parts_of(each.headers)
    answers = [answer_by_seal.get(seal) for seal in seals]
    for seal, answer in zip(seals, answers, strict=True):
        if answer is None or answer.status != 200:
            yield f"{each.id}: part {seal!r} is no leaf's success"
            return
        if answer.request_id != each.id.encode():
            yield f"{each.id}: part {seal!r} belongs to another request"
    services = [service_by_seal[seal] for seal in seals]
    if len(set(services)) != len(services):
        yield f"{each.id}: two parts of one shard"
    fits = [
        shards
        for shards in sets
        if set(services) <= set(shards)
        and len(services) + missing == len(shards)
    ]
    if not fits:
        yield f"{each.id}: parts and missing fit no version"
    records = sorted(
        (
            answer.body[k : k + _RECORD_BYTES]
            for answer in answers
            if answer is not None
            for k in range(0, len(answer.body), _RECORD_BYTES)
        ),
        reverse=True,
    )
    if b"".join(records[:_RECORDS_MAX]) != each.body:
        yield f"{each.id}: not the greatest records of its parts"


def _check_leaving(
    soak_world: tier_world.World, applied: Sequence[faults.Disruption]
) -> Iterable[str]:
    """No new request a while after a leaf said that it leaves.

    Judged only where nothing disturbed the store, its links or the VMs from
    shortly before the word until the bound.
    """
    for each in soak_world.leaf_by_id.values():
        leaving_at = each.leaving_at
        if leaving_at is None:
            continue
        if _disturbed(applied, leaving_at - _CALM_S, leaving_at + _LEAVING_S):
            continue
        late_s = each.leaf.last_request_at - leaving_at
        if late_s > _LEAVING_S:
            yield f"{each.leaf.id} got a request {late_s:.1f} s after leaving"


def _disturbed(
    applied: Sequence[faults.Disruption], begin: float, end: float
) -> bool:
    """Whether the store, its links or the VMs were disturbed in a span."""
    return any(
        each.at < end and each.at + each.seconds > begin
        for each in applied
        if each.name.startswith(("store", "link vm", "vm-", "all VMs"))
    )


def _check_planned_stops(
    soak_world: tier_world.World,
    seen: list[callers.Seen],
    applied: Sequence[faults.Disruption],
) -> Iterable[str]:
    """A VM that is told to stop in calm answers what a leaf has run."""
    ran = {
        request_id
        for each in soak_world.leaf_by_id.values()
        for request_id in each.leaf.runs
    }
    for stop in applied:
        if not stop.name.endswith(faults.PLANNED):
            continue
        vm = stop.name.split()[0]
        for each in seen:
            during = stop.at - 1.0 <= each.sent_at <= stop.at + _STOPPING_S
            if each.vm != vm or not during or each.status:
                continue
            if each.id.encode() in ran:
                yield f"{each.id} ran and was cut by the stop of {vm}"


def _check_in_force(
    soak_world: tier_world.World,
    seen: list[callers.Seen],
    applied: Sequence[faults.Disruption],
) -> Iterable[str]:
    """Routes are in force within the bound, where nothing disturbed it."""
    version_by_service = {
        shard: index
        for index, shards in enumerate(soak_world.sets)
        for shard in shards
    }
    service_by_seal = {
        seal: each.service
        for each in soak_world.leaf_by_id.values()
        for seal in each.leaf.answer_by_seal
    }
    for each in seen:
        if each.kind != "g" or each.status != 200:
            continue
        due = sum(at + _IN_FORCE_S < each.sent_at for at in soak_world.named_at)
        seals, _ = published.parts_of(each.headers)
        used = [
            version_by_service.get(service_by_seal.get(seal, ""), due)
            for seal in seals
        ]
        if all(version >= due - 1 for version in used):
            continue
        if not _disturbed(
            applied, soak_world.named_at[due - 1] - _CALM_S, each.sent_at
        ):
            yield f"{each.id} used routes that were replaced before"


def _check_recovery(
    seen: list[callers.Seen], recovered_from: float
) -> Iterable[str]:
    after = [each for each in seen if each.sent_at >= recovered_from]
    good = sum(each.status == 200 for each in after)
    if not after or good < _RECOVERED_LEAST * len(after):
        yield f"after the faults {good} of {len(after)} requests succeed"
