"""Claims of idempotency keys in the platform's store.

An attempt creates its claim by compare-and-swap before it sends the first
byte to a leaf. No other attempt ever takes over a claim. Only the attempt
that holds it can release it, once it is certain that it will never send the
request; a new attempt can then claim the key.
"""

import datetime
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import expression
from twisted.internet import defer

from trefoilpier import base, metadata
from trefoilpier.idempotency import record

_STORE_ATTEMPTS_MAX = 3
_LEASE_TTL_S = 172_800.0
_LEASE_REUSE_S = 3_600.0
_STORE_RETRY_AFTER = datetime.timedelta(seconds=1)
_DEADLINE_MARGIN_S = 1.0


@dataclass(slots=True, kw_only=True)
class Claim:
    """A claim that this process holds.

    Attributes:
        key: Key of the claim in the store.
        revision: Store revision of the claim's creation.
        stored_record: Record that was stored when the claim was created.
    """

    key: str
    revision: int
    stored_record: record.ClaimRecord


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRejection:
    """Reason why a key was not claimed, with any earlier outcome.

    Attributes:
        code: Result code for the caller.
        detail: Explanation for the caller.
        ran: Whether the request ran.
        result: Result of the earlier request, if it is recorded.
        retry_after: Time after which the caller can retry, if known.
    """

    code: base.ResultCode
    detail: str
    ran: base.Ran
    result: Any = None
    retry_after: datetime.timedelta | None = None


ClaimResult = expression.Result[Claim, ClaimRejection]


