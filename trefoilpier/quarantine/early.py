"""The suspicions of all VMs that one VM knows, and what follows from them."""

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import expression

from trefoilpier import base
from trefoilpier.quarantine import canary
from trefoilpier.quarantine import suspicion as suspicions

_SUSPICIONS_MAX = 64  # Suspicions known at the same time.
_NEWS_MAX = 12  # Suspicions in one message, the newest ones.
# Shortest time between two messages but for the first. Resets of many
# connections raise 150 suspicions a second, and each message repeats the recent
# ones.
_NEWS_PAUSE_S = 0.05
_KEPT_S = suspicions.HOLD_S + 1.0  # Longer than other VMs pass news on.


_TIMER_MARGIN_S = 0.001  # A timer that is early by rounding would repeat.


class EarlyStanding(enum.Enum):
    """What follows from suspicions of a request.

    UNDECIDED is held back. HELD is refused. SUSPECT is sent to one shard first.
    """

    NONE = enum.auto()
    UNDECIDED = enum.auto()
    SUSPECT = enum.auto()
    HELD = enum.auto()


class EarlySuspicions:
    """Suspicions of gathered requests, of this VM and of others.

    Attributes:
        generation: Counter of changes that other VMs are told.
        mode: Whether unknown requests are tried at one shard first.
        on_news: Called when `generation` has changed.
    """

    __slots__ = (
        "_by_fingerprint",
        "_clock",
        "_log",
        "_mode_was_on",
        "_waiting_by_fingerprint",
        "_announced_at",
        "_announcing",
        "generation",
        "mode",
        "on_news",
    )

    def __init__(self, *, clock: base.Clock, log: base.EventLog) -> None:
        """Start without suspicions.

        Args:
            clock: Source of time and timers.
            log: Log of events.
        """
        self._clock = clock
        self._log = log
        self._mode_was_on = False
        # Suspicions by id, by fingerprint.
        self._by_fingerprint: dict[str, dict[str, suspicions.Suspicion]] = {}
        self._waiting_by_fingerprint: dict[str, list[Callable[[], None]]] = {}
        self._announced_at = -_NEWS_PAUSE_S
        self._announcing = False
        self.generation = 0
        self.mode = canary.CanaryMode()
        self.on_news: Callable[[], None] = lambda: None

    def standing(self, fingerprint: str) -> EarlyStanding:
        """Return what follows from the suspicions of a request.

        A request that this VM has seen answered lately is not refused: another
        VM may suspect it for a leaf that a different request has ended.
        """
        if not self._by_fingerprint:
            return EarlyStanding.NONE
        known = self._by_fingerprint.get(fingerprint)
        if not known:
            return EarlyStanding.NONE
        now = self._clock.monotonic()
        answered = self.mode.was_answered(fingerprint, now)
        standing = EarlyStanding.NONE
        for each in known.values():
            if each.stage is suspicions.Stage.CONFIRMED:
                if now - each.since >= suspicions.HOLD_S:
                    continue
                if not answered:
                    return EarlyStanding.HELD
                standing = EarlyStanding.SUSPECT
            elif answered:
                continue
            elif each.undecided:
                standing = EarlyStanding.UNDECIDED
            elif (
                each.stage is suspicions.Stage.SUSPECTED
                and standing is EarlyStanding.NONE
            ):
                standing = EarlyStanding.SUSPECT
        return standing

    def hold_left_s(self, fingerprint: str) -> float:
        """Return the seconds for which a request is still refused."""
        now = self._clock.monotonic()
        return max(
            (
                each.since + suspicions.HOLD_S - now
                for each in self._by_fingerprint.get(fingerprint, {}).values()
                if each.stage is suspicions.Stage.CONFIRMED
            ),
            default=0.0,
        )

    def wait(self, fingerprint: str, callback: Callable[[], None]) -> None:
        """Call back once a request is no longer undecided."""
        self._waiting_by_fingerprint.setdefault(fingerprint, []).append(
            callback
        )

    def stop_waiting(
        self, fingerprint: str, callback: Callable[[], None]
    ) -> None:
        """Forget a callback of `wait`."""
        waiting = self._waiting_by_fingerprint.get(fingerprint, [])
        if callback in waiting:
            waiting.remove(callback)

    def wake(self, fingerprint: str) -> None:
        """Call back who waits for a decision on a request, if there is one."""
        if not self._waiting_by_fingerprint.get(fingerprint):
            return
        if self.standing(fingerprint) is EarlyStanding.UNDECIDED:
            return
        for callback in self._waiting_by_fingerprint.pop(fingerprint):
            self._clock.call_later(0.0, callback)

    def add(self, suspicion: suspicions.Suspicion) -> None:
        """Keep a suspicion for some seconds."""
        by_id = self._by_fingerprint.setdefault(suspicion.fingerprint, {})
        by_id[suspicion.id] = suspicion
        known = list(self._all())
        if len(known) > _SUSPICIONS_MAX:
            self.remove(min(known, key=lambda each: each.since))
        self._clock.call_later(_KEPT_S, self._forget, suspicion)

    @property
    def explained_leaves(self) -> set[str]:
        """Leaves that were lost under suspected requests."""
        explained: set[str] = set()
        for each in self._all():
            if each.stage is not suspicions.Stage.CLEARED:
                explained |= each.leaves
        return explained

    def _all(self) -> Iterator[suspicions.Suspicion]:
        for by_id in self._by_fingerprint.values():
            yield from by_id.values()

    def _forget(self, suspicion: suspicions.Suspicion) -> None:
        """Remove a suspicion, unless its stage has begun since."""
        left_s = suspicion.since + _KEPT_S - self._clock.monotonic()
        if left_s > _TIMER_MARGIN_S:
            self._clock.call_later(left_s, self._forget, suspicion)
            return
        self.remove(suspicion)

    def remove(self, suspicion: suspicions.Suspicion) -> None:
        """Drop a suspicion."""
        fingerprint = suspicion.fingerprint
        by_id = self._by_fingerprint.get(fingerprint, {})
        by_id.pop(suspicion.id, None)
        if not by_id:
            self._by_fingerprint.pop(fingerprint, None)
        self.wake(fingerprint)

    def publish(self, suspicion: suspicions.Suspicion) -> None:
        """Apply the stage of a suspicion to the mode, and tell other VMs."""
        now = self._clock.monotonic()
        several = suspicion.shard_count > 1 or self.mode.is_on(now)
        if suspicion.stage is suspicions.Stage.CLEARED:
            self.mode.withdraw(suspicion.id)
        elif several and suspicion.stage is suspicions.Stage.CONFIRMED:
            self.mode.record_confirmed(suspicion.id, suspicion.since)
        elif several:
            self.mode.record_crash(
                suspicion.id, until=suspicion.since + suspicions.UNDECIDED_MAX_S
            )
        self._note_mode()
        self._announce()
        self.wake(suspicion.fingerprint)

    def _announce(self) -> None:
        """Tell other VMs of a change, at once or after a pause."""
        if self._announcing:
            return
        now = self._clock.monotonic()
        wait_s = self._announced_at + _NEWS_PAUSE_S - now
        if wait_s <= 0.0:
            self._raise_generation()
            return
        self._announcing = True
        self._clock.call_later(wait_s, self._raise_generation)

    def _raise_generation(self) -> None:
        self._announcing = False
        self._announced_at = self._clock.monotonic()
        self.generation += 1
        self.on_news()

    def _note_mode(self) -> None:
        """Log that the mode has begun or ended."""
        now = self._clock.monotonic()
        ends_at = self.mode.ends_at(now)
        if ends_at is not None:
            self._clock.call_later(
                ends_at - now + _TIMER_MARGIN_S, self._note_mode
            )
        is_on = ends_at is not None
        if is_on is not self._mode_was_on:
            self._mode_was_on = is_on
            self._log.emit(base.Event.CANARY_MODE, on=is_on)

    def record_gathered(self, fingerprint: str) -> None:
        """Record that all leaves that ran a request have answered it."""
        self.mode.record_answered(fingerprint, self._clock.monotonic())

    def news(self) -> list[dict[str, Any]]:
        """Return what other VMs are told, own suspicions and passed on ones."""
        if not self._by_fingerprint:
            return []
        now = self._clock.monotonic()
        told = [
            each
            for each in self._all()
            if each.stage is not suspicions.Stage.WATCHED
            and now - each.since < suspicions.NEWS_AGE_MAX_S
        ]
        told.sort(key=lambda each: -each.since)
        return [suspicions.to_news(each, now) for each in told[:_NEWS_MAX]]

    def merge(self, items: Iterable[Any]) -> expression.Result[None, str]:
        """Take over the news of another VM, and pass on what is new."""
        parsed = suspicions.parse_news(items, self._clock.monotonic())
        if parsed.is_error():
            return expression.Error(parsed.error)
        for each in parsed.ok[:_NEWS_MAX]:
            if each.stage is not suspicions.Stage.WATCHED:
                self._merge_one(each)
        return expression.Ok(None)

    def _merge_one(self, other: suspicions.Suspicion) -> None:
        by_id = self._by_fingerprint.get(other.fingerprint, {})
        known = by_id.get(other.id)
        if known is None:
            known = other
            self.add(known)
            self._clock.call_later(
                suspicions.UNDECIDED_MAX_S, self._end_wait, known
            )
        elif not known.merge(other):
            return
        self.publish(known)

    def _end_wait(self, suspicion: suspicions.Suspicion) -> None:
        """End the wait for a decision that another VM has not sent."""
        if suspicion.undecided:
            suspicion.lapsed = True
            self.wake(suspicion.fingerprint)
