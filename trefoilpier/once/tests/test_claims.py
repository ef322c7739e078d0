"""Claims of idempotency keys under every loss that the store has."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from standins import memory_store, platform_model
from trefoilpier import base, once


class _Shop:
    """Attempts of several VMs on one virtual clock."""

    def __init__(self):
        self.clock = base.VirtualClock()
        self.model = platform_model.PlatformModel(clock=self.clock)
        self.count = 0

    def claims(self, name):
        def next_id():
            self.count += 1
            return f"{name}-{self.count}"

        store = memory_store.MemoryStore(clock=self.clock, model=self.model)
        return once.Claims(
            store=store,
            clock=self.clock,
            log=base.NullEventLog(),
            next_id=next_id,
        )

    def claim(self, claims, body=b"{}", deadline=2.0):
        results = []
        claims.claim(
            service="reserve",
            key="k",
            body=body,
            deadline=self.clock.monotonic() + deadline,
            on_done=results.append,
        )
        return results

    def claim_now(self, claims, **options):
        results = self.claim(claims, **options)
        self.clock.advance(30.0)
        return results[0]


def test_second_attempt_is_told_that_the_first_runs():
    shop = _Shop()
    assert shop.claim_now(shop.claims("a"), deadline=60.0).is_ok()
    told = shop.claim_now(shop.claims("b")).error
    assert told.code == base.ResultCode.KEY_IN_PROGRESS
    assert told.ran == base.Ran.UNKNOWN
    assert told.retry_after is not None


def test_claim_is_never_taken_over_after_its_deadline():
    shop = _Shop()
    assert shop.claim_now(shop.claims("a")).is_ok()
    shop.clock.advance(3600.0)
    told = shop.claim_now(shop.claims("b")).error
    assert told.code == base.ResultCode.OUTCOME_UNKNOWN


def test_settled_outcome_is_repeated():
    shop = _Shop()
    first = shop.claims("a")
    claim = shop.claim_now(first).ok
    first.settle(
        claim,
        code=base.ResultCode.COMPLETE,
        ran=base.Ran.YES,
        result={"receipt": 7},
    )
    shop.clock.advance(1.0)
    told = shop.claim_now(shop.claims("b")).error
    assert told.code == base.ResultCode.REPLAYED
    assert told.result == {"receipt": 7}


def test_released_claim_can_be_claimed_again_once():
    shop = _Shop()
    first = shop.claims("a")
    first.release(shop.claim_now(first).ok)
    shop.clock.advance(1.0)
    racing = [shop.claim(shop.claims("b")), shop.claim(shop.claims("c"))]
    shop.clock.advance(30.0)
    assert sorted(results[0].is_ok() for results in racing) == [False, True]


def test_key_with_another_body_is_refused():
    shop = _Shop()
    shop.claim_now(shop.claims("a"))
    told = shop.claim_now(shop.claims("b"), body=b"[]").error
    assert told.code == base.ResultCode.KEY_REUSED
    assert told.ran == base.Ran.NO


def test_lost_answer_is_settled_by_the_attempt():
    shop = _Shop()
    claims = shop.claims("a")
    claims._lease, claims._lease_at = shop.model.grant(1e6), 0.0
    shop.model.faults.lose_answers = 1
    assert shop.claim_now(claims).is_ok()


def test_store_down_is_refused_as_not_run():
    shop = _Shop()
    shop.model.faults.down = True
    told = shop.claim_now(shop.claims("a")).error
    assert told.code == base.ResultCode.STORE_UNAVAILABLE
    assert told.ran == base.Ran.NO


def test_claim_costs_two_writes_and_its_end():
    shop = _Shop()
    claims = shop.claims("a")
    shop.claim_now(claims)
    shop.clock.advance(1.0)
    before = shop.model.counts.writes
    results = []
    claims.claim(
        service="reserve",
        key="other",
        body=b"{}",
        deadline=shop.clock.monotonic() + 1,
        on_done=results.append,
    )
    shop.clock.advance(1.0)
    claims.settle(
        results[0].ok,
        code=base.ResultCode.COMPLETE,
        ran=base.Ran.YES,
        result=None,
    )
    shop.clock.advance(1.0)
    assert shop.model.counts.writes - before == 2


class ClaimMachine(RuleBasedStateMachine):
    """Interleaves attempts, ends, losses and outages for one key."""

    def __init__(self):
        super().__init__()
        self.shop = _Shop()
        self.held = []
        self.ran = 0
        self.attempts = 0

    @rule(
        lose=st.integers(0, 2),
        lose_before=st.integers(0, 2),
        down=st.booleans(),
    )
    def set_faults(self, lose, lose_before, down):
        faults = self.shop.model.faults
        faults.lose_answers = lose
        faults.lose_writes = lose_before
        faults.down = down

    @rule()
    def begin_attempt(self):
        self.attempts += 1
        claims = self.shop.claims(f"vm-{self.attempts}")
        claims.claim(
            service="reserve",
            key="k",
            body=b"{}",
            deadline=self.shop.clock.monotonic() + 2.0,
            on_done=lambda result: self._done(claims, result),
        )

    def _done(self, claims, result):
        if result.is_ok():
            self.held.append((claims, result.ok))

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.01, 4.0]))
    def wait(self, seconds):
        self.shop.clock.advance(seconds)

    @rule(send=st.booleans())
    def end_attempt(self, send):
        if not self.held:
            return
        claims, claim = self.held.pop()
        if not send:
            claims.release(claim)
            return
        self.ran += 1
        claims.settle(
            claim,
            code=base.ResultCode.COMPLETE,
            ran=base.Ran.YES,
            result=None,
        )

    @invariant()
    def at_most_one_holds_or_ran(self):
        assert self.ran + len(self.held) <= 1


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
