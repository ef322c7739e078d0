"""Replay of a load at several VMs and their leaves, on a virtual clock.

Callers try a refused request once more, obey Retry-After up to a third of
their remaining time, and count the objective from their first attempt.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from standins import memory_tier, opaque_caller
from trefoilpier import accounts, forward, http1, routes
from trefoilpier.forward import admission, request_context

_LATE_CREDIT = 0.1
# Of a request that is answered in time after it was refused early.
_RETURNED_CREDIT = 0.5
_EARLY_REFUSAL_SHARE = 0.25  # Of the objective.
_REFUSED_STATUSES = (429, 503)
_WAIT_SHARE_MAX = 1 / 3  # Of the remaining time, that callers wait.
_WORK_SPREAD = (0.6, 1.4)
_CHECK_S = 0.001  # Step of the arrivals.


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of its route.
        rate: Usual requests a second.
        work_s: Mean work of a leaf in seconds.
        objective_s: Latency objective in seconds.
        timeout_s: Time that callers wait in seconds.
        priority: Priority of the route.
        service: Service that it needs; empty if it is gathered.
    """

    name: str
    rate: float
    work_s: float
    objective_s: float
    timeout_s: float
    priority: int = 1
    service: str = ""


@dataclass(slots=True, kw_only=True)
class Sent:
    """A request of a caller and what became of it.

    Attributes:
        kind: Its kind.
        account: Name of the client account; empty for none.
        sent_at: Seconds from the start of the replay to the first attempt.
        attempts: Attempts made.
        status: Status of the last response; 0 before.
        took_s: Seconds from the first attempt to the last response.
        coverage: Share of the shards in the answer.
        refused_early: Whether the first attempt was refused within a quarter
            of the objective.
    """

    kind: Kind
    account: str
    sent_at: float
    attempts: int = 0
    status: int = 0
    took_s: float = 0.0
    coverage: float = 1.0
    refused_early: bool = True

    @property
    def served(self) -> bool:
        """Whether the request was answered."""
        return self.status == 200

    @property
    def in_time(self) -> bool:
        """Whether the request was answered within its objective."""
        return self.served and self.took_s <= self.kind.objective_s

    @property
    def credit(self) -> float:
        """Worth of the answer, 1 for a whole one in time."""
        if not self.served:
            return 0.0
        if not self.in_time:
            return _LATE_CREDIT * self.coverage**2
        if self.attempts == 1:
            return self.coverage**2
        worth = _RETURNED_CREDIT if self.refused_early else _LATE_CREDIT
        return worth * self.coverage**2


class _AccountEngine(forward.ForwardEngine):
    """Engine that takes the account from the last part of the path."""

    __slots__ = ()

    def _admit(
        self,
        context: request_context.RequestContext,
        services: tuple[str, ...],
    ) -> admission.Refusal | None:
        name = context.request.target.rpartition(b"/")[2].decode()
        if name:
            context.account = accounts.Account(name=name)
        return super()._admit(context, services)


@dataclass(slots=True, kw_only=True, frozen=True)
class Sizes:
    """Sizes of the fleet.

    Attributes:
        vms: VMs that send requests to the leaves.
        shards: Shards of the gathered requests.
        leaves: Leaves of each shard, and of each further service.
        slots: Slots of each leaf.
        min_coverage: Least coverage of an answer to a gathered request.
    """

    vms: int = 2
    shards: int = 4
    leaves: int = 2
    slots: int = 2
    min_coverage: float = 0.75


