"""The owner's side of a limit: its tokens and their division among VMs."""

from dataclasses import dataclass

from trefoilpier.shares import demand as demands
from trefoilpier.shares import messages, spec

# A VM that has not asked for this time has no claim on tokens. Longer than two
# periods of the exchange, so that one lost message does not end a claim.
_CLAIM_LIFETIME_S = 0.6
# Claims grow for at most this time, so that a VM whose demand has ended does
# not keep tokens from the others.
_CLAIM_TIME_S = 0.3
# One token is left for a VM that asks for a caller's request.
_KEPT_FOR_CALLERS = 1.0
_SHARE_MIN = 0.01  # Requests a second; avoids a division by zero.


@dataclass(slots=True, kw_only=True)
class _HolderState:
    """What the owner knows of one VM.

    Attributes:
        run: Start of the VM's process, which numbers its requests.
        number: Number of its last request.
        asked_at: Monotonic time of that request.
        demand: Its demand in requests a second.
        claim: Tokens that are due to it.
        held: Tokens given to it and not known to be used or returned.
        expires_at: Monotonic time at which these have expired.
    """

    run: int
    number: int
    asked_at: float
    demand: float = 0.0
    claim: float = 0.0
    held: int = 0
    expires_at: float = 0.0


class OwnedLimit:
    """Token bucket of one limit and the claims of the VMs on it.

    The tokens in the bucket and those given out together never exceed the
    limit's capacity, so that whatever VMs do with their tokens, the sum in any
    window is at most capacity + rate x window.

    Attributes:
        asked_at: Monotonic time of the last request for tokens.
        spec: The limit.
        level: Tokens in the bucket.
    """

    __slots__ = (
        "_capacity",
        "_founded_at",
        "_holder_by_id",
        "_rate",
        "_updated_at",
        "asked_at",
        "level",
        "spec",
    )

    def __init__(
        self,
        *,
        limit_spec: spec.LimitSpec,
        since: float,
        now: float,
        founded_at: float | None = None,
    ) -> None:
        """Create the bucket of a limit that no VM has asked for yet.

        Args:
            limit_spec: The limit.
            since: Monotonic time since when this VM has been the owner.
            now: Monotonic time.
            founded_at: Monotonic time at which the processes of all VMs were
                new; None if that has not been seen.
        """
        self.spec = limit_spec
        self._founded_at = founded_at
        self._capacity = limit_spec.capacity
        self._rate = limit_spec.grant_rate
        self._holder_by_id: dict[str, _HolderState] = {}
        self._updated_at = now
        self.asked_at = now
        self.level = self._level_max(since, now)

    def _level_max(self, since: float, now: float) -> float:
        """Return the tokens that the bucket may hold.

        A new owner starts with an empty bucket once the tokens of the former
        one have expired. After a loss of all VMs nobody holds such tokens.
        """
        founded_at = self._founded_at
        if founded_at is not None and since <= founded_at:
            grown = self._rate * (now - founded_at)
            return min(self._capacity, self.spec.start_credit + grown)
        owned_s = now - since - spec.TOKEN_LIFETIME_S
        return min(self._capacity, self._rate * max(0.0, owned_s))

    def set_spec(self, limit_spec: spec.LimitSpec, now: float) -> None:
        """Change the limit; a lower one takes effect at once."""
        if limit_spec == self.spec:
            return
        self._advance(now)
        self.spec = limit_spec
        self._capacity = limit_spec.capacity
        self._rate = limit_spec.grant_rate
        self._clamp()

    def _held(self) -> int:
        return sum(holder.held for holder in self._holder_by_id.values())

    def _clamp(self) -> None:
        room = max(0.0, self._capacity - self._held())
        self.level = min(self.level, room)

    def _advance(self, now: float) -> None:
        """Refill the bucket, in the order in which given tokens expire."""
        expiring = sorted(
            (
                holder
                for holder in self._holder_by_id.values()
                if holder.held and holder.expires_at <= now
            ),
            key=lambda holder: holder.expires_at,
        )
        for holder in expiring:
            self._refill(holder.expires_at)
            holder.held = 0
        self._refill(now)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self.level += self._rate * elapsed_s
        self._clamp()

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Return whether a new bucket would be the same as this one."""
        if now - self.asked_at < idle_s:
            return False
        self._advance(now)
        return self.level >= self._capacity or not self._rate

    def grant(
        self,
        ask: messages.Ask,
        request: messages.ShareRequest,
        *,
        since: float,
        now: float,
    ) -> messages.Grant:
        """Give tokens to a VM.

        Args:
            ask: What it asks for.
            request: The request that contains this.
            since: Monotonic time since when this VM has been the owner.
            now: Monotonic time.
        """
        self.asked_at = now
        self._advance(now)
        holder = self._settle(ask, request, now)
        if holder is None:
            return messages.Grant(tokens=0, wait_s=0.0, share=0.0)
        self.level = min(self.level + ask.returned, self._level_max(since, now))
        self._clamp()
        share, due = self._update_claims(holder, now)
        available = self._available(holder.claim, due)
        tokens = min(ask.urgent, int(available))
        ahead = int(available - tokens - _KEPT_FOR_CALLERS)
        tokens += max(0, min(ask.ahead, ahead))
        self.level -= tokens
        holder.claim -= tokens
        holder.held = tokens
        holder.expires_at = now + spec.TOKEN_LIFETIME_S
        return messages.Grant(
            tokens=tokens,
            wait_s=self._wait_s(share),
            share=share,
        )

    def _settle(
        self,
        ask: messages.Ask,
        request: messages.ShareRequest,
        now: float,
    ) -> _HolderState | None:
        """Return the VM's state without tokens; None for an old request.

        A VM that has not seen the last answer never uses the tokens in it.
        """
        holder = self._holder_by_id.get(request.sender)
        if holder is not None and holder.run > request.run:
            return None
        if holder is None or holder.run < request.run:
            if holder is not None and holder.held:
                self._keep_ended(request.sender, holder)
            holder = _HolderState(
                run=request.run, number=0, asked_at=now - _CLAIM_TIME_S
            )
            self._holder_by_id[request.sender] = holder
        if request.number <= holder.number:
            return None
        if request.seen < holder.number:
            self.level += holder.held
        holder.number = request.number
        holder.held = 0
        holder.demand = ask.demand
        return holder

    def _keep_ended(self, sender: str, ended: _HolderState) -> None:
        """Count the tokens of a process that has ended until they expire."""
        key = f"{sender}|ended"
        earlier = self._holder_by_id.get(key)
        if earlier is not None:
            ended.held += earlier.held
        ended.demand = 0.0
        self._holder_by_id[key] = ended

    def _update_claims(
        self, asking: _HolderState, now: float
    ) -> tuple[float, int]:
        """Let claims grow by max-min fairness.

        Returns:
            The asking VM's share in requests a second, and the whole tokens
            that are due to other VMs.
        """
        others = []
        for vm_id, holder in list(self._holder_by_id.items()):
            if holder is asking:
                continue
            if now - holder.asked_at < _CLAIM_LIFETIME_S:
                others.append(holder)
            elif not holder.held:
                del self._holder_by_id[vm_id]
        level = demands.fair_level(
            [asking.demand, *(holder.demand for holder in others)], self._rate
        )
        due = sum(
            max(0, int(self._claim_at(holder, level, now))) for holder in others
        )
        asking.claim = self._claim_at(asking, level, now)
        asking.asked_at = now
        return min(asking.demand, level), due

    def _claim_at(
        self, holder: _HolderState, level: float, now: float
    ) -> float:
        share = min(holder.demand, level)
        claim = holder.claim + share * (now - holder.asked_at)
        return min(claim, share * _CLAIM_TIME_S + 1.0)

    def _available(self, claim: float, due: int) -> float:
        """Return the tokens that a VM may get.

        If the bucket does not cover all claims, it is divided in proportion to
        them; otherwise the VM may also get what nobody claims.

        Args:
            claim: Tokens that are due to the VM.
            due: Tokens that are due to other VMs.
        """
        claim = max(0.0, claim)
        if claim + due <= self.level:
            return self.level - due
        part = self.level * claim / (claim + due)
        return max(part, self.level - due)

    def _wait_s(self, share: float) -> float:
        """Return the time until a VM may get another token."""
        if self.level >= 1.0:
            # The tokens are due to other VMs.
            return 1.0 / max(share, _SHARE_MIN)
        return (1.0 - self.level) / max(self._rate, _SHARE_MIN)
