"""Tests that each soak check detects the violation it looks for."""

import types

import pytest

from soak import callers, checks, faults
from standins import leaf_rules, opaque_leaf
from trefoilpier import base


def make_leaf(service, **answers):
    leaf = types.SimpleNamespace(
        id="leaf",
        last_request_at=0.0,
        rate_limits=(),
        runs=[answer.request_id for answer in answers.values()],
        response_by_seal={k.encode(): v for k, v in answers.items()},
    )
    return types.SimpleNamespace(leaf=leaf, service=service, leaving_at=None)


def make_answer(request_id, body=b"b" * 16, status=200):
    return opaque_leaf.LeafResponse(
        request_id=request_id.encode(), status=status, body=body
    )


def make_environment(*leaves, sets=(("s1", "s2"),)):
    return types.SimpleNamespace(
        leaf_by_id=dict(enumerate(leaves)),
        shard_sets=list(sets),
        shard_set_written_at=[-10.0 for _ in sets],
        vms=[],
    )


def make_request(request_id, status=200, headers=(), body=b"", kind="w"):
    return callers.RequestRecord(
        id=request_id,
        kind=kind,
        vm="vm",
        sent_at=1.0,
        status=status,
        headers=list(headers),
        body=body,
    )


def seal_headers(text):
    return [(b"x-server-seal", text)]


def make_gather(request_id, seals, missing=0, body=b"b" * 16 + b"a" * 16):
    headers = [
        (b"x-part-stamps", b", ".join(seals)),
        (b"x-missing-parts", b"%d" % missing),
    ]
    return make_request(request_id, headers=headers, body=body, kind="g")


GOOD_LEAVES = (
    make_leaf("s1", p1=make_answer("g1", b"a" * 16)),
    make_leaf("s2", p2=make_answer("g1", b"b" * 16)),
)


def find_violations(environment, *requests):
    """Return the violations except that of recovery, which has its own test."""
    lines = checks.check_all(environment, list(requests), recovered_at=0.0)
    return [line for line in lines if not line.startswith("after the faults")]


def test_correct_answers_pass():
    single_leaf = make_leaf("single", x=make_answer("w1"))
    assert not find_violations(
        make_environment(single_leaf),
        make_request("w1", headers=seal_headers(b"x"), body=b"b" * 16),
    )
    assert not find_violations(
        make_environment(*GOOD_LEAVES), make_gather("g1", [b"p1", b"p2"])
    )


@pytest.mark.parametrize(
    ("environment", "record"),
    [
        # The request ran twice, or ran although it was refused.
        (
            make_environment(
                make_leaf("single", x=make_answer("w1"), y=make_answer("w1")),
            ),
            make_request("w1", headers=seal_headers(b"x"), body=b"b" * 16),
        ),
        (
            make_environment(make_leaf("single", x=make_answer("w1"))),
            make_request("w1", 503),
        ),
        # The answer belongs to another request, is changed, or is a failure.
        (
            make_environment(make_leaf("single", x=make_answer("w2"))),
            make_request("w1", headers=seal_headers(b"x"), body=b"b" * 16),
        ),
        (
            make_environment(make_leaf("single", x=make_answer("w1"))),
            make_request("w1", headers=seal_headers(b"x"), body=b"c" * 16),
        ),
        (
            make_environment(
                make_leaf("single", x=make_answer("w1", status=500))
            ),
            make_request("w1", headers=seal_headers(b"x"), body=b"b" * 16),
        ),
        # Parts are unknown, duplicated, of mixed versions, or wrong in count or
        # records.
        (make_environment(*GOOD_LEAVES), make_gather("g1", [b"p1", b"p9"])),
        (make_environment(*GOOD_LEAVES), make_gather("g1", [b"p1", b"p1"])),
        (make_environment(*GOOD_LEAVES), make_gather("g1", [b"p1"], missing=0)),
        (
            make_environment(*GOOD_LEAVES, sets=(("s1", "t1"), ("s2", "t2"))),
            make_gather("g1", [b"p1", b"p2"]),
        ),
        (
            make_environment(*GOOD_LEAVES),
            make_gather("g1", [b"p1", b"p2"], body=b"a" * 16 + b"b" * 16),
        ),
        # A leaf ran a request that no caller sent.
        (
            make_environment(make_leaf("single", x=make_answer("?"))),
            make_request("r1", 502),
        ),
    ],
)
def test_violation_is_detected(environment, record):
    assert find_violations(environment, record)


