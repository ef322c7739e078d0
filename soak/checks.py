"""Checks of the service guarantees against the callers' and leaves' records."""

import collections
from collections.abc import Iterable, Sequence

from soak import callers, crashing, faults
from standins import leaf_rules, opaque_leaf, published_protocol, tier_world

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_RECORD_BYTES = 16
_RECORDS_MAX = 5
_LEAVING_S = 3.0  # The users' limit for new requests to a leaving leaf.
_ROUTE_UPDATE_S = 3.0  # The users' limit until new routes are in use.
_STOPPING_S = 6.0  # The users' limit for a VM to stop after SIGTERM.
_OUTAGE_GRACE_S = 4.0  # The users tolerate effects of an outage this long.
# Minimum share of requests that succeed after the faults have ended.
_RECOVERED_SHARE_MIN = 0.9


def check_all(
    environment: tier_world.TierEnvironment,
    requests: list[callers.RequestRecord],
    *,
    recovered_at: float,
    applied: Sequence[faults.AppliedFault] = (),
    crashing_callers: crashing.CrashingCallers | None = None,
) -> list[str]:
    """Return a line for each violated guarantee."""
    violations: list[str] = []
    violations += _check_runs(environment, requests)
    violations += _check_answers(environment, requests)
    violations += crashing.check_only_crashing_are_barred(environment.vms)
    if crashing_callers is not None:
        violations += crashing_callers.violations(
            environment,
            lambda at: not _was_disrupted(applied, at - _OUTAGE_GRACE_S, at),
        )
    requests = [request for request in requests if not request.crashing]
    violations += _check_leaving(environment, applied)
    violations += _check_rate_limits(environment, applied)
    violations += _check_planned_cut(requests, applied)
    violations += _check_planned_stops(environment, requests, applied)
    violations += _check_route_updates(environment, requests, applied)
    violations += _check_recovery(requests, recovered_at, applied)
    for vm in environment.vms:
        if vm.unexpected_exits:
            violations.append(
                f"{vm.name} ended {vm.unexpected_exits} times without a signal"
            )
    return violations


def _check_runs(
    environment: tier_world.TierEnvironment,
    requests: list[callers.RequestRecord],
) -> Iterable[str]:
    """Check that unsafe requests ran at most once and refused ones never."""
    runs = collections.Counter(
        request_id
        for leaf_instance in environment.leaf_by_id.values()
        for request_id in leaf_instance.leaf.runs
    )
    sent_ids = {request.id.encode() for request in requests}
    for request_id in set(runs) - sent_ids:
        yield f"a leaf ran {request_id!r}, but no caller sent it"
    for request in requests:
        run_count = runs[request.id.encode()]
        if request.kind == "w" and run_count > 1:
            yield f"{request.id} ran {run_count} times"
        if request.status in _NOT_RUN_STATUSES and run_count:
            yield (
                f"{request.id} was answered {request.status} and ran "
                f"{run_count} times"
            )


def _check_answers(
    environment: tier_world.TierEnvironment,
    requests: list[callers.RequestRecord],
) -> Iterable[str]:
    response_by_seal: dict[bytes, opaque_leaf.LeafResponse] = {}
    service_by_seal: dict[bytes, str] = {}
    for leaf_instance in environment.leaf_by_id.values():
        for seal, answer in leaf_instance.leaf.response_by_seal.items():
            response_by_seal[seal] = answer
            service_by_seal[seal] = leaf_instance.service
    for request in requests:
        if request.status == -1:
            yield f"{request.id} has no outcome"
        if request.status != 200:
            continue
        if request.kind == "g":
            yield from _check_gathered(
                request,
                response_by_seal,
                service_by_seal,
                environment.shard_sets,
            )
            continue
        answer = response_by_seal.get(
            published_protocol.seal_of(request.headers) or b""
        )
        if answer is None or answer.status != 200:
            yield f"{request.id} matches no successful leaf answer"
        elif answer.request_id != request.id.encode():
            yield f"{request.id} got the answer to {answer.request_id!r}"
        elif answer.body != request.body:
            yield f"{request.id} got a body that differs from the leaf's answer"


def _check_gathered(
    request: callers.RequestRecord,
    response_by_seal: dict[bytes, opaque_leaf.LeafResponse],
    service_by_seal: dict[bytes, str],
    sets: list[tuple[str, ...]],
) -> Iterable[str]:
    seals, missing = published_protocol.gathered_parts(request.headers)
    answers = [response_by_seal.get(seal) for seal in seals]
    for seal, answer in zip(seals, answers, strict=True):
        if answer is None or answer.status != 200:
            yield (
                f"{request.id}: part {seal!r} matches no successful leaf answer"
            )
            return
        if answer.request_id != request.id.encode():
            yield f"{request.id}: part {seal!r} belongs to another request"
    services = [service_by_seal[seal] for seal in seals]
    if len(set(services)) != len(services):
        yield f"{request.id}: two parts of the same shard"
    matching_sets = [
        shards
        for shards in sets
        if set(services) <= set(shards)
        and len(services) + missing == len(shards)
    ]
    if not matching_sets:
        yield f"{request.id}: parts and missing count match no version"
    records = sorted(
        (
            answer.body[k : k + _RECORD_BYTES]
            for answer in answers
            if answer is not None
            for k in range(0, len(answer.body), _RECORD_BYTES)
        ),
        reverse=True,
    )
    if b"".join(records[:_RECORDS_MAX]) != request.body:
        yield f"{request.id}: not the top records of its parts"