class Claims:
    """Client of the idempotency key claims in the platform's store."""

    __slots__ = (
        "_clock",
        "_lease_id",
        "_lease_granted_at",
        "_log",
        "_next_id",
        "_store",
    )

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
        self._lease_id = ""
        self._lease_granted_at = 0.0

    def claim(
        self,
        *,
        service: str,
        key: str,
        body: bytes,
        deadline: float,
        on_done: Callable[[ClaimResult], None],
    ) -> None:
        """Claim a key.

        Args:
            service: Name of the service; each service has its own key space.
            key: Idempotency key from the caller.
            body: Request body.
            deadline: Monotonic time in seconds after which the attempt sends
                nothing.
            on_done: Called with the claim, or with the reason why the key
                was not claimed.
        """
        remaining_s = deadline - self._clock.monotonic()
        deadline_unix_s = self._clock.utc_now().timestamp() + remaining_s
        new_record = record.ClaimRecord(
            attempt=self._next_id(),
            state=record.ClaimState.CLAIMED,
            body_hash=base.content_hash(body),
            deadline=deadline_unix_s,
        )
        store_key = f"once/{service}/{base.content_hash(key.encode())}"
        self._run_async(self._claim(store_key, new_record, on_done))

    def release(self, claim: Claim) -> None:
        """Record that the claim's request was never sent."""
        self._run_async(
            self._update_record(
                claim, record.ClaimState.RELEASED, None, base.Ran.NO
            )
        )

    def settle(
        self,
        claim: Claim,
        *,
        code: base.ResultCode,
        ran: base.Ran,
        result: Any,
    ) -> None:
        """Record the outcome of the claim's request."""
        state = record.ClaimState.SETTLED
        self._run_async(self._update_record(claim, state, code, ran, result))

    def _run_async(self, coroutine: Coroutine) -> None:
        defer.ensureDeferred(coroutine).addErrback(self._log_unhandled_error)

    def _log_unhandled_error(self, failure: Any) -> None:
        self._log.emit(
            base.Event.CLAIM_UNSETTLED, key="", problem=str(failure.value)
        )

    async def _claim(
        self,
        key: str,
        new_record: record.ClaimRecord,
        on_done: Callable[[ClaimResult], None],
    ) -> None:
        result = await self._create_claim(key, new_record)
        event = base.Event.CLAIM_MADE
        if result.is_error():
            event = base.Event.CLAIM_REFUSED
        self._log.emit(
            event,
            key=key,
            attempt=new_record.attempt,
            code=str(result.error.code) if result.is_error() else "",
        )
        on_done(result)

    async def _create_claim(
        self, key: str, new_record: record.ClaimRecord
    ) -> ClaimResult:
        """Create the claim in the store.

        If the response to the write is lost, the stored record tells whether
        the write took effect: it then has this attempt's id.
        """
        lease = await self._ensure_lease()
        if lease.is_error():
            return expression.Error(_store_unavailable(lease.error))
        expect = 0
        for _ in range(_STORE_ATTEMPTS_MAX):
            put_result = await self._store.put(
                key, new_record.to_bytes(), expect=expect, lease=lease.ok
            )
            if put_result.is_ok():
                return expression.Ok(
                    Claim(
                        key=key,
                        revision=put_result.ok.revision,
                        stored_record=new_record,
                    )
                )
            if put_result.error.code == base.ResultCode.STORE_UNAVAILABLE:
                return expression.Error(_store_unavailable(put_result.error))
            read_result = await self._store.get(key)
            if read_result.is_error():
                # The claim may exist in the store, but this attempt has not
                # sent the request and will not send it.
                return expression.Error(_store_unavailable(read_result.error))
            entry = read_result.ok
            if not entry.value:
                expect = entry.revision
                continue
            existing = record.ClaimRecord.from_bytes(entry.value)
            if existing.attempt == new_record.attempt:
                return expression.Ok(
                    Claim(
                        key=key,
                        revision=entry.revision,
                        stored_record=new_record,
                    )
                )
            if existing.state != record.ClaimState.RELEASED:
                return expression.Error(
                    self._describe_existing(existing, new_record)
                )
            expect = entry.revision
        return expression.Error(_store_unavailable(None))

    def _describe_existing(
        self, existing: record.ClaimRecord, new_record: record.ClaimRecord
    ) -> ClaimRejection:
        """Describe the claim that another attempt holds on the key."""
        if existing.body_hash != new_record.body_hash:
            return ClaimRejection(
                code=base.ResultCode.KEY_REUSED,
                detail="the key was used with another body",
                ran=base.Ran.NO,
            )
        if existing.state == record.ClaimState.SETTLED:
            return _replay_outcome(existing)
        now = self._clock.utc_now().timestamp()
        remaining_s = existing.deadline + _DEADLINE_MARGIN_S - now
        if remaining_s > 0:
            return ClaimRejection(
                code=base.ResultCode.KEY_IN_PROGRESS,
                detail="an earlier request with this key is running",
                ran=base.Ran.UNKNOWN,
                retry_after=datetime.timedelta(seconds=remaining_s),
            )
        return ClaimRejection(
            code=base.ResultCode.OUTCOME_UNKNOWN,
            detail="an earlier request with this key may or may not have run",
            ran=base.Ran.UNKNOWN,
        )

    async def _ensure_lease(self) -> expression.Result[str, base.Failure]:
        """Return a lease for new claims, so that the store expires them.

        A lease is reused for one hour.
        """
        now = self._clock.monotonic()
        if self._lease_id and now - self._lease_granted_at < _LEASE_REUSE_S:
            return expression.Ok(self._lease_id)
        granted = await self._store.grant_lease(ttl=_LEASE_TTL_S)
        if granted.is_ok():
            self._lease_id = granted.ok
            self._lease_granted_at = now
        return granted

    async def _update_record(
        self,
        claim: Claim,
        state: record.ClaimState,
        code: base.ResultCode | None,
        ran: base.Ran,
        result: Any = None,
    ) -> None:
        """Replace the claim's record, retrying when the write fails.

        If all attempts fail, an event is logged.
        """
        updated_record = record.ClaimRecord(
            attempt=claim.stored_record.attempt,
            state=state,
            body_hash=claim.stored_record.body_hash,
            deadline=claim.stored_record.deadline,
            code=code,
            ran=ran,
            result=result,
        )
        failure = None
        for _ in range(_STORE_ATTEMPTS_MAX):
            put_result = await self._store.put(
                claim.key,
                updated_record.to_bytes(),
                expect=claim.revision,
                lease=self._lease_id,
            )
            if put_result.is_ok():
                return
            failure = put_result.error
            if failure.code == base.ResultCode.STORE_CONFLICT:
                # An earlier attempt at this write took effect.
                return
        self._log.emit(
            base.Event.CLAIM_UNSETTLED,
            key=claim.key,
            attempt=claim.stored_record.attempt,
            problem=failure.detail if failure else "",
        )


def _replay_outcome(existing: record.ClaimRecord) -> ClaimRejection:
    """Return the recorded outcome of a settled claim."""
    if (
        existing.ran == base.Ran.YES
        and existing.code == base.ResultCode.COMPLETE
    ):
        return ClaimRejection(
            code=base.ResultCode.REPLAYED,
            detail="the outcome of an earlier request with this key",
            ran=base.Ran.YES,
            result=existing.result,
        )
    return ClaimRejection(
        code=existing.code or base.ResultCode.OUTCOME_UNKNOWN,
        detail="the outcome of an earlier request with this key",
        ran=existing.ran,
        result=existing.result,
    )


def _store_unavailable(failure: base.Failure | None) -> ClaimRejection:
    detail = "the platform's store cannot claim the key"
    if failure is not None and failure.detail:
        detail = f"{detail}: {failure.detail}"
    return ClaimRejection(
        code=base.ResultCode.STORE_UNAVAILABLE,
        detail=detail,
        ran=base.Ran.NO,
        retry_after=_STORE_RETRY_AFTER,
    )
