"""Claims of idempotency keys in the platform's store.

A claim is created by compare-and-swap before the first byte is sent to a
leaf. Nobody takes it over: only its own attempt may release it, after it has
decided never to send, and then a new attempt may follow.
"""

import datetime
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import expression
from twisted.internet import defer

from trefoilpier import base, metadata
from trefoilpier.once import record

_STORE_ATTEMPTS = 3
_LEASE_TTL_S = 172_800.0
_LEASE_REUSE_S = 3_600.0
_STORE_RETRY = datetime.timedelta(seconds=1)
_IN_PROGRESS_MARGIN_S = 1.0


@dataclass(slots=True, kw_only=True)
class Claim:
    """A claim that this process holds."""

    key: str
    revision: int
    current: record.ClaimRecord


@dataclass(slots=True, kw_only=True, frozen=True)
class Settled:
    """What is known of a key that this attempt did not claim."""

    code: base.ResultCode
    detail: str
    ran: base.Ran
    result: Any = None
    retry_after: datetime.timedelta | None = None


ClaimResult = expression.Result[Claim, Settled]


class Claims:
    """Claims, releases and settles idempotency keys."""

    __slots__ = ("_clock", "_lease", "_lease_at", "_log", "_next_id", "_store")

    def __init__(
        self,
        *,
        store: metadata.Store,
        clock: base.Clock,
        log: base.EventLog,
        next_id: Callable[[], str],
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._next_id = next_id
        self._lease = ""
        self._lease_at = 0.0

    def claim(
        self,
        *,
        service: str,
        key: str,
        body: bytes,
        deadline: float,
        on_done: Callable[[ClaimResult], None],
    ) -> None:
        """Claims a key.

        Args:
            service: Name of the service; keys of services are apart.
            key: The caller's key.
            body: The request's body.
            deadline: Monotonic instant after which nothing will be sent.
            on_done: Gets the claim, or what is known of the key.
        """
        left = deadline - self._clock.monotonic()
        wall = self._clock.utc_now().timestamp() + left
        fresh = record.ClaimRecord(
            attempt=self._next_id(),
            state=record.ClaimState.CLAIMED,
            body_hash=base.content_hash(body),
            deadline=wall,
        )
        store_key = f"once/{service}/{base.content_hash(key.encode())}"
        self._spawn(self._claim(store_key, fresh, on_done))

    def release(self, claim: Claim) -> None:
        """Records that the claim's request was never sent."""
        self._spawn(
            self._write(claim, record.ClaimState.RELEASED, None, base.Ran.NO)
        )

    def settle(
        self,
        claim: Claim,
        *,
        code: base.ResultCode,
        ran: base.Ran,
        result: Any,
    ) -> None:
        """Records how the claim's request ended."""
        state = record.ClaimState.SETTLED
        self._spawn(self._write(claim, state, code, ran, result))

    def _spawn(self, work: Coroutine) -> None:
        defer.ensureDeferred(work).addErrback(self._crashed)

    def _crashed(self, failure: Any) -> None:
        self._log.emit(
            base.Event.CLAIM_UNSETTLED, key="", problem=str(failure.value)
        )

    async def _claim(
        self,
        key: str,
        fresh: record.ClaimRecord,
        on_done: Callable[[ClaimResult], None],
    ) -> None:
        result = await self._try_claim(key, fresh)
        event = base.Event.CLAIM_MADE
        if result.is_error():
            event = base.Event.CLAIM_REFUSED
        self._log.emit(
            event,
            key=key,
            attempt=fresh.attempt,
            code=str(result.error.code) if result.is_error() else "",
        )
        on_done(result)

    async def _try_claim(
        self, key: str, fresh: record.ClaimRecord
    ) -> ClaimResult:
        """Creates the claim; settles a lost answer by reading it back."""
        lease = await self._find_lease()
        if lease.is_error():
            return expression.Error(_store_down(lease.error))
        expect = 0
        for _ in range(_STORE_ATTEMPTS):
            answer = await self._store.put(
                key, fresh.to_bytes(), expect=expect, lease=lease.ok
            )
            if answer.is_ok():
                return expression.Ok(
                    Claim(key=key, revision=answer.ok.revision, current=fresh)
                )
            if answer.error.code == base.ResultCode.STORE_UNAVAILABLE:
                return expression.Error(_store_down(answer.error))
            read = await self._store.get(key)
            if read.is_error():
                # The claim may stand; nothing was sent and nothing will be.
                return expression.Error(_store_down(read.error))
            entry = read.ok
            if not entry.value:
                expect = entry.revision
                continue
            known = record.ClaimRecord.from_bytes(entry.value)
            if known.attempt == fresh.attempt:
                return expression.Ok(
                    Claim(key=key, revision=entry.revision, current=fresh)
                )
            if known.state != record.ClaimState.RELEASED:
                return expression.Error(self._describe(known, fresh))
            expect = entry.revision
        return expression.Error(_store_down(None))

    def _describe(
        self, known: record.ClaimRecord, fresh: record.ClaimRecord
    ) -> Settled:
        """Tells a retry what is known of the attempt that holds the key."""
        if known.body_hash != fresh.body_hash:
            return Settled(
                code=base.ResultCode.KEY_REUSED,
                detail="the key was used with another body",
                ran=base.Ran.NO,
            )
        if known.state == record.ClaimState.SETTLED:
            return _describe_settled(known)
        now = self._clock.utc_now().timestamp()
        left = known.deadline + _IN_PROGRESS_MARGIN_S - now
        if left > 0:
            return Settled(
                code=base.ResultCode.KEY_IN_PROGRESS,
                detail="an earlier request with this key is running",
                ran=base.Ran.UNKNOWN,
                retry_after=datetime.timedelta(seconds=left),
            )
        return Settled(
            code=base.ResultCode.OUTCOME_UNKNOWN,
            detail="an earlier request with this key may or may not have run",
            ran=base.Ran.UNKNOWN,
        )

    async def _find_lease(self) -> expression.Result[str, base.Failure]:
        """Returns a lease that new claims hang on, so that they expire."""
        now = self._clock.monotonic()
        if self._lease and now - self._lease_at < _LEASE_REUSE_S:
            return expression.Ok(self._lease)
        granted = await self._store.grant_lease(ttl=_LEASE_TTL_S)
        if granted.is_ok():
            self._lease = granted.ok
            self._lease_at = now
        return granted

    async def _write(
        self,
        claim: Claim,
        state: record.ClaimState,
        code: base.ResultCode | None,
        ran: base.Ran,
        result: Any = None,
    ) -> None:
        """Replaces the claim's record; tries again while the store is down."""
        settled = record.ClaimRecord(
            attempt=claim.current.attempt,
            state=state,
            body_hash=claim.current.body_hash,
            deadline=claim.current.deadline,
            code=code,
            ran=ran,
            result=result,
        )
        failure = None
        for _ in range(_STORE_ATTEMPTS):
            answer = await self._store.put(
                claim.key,
                settled.to_bytes(),
                expect=claim.revision,
                lease=self._lease,
            )
            if answer.is_ok():
                return
            failure = answer.error
            if failure.code == base.ResultCode.STORE_CONFLICT:
                # An earlier try of this write took effect.
                return
        self._log.emit(
            base.Event.CLAIM_UNSETTLED,
            key=claim.key,
            attempt=claim.current.attempt,
            problem=failure.detail if failure else "",
        )


def _describe_settled(known: record.ClaimRecord) -> Settled:
    """Repeats a recorded outcome."""
    if known.ran == base.Ran.YES and known.code == base.ResultCode.COMPLETE:
        return Settled(
            code=base.ResultCode.REPLAYED,
            detail="the outcome of an earlier request with this key",
            ran=base.Ran.YES,
            result=known.result,
        )
    return Settled(
        code=known.code or base.ResultCode.OUTCOME_UNKNOWN,
        detail="the outcome of an earlier request with this key",
        ran=known.ran,
        result=known.result,
    )


def _store_down(failure: base.Failure | None) -> Settled:
    detail = "the platform's store cannot claim the key"
    if failure is not None and failure.detail:
        detail = f"{detail}: {failure.detail}"
    return Settled(
        code=base.ResultCode.STORE_UNAVAILABLE,
        detail=detail,
        ran=base.Ran.NO,
        retry_after=_STORE_RETRY,
    )
