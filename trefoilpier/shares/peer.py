"""What a VM knows of its exchange with one other VM."""

import math
from dataclasses import dataclass, field

from trefoilpier import base
from trefoilpier.shares import holder

# Failures in a row after which a VM counts as not reachable. One may be a pause
# of that VM, which must not change the owner of its limits.
FAILURES_MAX = 2


@dataclass(slots=True, kw_only=True, eq=False)
class Peer:
    """State of the exchange with one VM, which may be this one.

    Attributes:
        vm_id: Name of the VM.
        run: Start of its process; -1 if not known yet.
        heard_run: The same by its last message; -1 if there was none.
        votes_from: Monotonic time from which on it votes and may own limits.
        in_flight: Whether a message waits for its answer.
        number: Number of the last message.
        seen: Number of the last message whose answer arrived in time.
        sent_at: Monotonic time of the last message.
        asked_all_at: Monotonic time of the last message about all limits.
        heard_at: Monotonic time of its last message or answer.
        unlisted_at: Monotonic time at which the list of gatherers lost it; None
            while it is listed.
        failures: Messages in a row without an answer.
        supported: Whether the VM knows shared limits, as far as known.
        leaving: Whether it is shutting down.
        reported: Whether an unreadable message of it has been logged.
        urgent: Limits for which requests wait, by name.
        active: Limits in use whose owner is this VM, by name.
        timer: Timer of the next message, if one is scheduled.
        due_at: Monotonic time of that message.
    """

    vm_id: str
    run: int = -1
    heard_run: int = -1
    votes_from: float = 0.0
    in_flight: bool = False
    number: int = 0
    seen: int = 0
    sent_at: float = 0.0
    asked_all_at: float = 0.0
    heard_at: float = -math.inf
    unlisted_at: float | None = None
    failures: int = 0
    supported: bool = True
    leaving: bool = False
    reported: bool = False
    urgent: dict[str, holder.HeldLimit] = field(default_factory=dict)
    active: dict[str, holder.HeldLimit] = field(default_factory=dict)
    timer: base.Timer | None = None
    due_at: float = 0.0

    @property
    def answers(self) -> bool:
        """Whether the VM takes part in limits and answers to this one."""
        return self.supported and self.failures < FAILURES_MAX

    @property
    def reachable(self) -> bool:
        """Whether the VM may be the owner of limits, as seen from here."""
        return self.answers and not self.leaving

    @property
    def usable(self) -> bool:
        """Whether a request should wait for an answer of this VM."""
        return self.reachable and not self.failures

    def reset(self, run: int) -> None:
        """Forget what was known of an earlier process of the VM."""
        self.run = run
        self.failures = 0
        self.supported = True
        self.leaving = False
        self.reported = False

    def stop(self) -> None:
        """Cancel the next message."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
