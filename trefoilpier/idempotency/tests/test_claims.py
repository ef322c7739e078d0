"""Claims of idempotency keys under lost writes and store outages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from standins import memory_store, platform_model
from trefoilpier import base, idempotency


class _ClaimScenario:
    """Attempts of several VMs at one key, on one virtual clock."""

    def __init__(self):
        self.clock = base.VirtualClock()
        self.model = platform_model.PlatformModel(clock=self.clock)
        self.attempt_count = 0

    def claims(self, vm_name):
        def next_id():
            self.attempt_count += 1
            return f"{vm_name}-{self.attempt_count}"

        store = memory_store.MemoryStore(clock=self.clock, model=self.model)
        return idempotency.Claims(
            store=store,
            clock=self.clock,
            log=base.NullEventLog(),
            next_id=next_id,
        )

    def claim(self, claims, body=b"{}", deadline=2.0):
        outcomes = []
        claims.claim(
            service="reserve",
            key="k",
            body=body,
            deadline=self.clock.monotonic() + deadline,
            on_done=outcomes.append,
        )
        return outcomes

    def claim_now(self, claims, **options):
        outcomes = self.claim(claims, **options)
        self.clock.advance(30.0)
        return outcomes[0]


def test_second_attempt_gets_key_in_progress():
    scenario = _ClaimScenario()
    assert scenario.claim_now(scenario.claims("a"), deadline=60.0).is_ok()
    rejection = scenario.claim_now(scenario.claims("b")).error
    assert rejection.code == base.ResultCode.KEY_IN_PROGRESS
    assert rejection.ran == base.Ran.UNKNOWN
    assert rejection.retry_after is not None


def test_expired_claim_is_never_taken_over():
    scenario = _ClaimScenario()
    assert scenario.claim_now(scenario.claims("a")).is_ok()
    scenario.clock.advance(3600.0)
    rejection = scenario.claim_now(scenario.claims("b")).error
    assert rejection.code == base.ResultCode.OUTCOME_UNKNOWN


def test_settled_outcome_is_replayed():
    scenario = _ClaimScenario()
    first_claims = scenario.claims("a")
    claim = scenario.claim_now(first_claims).ok
    first_claims.settle(
        claim,
        code=base.ResultCode.COMPLETE,
        ran=base.Ran.YES,
        result={"receipt": 7},
    )
    scenario.clock.advance(1.0)
    rejection = scenario.claim_now(scenario.claims("b")).error
    assert rejection.code == base.ResultCode.REPLAYED
    assert rejection.result == {"receipt": 7}


def test_released_key_can_be_claimed_by_one_attempt():
    scenario = _ClaimScenario()
    first_claims = scenario.claims("a")
    first_claims.release(scenario.claim_now(first_claims).ok)
    scenario.clock.advance(1.0)
    racing_outcomes = [
        scenario.claim(scenario.claims("b")),
        scenario.claim(scenario.claims("c")),
    ]
    scenario.clock.advance(30.0)
    assert sorted(outcomes[0].is_ok() for outcomes in racing_outcomes) == [
        False,
        True,
    ]


def test_key_reuse_with_another_body_is_rejected():
    scenario = _ClaimScenario()
    scenario.claim_now(scenario.claims("a"))
    rejection = scenario.claim_now(scenario.claims("b"), body=b"[]").error
    assert rejection.code == base.ResultCode.KEY_REUSED
    assert rejection.ran == base.Ran.NO


def test_lost_store_response_is_resolved_by_read_back():
    scenario = _ClaimScenario()
    claims = scenario.claims("a")
    claims._lease_id, claims._lease_granted_at = (
        scenario.model.grant_lease(1e6),
        0.0,
    )
    scenario.model.faults.lose_answers = 1
    assert scenario.claim_now(claims).is_ok()


def test_store_outage_is_reported_as_not_run():
    scenario = _ClaimScenario()
    scenario.model.faults.down = True
    rejection = scenario.claim_now(scenario.claims("a")).error
    assert rejection.code == base.ResultCode.STORE_UNAVAILABLE
    assert rejection.ran == base.Ran.NO


def test_claim_and_settle_cost_two_writes():
    scenario = _ClaimScenario()
    claims = scenario.claims("a")
    scenario.claim_now(claims)
    scenario.clock.advance(1.0)
    writes_before = scenario.model.counts.writes
    outcomes = []
    claims.claim(
        service="reserve",
        key="other",
        body=b"{}",
        deadline=scenario.clock.monotonic() + 1,
        on_done=outcomes.append,
    )
    scenario.clock.advance(1.0)
    claims.settle(
        outcomes[0].ok,
        code=base.ResultCode.COMPLETE,
        ran=base.Ran.YES,
        result=None,
    )
    scenario.clock.advance(1.0)
    assert scenario.model.counts.writes - writes_before == 2


class ClaimMachine(RuleBasedStateMachine):
    """Interleaving of attempts, outcomes, lost writes and outages for a key.

    At most one attempt may hold the claim or have run its request.
    """

    def __init__(self):
        super().__init__()
        self.scenario = _ClaimScenario()
        self.held_claims = []
        self.run_count = 0
        self.attempts = 0

    @rule(
        lost_answers=st.integers(0, 2),
        lost_writes=st.integers(0, 2),
        down=st.booleans(),
    )
    def set_faults(self, lost_answers, lost_writes, down):
        faults = self.scenario.model.faults
        faults.lose_answers = lost_answers
        faults.lose_writes = lost_writes
        faults.down = down

    @rule()
    def begin_attempt(self):
        self.attempts += 1
        claims = self.scenario.claims(f"vm-{self.attempts}")
        claims.claim(
            service="reserve",
            key="k",
            body=b"{}",
            deadline=self.scenario.clock.monotonic() + 2.0,
            on_done=lambda result: self._record_claim(claims, result),
        )

    def _record_claim(self, claims, result):
        if result.is_ok():
            self.held_claims.append((claims, result.ok))

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.01, 4.0]))
    def wait(self, seconds):
        self.scenario.clock.advance(seconds)

    @rule(send=st.booleans())
    def end_attempt(self, send):
        if not self.held_claims:
            return
        claims, claim = self.held_claims.pop()
        if not send:
            claims.release(claim)
            return
        self.run_count += 1
        claims.settle(
            claim,
            code=base.ResultCode.COMPLETE,
            ran=base.Ran.YES,
            result=None,
        )

    @invariant()
    def at_most_one_holds_or_ran(self):
        assert self.run_count + len(self.held_claims) <= 1


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