def _check_leaving(
    environment: tier_world.TierEnvironment,
    applied: Sequence[faults.AppliedFault],
) -> Iterable[str]:
    """Check that a leaving leaf gets no new requests after the limit.

    Skips leaves for which a fault affected the store, its links or the VMs
    between shortly before the leaf announced that it leaves and the limit.
    """
    for leaf_instance in environment.leaf_by_id.values():
        leaving_at = leaf_instance.leaving_at
        if leaving_at is None:
            continue
        if _was_disrupted(
            applied, leaving_at - _OUTAGE_GRACE_S, leaving_at + _LEAVING_S
        ):
            continue
        late_s = leaf_instance.leaf.last_request_at - leaving_at
        if late_s > _LEAVING_S:
            yield (
                f"{leaf_instance.leaf.id} got a request {late_s:.1f} s after "
                f"leaving"
            )


def _planned_cuts(
    applied: Sequence[faults.AppliedFault],
) -> list[faults.AppliedFault]:
    return [
        fault
        for fault in applied
        if faults.CUT_FROM_LEAVES in fault.name
        and fault.name.endswith(faults.PLANNED)
    ]


def _check_planned_cut(
    requests: list[callers.RequestRecord],
    applied: Sequence[faults.AppliedFault],
) -> Iterable[str]:
    """Check that callers of VMs without a path to leaves are served."""
    cuts = _planned_cuts(applied)
    if not cuts:
        return
    start = max(fault.started_at for fault in cuts)
    yield from leaf_rules.cut_violations(
        requests,
        cut_vms=[fault.name.split()[0] for fault in cuts],
        start=start,
        end=start + cuts[0].duration_s,
    )


def _check_rate_limits(
    environment: tier_world.TierEnvironment,
    applied: Sequence[faults.AppliedFault],
) -> Iterable[str]:
    """Check that leaves which limit their rate get no more requests."""
    vm_starts: list[float] = []
    for fault in applied:
        if fault.name.startswith("vm-"):
            vm_starts.append(fault.started_at)
        elif fault.name.startswith("all VMs"):
            vm_starts += [fault.started_at] * len(environment.vms)
    for leaf_instance in environment.leaf_by_id.values():
        yield from leaf_rules.rate_limit_violations(
            leaf_instance.leaf, vm_starts=vm_starts
        )


def _was_disrupted(
    applied: Sequence[faults.AppliedFault], start: float, end: float
) -> bool:
    """Return whether a fault affected the store, its links or the VMs."""
    return any(
        fault.started_at < end and fault.started_at + fault.duration_s > start
        for fault in applied
        if fault.name.startswith(("store", "link vm", "vm-", "all VMs"))
    )


def _check_planned_stops(
    environment: tier_world.TierEnvironment,
    requests: list[callers.RequestRecord],
    applied: Sequence[faults.AppliedFault],
) -> Iterable[str]:
    """Check that a VM stopped without other faults answers what leaves ran."""
    run_ids = {
        request_id
        for leaf_instance in environment.leaf_by_id.values()
        for request_id in leaf_instance.leaf.runs
    }
    for stop in applied:
        if not stop.name.endswith(faults.PLANNED_STOP):
            continue
        vm = stop.name.split()[0]
        for request in requests:
            sent_during_stop = (
                stop.started_at - 1.0
                <= request.sent_at
                <= stop.started_at + _STOPPING_S
            )
            if request.vm != vm or not sent_during_stop or request.status:
                continue
            if request.id.encode() in run_ids:
                yield f"{request.id} ran, but was cut off by the stop of {vm}"


def _check_route_updates(
    environment: tier_world.TierEnvironment,
    requests: list[callers.RequestRecord],
    applied: Sequence[faults.AppliedFault],
) -> Iterable[str]:
    """Check that VMs use new routes within the limit, unless disrupted."""
    version_by_service = {
        shard: index
        for index, shards in enumerate(environment.shard_sets)
        for shard in shards
    }
    service_by_seal = {
        seal: leaf_instance.service
        for leaf_instance in environment.leaf_by_id.values()
        for seal in leaf_instance.leaf.response_by_seal
    }
    for request in requests:
        if request.kind != "g" or request.status != 200:
            continue
        required_version_count = sum(
            at + _ROUTE_UPDATE_S < request.sent_at
            for at in environment.shard_set_written_at
        )
        seals, _ = published_protocol.gathered_parts(request.headers)
        used_versions = [
            version_by_service.get(
                service_by_seal.get(seal, ""), required_version_count
            )
            for seal in seals
        ]
        if all(
            version >= required_version_count - 1 for version in used_versions
        ):
            continue
        if not _was_disrupted(
            applied,
            environment.shard_set_written_at[required_version_count - 1]
            - _OUTAGE_GRACE_S,
            request.sent_at,
        ):
            yield f"{request.id} used outdated routes"


def _check_recovery(
    requests: list[callers.RequestRecord],
    recovered_at: float,
    applied: Sequence[faults.AppliedFault],
) -> Iterable[str]:
    """Check that requests succeed again.

    A planned cut and a planned stop with slow leaves are judged apart.
    """
    judged_apart = [
        *_planned_cuts(applied),
        *(each for each in applied if each.name.endswith(faults.PLANNED_STOP)),
    ]
    later_requests = [
        request
        for request in requests
        if request.sent_at >= recovered_at
        and not any(
            fault.started_at
            <= request.sent_at
            <= fault.started_at + fault.duration_s
            for fault in judged_apart
        )
    ]
    success_count = sum(request.status == 200 for request in later_requests)
    if not later_requests or success_count < _RECOVERED_SHARE_MIN * len(
        later_requests
    ):
        yield (
            f"after the faults {success_count} of {len(later_requests)} "
            f"requests succeeded"
        )
