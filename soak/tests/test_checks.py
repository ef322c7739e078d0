"""Each check of the soak fails on what it is there for."""

import types

import pytest

from soak import callers, checks, faults
from standins import opaque_leaf


def make_leaf(service, **answers):
    leaf = types.SimpleNamespace(
        id="leaf",
        last_request_at=0.0,
        runs=[answer.request_id for answer in answers.values()],
        answer_by_seal={k.encode(): v for k, v in answers.items()},
    )
    return types.SimpleNamespace(leaf=leaf, service=service, leaving_at=None)


def answer(request_id, body=b"b" * 16, status=200):
    return opaque_leaf.LeafAnswer(
        request_id=request_id.encode(), status=status, body=body
    )


def make_world(*leafs, sets=(("s1", "s2"),)):
    return types.SimpleNamespace(
        leaf_by_id=dict(enumerate(leafs)),
        sets=list(sets),
        named_at=[-10.0 for _ in sets],
        vms=[],
    )


def seen(request_id, status=200, headers=(), body=b"", kind="w"):
    return callers.Seen(
        id=request_id,
        kind=kind,
        vm="vm",
        sent_at=1.0,
        status=status,
        headers=list(headers),
        body=body,
    )


def seal(text):
    return [(b"x-server-seal", text)]


def gathered(request_id, seals, missing=0, body=b"b" * 16 + b"a" * 16):
    headers = [
        (b"x-part-stamps", b", ".join(seals)),
        (b"x-missing-parts", b"%d" % missing),
    ]
    return seen(request_id, headers=headers, body=body, kind="g")


GOOD_LEAFS = (
    make_leaf("s1", p1=answer("g1", b"a" * 16)),
    make_leaf("s2", p2=answer("g1", b"b" * 16)),
)


def found(soak_world, *requests):
    """Returns what is found beside the recovery, which has its own test."""
    lines = checks.check_all(soak_world, list(requests), recovered_from=0.0)
    return [line for line in lines if not line.startswith("after the faults")]


def test_good_answers_pass():
    one = make_leaf("single", x=answer("w1"))
    assert not found(
        make_world(one), seen("w1", headers=seal(b"x"), body=b"b" * 16)
    )
    assert not found(make_world(*GOOD_LEAFS), gathered("g1", [b"p1", b"p2"]))


@pytest.mark.parametrize(
    ("soak_world", "request_seen"),
    [
        # It ran twice, or ran though refused.
        (
            make_world(
                make_leaf("single", x=answer("w1"), y=answer("w1")),
            ),
            seen("w1", headers=seal(b"x"), body=b"b" * 16),
        ),
        (make_world(make_leaf("single", x=answer("w1"))), seen("w1", 503)),
        # The answer is another request's, changed, or a failure.
        (
            make_world(make_leaf("single", x=answer("w2"))),
            seen("w1", headers=seal(b"x"), body=b"b" * 16),
        ),
        (
            make_world(make_leaf("single", x=answer("w1"))),
            seen("w1", headers=seal(b"x"), body=b"c" * 16),
        ),
        (
            make_world(make_leaf("single", x=answer("w1", status=500))),
            seen("w1", headers=seal(b"x"), body=b"b" * 16),
        ),
        # Parts: unknown, doubled, mixed versions, wrong count or records.
        (make_world(*GOOD_LEAFS), gathered("g1", [b"p1", b"p9"])),
        (make_world(*GOOD_LEAFS), gathered("g1", [b"p1", b"p1"])),
        (make_world(*GOOD_LEAFS), gathered("g1", [b"p1"], missing=0)),
        (
            make_world(*GOOD_LEAFS, sets=(("s1", "t1"), ("s2", "t2"))),
            gathered("g1", [b"p1", b"p2"]),
        ),
        (
            make_world(*GOOD_LEAFS),
            gathered("g1", [b"p1", b"p2"], body=b"a" * 16 + b"b" * 16),
        ),
        # A leaf ran what nobody sent.
        (make_world(make_leaf("single", x=answer("?"))), seen("r1", 502)),
    ],
)
def test_each_broken_promise_is_found(soak_world, request_seen):
    assert found(soak_world, request_seen)


def test_requests_that_fail_after_the_faults_are_found():
    good = [seen(f"r{k}", kind="?") for k in range(9)]
    bad = [seen(f"w{k}", 0) for k in range(2)]
    after = checks.check_all(make_world(), good + bad, recovered_from=0.0)
    assert any("9 of 11 requests" in line for line in after)
    before = checks.check_all(make_world(), good + bad, recovered_from=2.0)
    assert any("0 of 0 requests" in line for line in before)


def test_a_request_to_a_leaf_that_left_is_found_unless_excused():
    left = make_leaf("s1")
    left.leaving_at = 10.0
    left.leaf.last_request_at = 13.5

    def lines(*applied):
        return [
            line
            for line in checks.check_all(
                make_world(left), [], recovered_from=0.0, applied=applied
            )
            if "after leaving" in line
        ]

    assert lines()
    assert lines(faults.Disruption(name="leaf-1 drains", at=9.0, seconds=3.0))
    assert lines(faults.Disruption(name="store down", at=1.0, seconds=3.0))
    assert not lines(faults.Disruption(name="store down", at=3.0, seconds=4.0))
    left.leaf.last_request_at = 12.5
    assert not lines()


def test_a_request_that_ran_and_was_cut_by_a_planned_stop_is_found():
    soak_world = make_world(make_leaf("single", x=answer("w1")))
    stop = faults.Disruption(name=f"vm {faults.PLANNED}", at=1.5, seconds=0.0)

    def lines(status, applied=(stop,)):
        return [
            line
            for line in checks.check_all(
                soak_world,
                [seen("w1", status)],
                recovered_from=0.0,
                applied=applied,
            )
            if "was cut" in line
        ]

    assert lines(0)
    assert not lines(502)
    assert not lines(0, applied=())
    assert not lines(
        0, [faults.Disruption(name=stop.name, at=30.0, seconds=0.0)]
    )


def test_routes_that_were_replaced_long_before_are_found_unless_excused():
    soak_world = make_world(*GOOD_LEAFS, sets=(("s1", "s2"), ("t1", "t2")))
    request_seen = gathered("g1", [b"p1", b"p2"])

    def lines(named_at, *applied):
        soak_world.named_at = [-20.0, named_at]
        return [
            line
            for line in checks.check_all(
                soak_world, [request_seen], recovered_from=0.0, applied=applied
            )
            if "were replaced" in line
        ]

    assert lines(-5.0)
    assert not lines(-1.0)
    down = faults.Disruption(name="store down", at=-4.0, seconds=1.0)
    assert not lines(-5.0, down)