def test_missing_recovery_is_detected():
    succeeded = [make_request(f"r{k}", kind="?") for k in range(9)]
    failed = [make_request(f"w{k}", 0) for k in range(2)]
    later = checks.check_all(
        make_environment(), succeeded + failed, recovered_at=0.0
    )
    assert any("9 of 11 requests" in line for line in later)
    earlier = checks.check_all(
        make_environment(), succeeded + failed, recovered_at=2.0
    )
    assert any("0 of 0 requests" in line for line in earlier)


def test_late_request_to_leaving_leaf_is_detected_unless_disrupted():
    leaving = make_leaf("s1")
    leaving.leaving_at = 10.0
    leaving.leaf.last_request_at = 13.5

    def matching_lines(*applied):
        return [
            line
            for line in checks.check_all(
                make_environment(leaving), [], recovered_at=0.0, applied=applied
            )
            if "after leaving" in line
        ]

    assert matching_lines()
    assert matching_lines(
        faults.AppliedFault(
            name="leaf-1 drains", started_at=9.0, duration_s=3.0
        )
    )
    assert matching_lines(
        faults.AppliedFault(name="store down", started_at=1.0, duration_s=3.0)
    )
    assert not matching_lines(
        faults.AppliedFault(name="store down", started_at=3.0, duration_s=4.0)
    )
    leaving.leaf.last_request_at = 12.5
    assert not matching_lines()


def test_request_cut_off_by_planned_stop_is_detected():
    environment = make_environment(make_leaf("single", x=make_answer("w1")))
    stop = faults.AppliedFault(
        name=f"vm {faults.PLANNED_STOP}", started_at=1.5, duration_s=0.0
    )

    def matching_lines(status, applied=(stop,)):
        return [
            line
            for line in checks.check_all(
                environment,
                [make_request("w1", status)],
                recovered_at=0.0,
                applied=applied,
            )
            if "was cut off by" in line
        ]

    assert matching_lines(0)
    assert not matching_lines(502)
    assert not matching_lines(0, applied=())
    assert not matching_lines(
        0,
        [faults.AppliedFault(name=stop.name, started_at=30.0, duration_s=0.0)],
    )


def test_outdated_routes_are_detected_unless_disrupted():
    environment = make_environment(
        *GOOD_LEAVES, sets=(("s1", "s2"), ("t1", "t2"))
    )
    request = make_gather("g1", [b"p1", b"p2"])

    def matching_lines(written_at, *applied):
        environment.shard_set_written_at = [-20.0, written_at]
        return [
            line
            for line in checks.check_all(
                environment, [request], recovered_at=0.0, applied=applied
            )
            if "outdated routes" in line
        ]

    assert matching_lines(-5.0)
    assert not matching_lines(-1.0)
    down = faults.AppliedFault(
        name="store down", started_at=-4.0, duration_s=1.0
    )
    assert not matching_lines(-5.0, down)


@pytest.mark.parametrize(("gap_s", "found"), [(0.1, True), (0.2, False)])
def test_requests_beyond_a_leafs_rate_limit_are_found(gap_s, found):
    clock = base.VirtualClock(start=10.0)
    leaf = opaque_leaf.OpaqueLeaf(clock=clock, rng=None, leaf_id="a")
    leaf.limit_rate(3.0)
    leaf.request_times = [10.0 + gap_s * k for k in range(100)]
    assert bool(list(leaf_rules.rate_limit_violations(leaf))) is found
    # A VM that starts is told only by the leaf's first answer.
    starts = [12.0] * 5
    assert not list(leaf_rules.rate_limit_violations(leaf, vm_starts=starts))


@pytest.mark.parametrize(
    ("status", "planned", "found"),
    [(503, True, True), (200, True, False), (503, False, False)],
)
def test_refused_callers_of_vms_cut_from_leaves_are_found(
    status, planned, found
):
    name = f"vm {faults.CUT_FROM_LEAVES} (silent)"
    fault = faults.AppliedFault(
        name=f"{name}, {faults.PLANNED}" if planned else name,
        started_at=10.0,
        duration_s=7.0,
    )
    requests = []
    for k in range(30):
        for vm, answered in (("vm", status), ("other", 200)):
            request = make_request(f"{vm}{k}", status=answered, kind="r")
            request.vm, request.sent_at = vm, 14.0 + k / 10
            requests.append(request)
    lines = checks._check_planned_cut(requests, [fault])
    assert bool(list(lines)) is found
    # Refusals before the platform judges the cut VMs do not count.
    for request in requests:
        request.sent_at -= 3.0
    assert not list(checks._check_planned_cut(requests, [fault]))
