"""VMs that share limits over small in-memory links, on a virtual clock."""

import bisect
import random
from collections.abc import Callable

from trefoilpier import base, shares

_LIMIT = "quota/crew"


class _LinkTransport(shares.ShareTransport):
    """Sends the messages of one process."""

    __slots__ = ("_fleet", "_vm_id", "ended")

    def __init__(self, *, fleet: "ShareFleet", vm_id: str) -> None:
        self._fleet = fleet
        self._vm_id = vm_id
        self.ended = False

    def send(
        self,
        vm_id: str,
        body: bytes,
        on_outcome: Callable[[bytes | shares.SendFailure], None],
    ) -> None:
        """Carry a message and its answer, or time out."""
        decided = False

        def decide(outcome: bytes | shares.SendFailure) -> None:
            nonlocal decided
            if not decided and not self.ended:
                decided = True
                on_outcome(outcome)

        self._fleet.carry(self._vm_id, vm_id, body, decide)
        self._fleet.clock.call_later(
            shares.ANSWER_TIMEOUT_S, decide, shares.SendFailure.LOST
        )


class ShareFleet:
    """VMs, the links between them and what they admit.

    Attributes:
        clock: The virtual clock.
        spec: The limit that all VMs know.
        service_by_id: Running VMs.
        is_cut: Returns whether messages from one VM to another are lost.
        loss: Share of messages and of answers that are lost.
        delay_s: Shortest and longest time of a message or answer.
        previous_release: VMs that do not know shared limits.
        messages: Messages sent.
        largest_message: Bytes of the largest one.
        admitted_at: Monotonic times of the admitted requests.
        refused_at: Monotonic times of the refused requests.
        refusals: The refusals.
    """

    __slots__ = (
        "_rng",
        "_run_by_id",
        "_starts",
        "_transport_by_id",
        "admitted_at",
        "clock",
        "delay_s",
        "is_cut",
        "largest_message",
        "loss",
        "messages",
        "previous_release",
        "refusals",
        "refused_at",
        "service_by_id",
        "spec",
    )

    def __init__(
        self, *, spec: shares.LimitSpec, count: int, seed: int = 1
    ) -> None:
        """Start VMs that have been running for a while.

        Args:
            spec: The limit.
            count: VMs.
            seed: Seed of everything random.
        """
        self._rng = random.Random(seed)
        self._starts = 0
        self._run_by_id: dict[str, int] = {}
        self._transport_by_id: dict[str, _LinkTransport] = {}
        self.clock = base.VirtualClock(start=100.0)
        self.spec = spec
        self.service_by_id: dict[str, shares.ShareService] = {}
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self.loss = 0.0
        self.delay_s = (0.0005, 0.002)
        self.previous_release: set[str] = set()
        self.messages = 0
        self.largest_message = 0
        self.admitted_at: list[float] = []
        self.refused_at: list[float] = []
        self.refusals: list[shares.ShareDecision] = []
        for number in range(count):
            self.start(f"vm-{number}")
        self.set_members()
        self.clock.advance(30.0)

    def start(self, vm_id: str) -> None:
        """Start a process, which knows no gatherers yet."""
        # Start times in milliseconds, which rise with each start.
        self._starts = max(self._starts + 1, int(self.clock.monotonic() * 1000))
        self._run_by_id[vm_id] = self._starts
        transport = _LinkTransport(fleet=self, vm_id=vm_id)
        self._transport_by_id[vm_id] = transport
        self.service_by_id[vm_id] = shares.ShareService(
            clock=self.clock,
            log=base.NullEventLog(),
            share_transport=transport,
            own_id=vm_id,
            run=self._starts,
            find_spec=lambda name: self.spec,
        )

    def kill(self, vm_id: str) -> None:
        """End a process at once."""
        self._transport_by_id[vm_id].ended = True
        del self.service_by_id[vm_id]

    def set_members(
        self,
        members: list[str] | None = None,
        at: list[str] | None = None,
        old: set[str] = frozenset(),
    ) -> None:
        """Change the list of gatherers that VMs know.

        Args:
            members: The gatherers; None for the running ones.
            at: VMs that learn of it; None for all.
            old: VMs among them that the list has with the process before.
        """
        run_by_id = {
            vm_id: 0 if vm_id in old else self._run_by_id[vm_id]
            for vm_id in members or self.service_by_id
        }
        for vm_id in at or list(self.service_by_id):
            self.service_by_id[vm_id].set_members(run_by_id)

    def carry(
        self,
        source: str,
        target: str,
        body: bytes,
        on_outcome: Callable[[bytes | shares.SendFailure], None],
    ) -> None:
        """Carry a message to a VM and its answer back."""
        self.messages += 1
        self.largest_message = max(self.largest_message, len(body))

        def deliver(
            one: str, other: str, callback: Callable[..., None], *args: object
        ) -> None:
            if self.is_cut(one, other) or self._rng.random() < self.loss:
                return
            self.clock.call_later(
                self._rng.uniform(*self.delay_s), callback, *args
            )

        def arrive() -> None:
            service = self.service_by_id.get(target)
            if target in self.previous_release:
                deliver(
                    target, source, on_outcome, shares.SendFailure.UNSUPPORTED
                )
            elif service is None:
                deliver(target, source, on_outcome, shares.SendFailure.LOST)
            else:
                service.handle(
                    shares.decode_request(body).ok,
                    lambda answer: deliver(
                        target,
                        source,
                        on_outcome,
                        shares.encode_answer(answer),
                    ),
                )

        deliver(source, target, arrive)

    def request(
        self,
        vm_id: str,
        *,
        name: str = _LIMIT,
        spec: shares.LimitSpec | None = None,
    ) -> None:
        """Make one request at a VM; nothing happens if it does not run."""
        service = self.service_by_id.get(vm_id)
        if service is None:
            return

        def record(decision: shares.ShareDecision) -> None:
            # What a killed VM decides has no effect.
            if self.service_by_id.get(vm_id) is not service:
                return
            now = self.clock.monotonic()
            if decision.admitted:
                self.admitted_at.append(now)
            else:
                self.refused_at.append(now)
                self.refusals.append(decision)

        service.acquire(name, spec or self.spec, record)

    def run(
        self,
        seconds: float,
        rate_by_id: dict[str, float],
        *,
        at_random: bool = True,
    ) -> None:
        """Make requests at VMs for some seconds.

        Args:
            seconds: Length of the load.
            rate_by_id: Requests a second at each VM.
            at_random: Whether they come independently of each other.
        """
        for vm_id, rate in rate_by_id.items():
            at = 0.0
            while rate:
                pause_s = 1.0 / rate
                at += (
                    self._rng.expovariate(1.0) * pause_s
                    if at_random
                    else pause_s
                )
                if at >= seconds:
                    break
                self.clock.call_later(at, self.request, vm_id)
        self.clock.advance(seconds)

    def most_in_window(self, *, since: float = 0.0) -> int:
        """Return the most admitted requests in any window of the limit."""
        times = sorted(at for at in self.admitted_at if at >= since)
        return max(
            (
                bisect.bisect_right(times, at + self.spec.window_s) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def least_in_window(self, *, since: float, until: float) -> int:
        """Return the fewest admitted requests in a window within a time."""
        times = sorted(self.admitted_at)
        step_s = 0.1
        starts = range(
            int(since / step_s),
            int((until - self.spec.window_s) / step_s) + 1,
        )
        return min(
            bisect.bisect_left(times, start * step_s + self.spec.window_s)
            - bisect.bisect_left(times, start * step_s)
            for start in starts
        )