@dataclass(slots=True, kw_only=True)
class LoadReplay:
    """A load of several kinds of request from several accounts.

    Attributes:
        kinds: The kinds of request.
        sizes: Sizes of the fleet.
        policy: Settings of the decisions.
        seed: Seed of the random numbers.
        account_shares: Share of each account in the requests; empty without
            accounts.
        factor: Returns the factor on the usual rate of a kind and an account
            at a time in seconds from the start.
        sent: All requests, in order.
    """

    kinds: Sequence[Kind]
    sizes: Sizes
    policy: forward.ForwardPolicy
    seed: int = 1
    account_shares: dict[str, float] = field(default_factory=dict)
    factor: Callable[[float, Kind, str], float] = lambda at, kind, account: 1.0
    sent: list[Sent] = field(default_factory=list)
    _arrival_rng: random.Random = field(init=False)
    _vm_rng: random.Random = field(init=False)
    _first: memory_tier.MemoryTier = field(init=False)
    _start: float = field(init=False)

    def __post_init__(self) -> None:
        # The arrivals do not depend on the answers.
        self._arrival_rng = random.Random(self.seed)
        self._vm_rng = random.Random(self.seed)
        vms: list[memory_tier.MemoryTier] = []
        for k in range(self.sizes.vms):
            vms.append(
                memory_tier.MemoryTier(
                    seed=100 * self.seed + k,
                    policy=self.policy,
                    beside=vms[0] if vms else None,
                    engine_type=_AccountEngine,
                )
            )
        self._first = vms[0]
        for vm in vms:
            vm.set_routes(
                *(self._make_route(kind) for kind in self.kinds),
                connections=64,
            )
        work_by_name = {kind.name.encode(): kind.work_s for kind in self.kinds}
        rng = random.Random(self.seed)

        def work_time(request: http1.HttpRequest) -> float:
            name = request.target.split(b"/")[1]
            return work_by_name[name] * rng.uniform(*_WORK_SPREAD)

        for service in sorted(
            {name for vm in vms for name in vm.engine.table.used_services}
        ):
            for k in range(self.sizes.leaves):
                self._first.add_leaf(
                    service,
                    f"{service}.{k}",
                    slots=self.sizes.slots,
                    queue_max=30,
                    work_time=work_time,
                )
        self._start = self._first.clock.monotonic()

    def _make_route(self, kind: Kind) -> routes.Route:
        fields: dict = {
            "name": kind.name,
            "prefix": f"/{kind.name}/".encode(),
            "objective_s": kind.objective_s,
            "timeout_s": kind.timeout_s,
            "priority": kind.priority,
        }
        if kind.service:
            target = routes.WeightedService(name=kind.service, weight=1.0)
            return memory_tier.make_route(targets=(target,), **fields)
        return memory_tier.make_gather_route(
            self.sizes.shards, self.sizes.min_coverage, **fields
        )

    @property
    def now(self) -> float:
        """Seconds from the start of the replay."""
        return self._first.clock.monotonic() - self._start

    @property
    def vms(self) -> list[memory_tier.MemoryTier]:
        """The VMs."""
        return self._first.vms

    @property
    def leaf_by_id(self) -> dict:
        """All leaves by id."""
        return self._first.leaf_by_id

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action at a time from the start."""
        self._first.clock.call_later(seconds - self.now, action)

    def run(self, seconds: float) -> "LoadReplay":
        """Send requests for some seconds and wait for their answers."""
        while self.now < seconds:
            for kind in self.kinds:
                for account, share in (self.account_shares or {"": 1}).items():
                    rate = kind.rate * share
                    rate *= self.factor(self.now, kind, account)
                    if self._arrival_rng.random() < rate * _CHECK_S:
                        self._send_first(kind, account)
            self._first.clock.advance(_CHECK_S)
        self._first.clock.advance(max(kind.timeout_s for kind in self.kinds))
        return self

    def _send_first(self, kind: Kind, account: str) -> None:
        sent = Sent(kind=kind, account=account, sent_at=self.now)
        self.sent.append(sent)
        self._send(sent, len(self.sent))

    def _send(self, sent: Sent, number: int) -> None:
        vm = self._vm_rng.choice(self.vms)
        sent.attempts += 1
        kind = sent.kind
        wait_s = kind.timeout_s - (self.now - sent.sent_at)

        def on_answer(answer: memory_tier.Answer) -> None:
            sent.status = answer.status
            sent.took_s = self.now - sent.sent_at
            response = http1.HttpResponse(
                status=answer.status, headers=answer.headers
            )
            if answer.status == 200 and not kind.service:
                missing = opaque_caller.missing_shards(response)
                sent.coverage = 1 - missing / self.sizes.shards
            if answer.status in _REFUSED_STATUSES and sent.attempts == 1:
                limit_s = _EARLY_REFUSAL_SHARE * kind.objective_s
                sent.refused_early = sent.took_s <= limit_s
                left_s = kind.timeout_s - sent.took_s
                pause_s = min(
                    opaque_caller.retry_after_s(response),
                    _WAIT_SHARE_MAX * left_s,
                )
                if left_s > 0.01:
                    self._first.clock.call_later(
                        pause_s, self._send, sent, number
                    )

        vm.send_request(
            f"{number}.{sent.attempts}",
            f"/{kind.name}/{sent.account}",
            wait_s=wait_s,
            on_answer=on_answer,
        )

    def select(
        self,
        kind: str = "",
        account: str = "",
        since: float = 0.0,
        until: float = float("inf"),
    ) -> list[Sent]:
        """Return requests of a kind, an account and a time."""
        return [
            each
            for each in self.sent
            if (not kind or each.kind.name == kind)
            and (not account or each.account == account)
            and since <= each.sent_at < until
        ]


def credit(requests: Sequence[Sent]) -> float:
    """Return the mean credit of requests."""
    return sum(each.credit for each in requests) / max(1, len(requests))


def served_share(requests: Sequence[Sent]) -> float:
    """Return the share of requests that were answered."""
    return sum(each.served for each in requests) / max(1, len(requests))
