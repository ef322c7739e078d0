"""Open-loop load on a fleet at a virtual clock."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from standins import fleet
from trefoilpier import base, query

_MICROSECONDS_MAX = 60_000_000
_DIGITS = 3


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """What a load saw.

    Attributes:
        sent: Requests sent.
        latency: Microseconds from the intended send to the outcome, of
            answers only.
        refusal: The same of refusals.
        count_by_code: Outcomes by result code.
        coverage_sum: Sum of covered shares over answers.
        coverage_min: Lowest covered share of an answer.
        answers: Complete and partial answers.
        whole: Answers whose coverage is full.
        failed: Admitted requests that ended without an answer.
        ran_but_refused: Refusals that say something ran or may have.
        first_calls: Leaf calls that the admitted requests needed.
        leaf_calls: Leaf calls that were made.
        done_at: For each outcome, when it was sent, its latency and code.
    """

    sent: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MICROSECONDS_MAX, _DIGITS)
    )
    refusal: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MICROSECONDS_MAX, _DIGITS)
    )
    count_by_code: dict[str, int] = field(default_factory=dict)
    coverage_sum: float = 0.0
    coverage_min: float = 1.0
    answers: int = 0
    whole: int = 0
    failed: int = 0
    ran_but_refused: int = 0
    first_calls: int = 0
    leaf_calls: int = 0
    done_at: list[tuple[float, float, base.ResultCode, float]] = field(
        default_factory=list
    )

    def percentile_ms(self, share: float) -> float:
        """Returns a percentile of answers' latency, in milliseconds."""
        return self.latency.get_value_at_percentile(share) / 1000

    def refusal_ms(self, share: float) -> float:
        """Returns a percentile of refusals' latency, in milliseconds."""
        return self.refusal.get_value_at_percentile(share) / 1000

    @property
    def refused(self) -> int:
        """Requests that were refused at the door."""
        return self.refusal.get_total_count()

    @property
    def extra_load(self) -> float:
        """Leaf calls beyond the first ones, as a share of those."""
        return self.leaf_calls / max(1, self.first_calls) - 1.0

    @property
    def coverage(self) -> float:
        """Mean covered share of the answers."""
        return self.coverage_sum / max(1, self.answers)

    @property
    def answered_share(self) -> float:
        """Answers as a share of what was sent."""
        return self.answers / max(1, self.sent)


_REFUSALS = "TPR-3"
_ANSWERS = (base.ResultCode.COMPLETE, base.ResultCode.PARTIAL)


class VirtualLoad:
    """Sends requests at random times to all nodes in turn."""

    def __init__(
        self,
        *,
        target: fleet.Fleet,
        service: str,
        seed: int,
        body: bytes = b'{"text":"silk"}',
        callers: int = 20,
    ) -> None:
        """Prepares a load.

        Args:
            target: The fleet.
            service: The service that is asked.
            seed: Seed of the send times.
            body: Body of every request.
            callers: Number of callers that take turns.
        """
        self._fleet = target
        self._service = service
        self._random = random.Random(seed)
        self._body = body
        self._callers = callers
        group = target.set.service_by_name[service].shard_group
        self._shards = target.set.shard_group_by_name[group].shard_count

    def run(
        self,
        *,
        rate: float,
        seconds: float,
        drain: float = 3.0,
        events: list[tuple[float, Callable[[], None]]] | None = None,
        rate_at: Callable[[float], float] | None = None,
    ) -> LoadResult:
        """Runs the load and returns what it saw.

        Args:
            rate: Requests a second.
            seconds: How long requests are sent.
            drain: How long outcomes are waited for afterwards.
            events: Actions at times from the start of the load.
            rate_at: Replaces ``rate`` as a function of the time.
        """
        clock = self._fleet.clock
        result = LoadResult()
        begin = clock.monotonic()
        calls_before = self._leaf_calls()
        for at, action in events or []:
            clock.call_later(at, action)
        at = 0.0
        while True:
            now_rate = rate_at(at) if rate_at is not None else rate
            at += self._random.expovariate(now_rate)
            if at >= seconds:
                break
            clock.call_later(at, self._send, result, begin + at)
        clock.advance(seconds + drain)
        result.leaf_calls = self._leaf_calls() - calls_before
        return result

    def _leaf_calls(self) -> int:
        return sum(host.calls for host in self._fleet.host_by_leaf.values())

    def _send(self, result: LoadResult, intended: float) -> None:
        nodes = list(self._fleet.node_by_id)
        node_id = nodes[result.sent % len(nodes)]
        caller = f"caller-{result.sent % self._callers}"
        result.sent += 1
        self._fleet.request(
            node_id,
            self._service,
            self._body,
            route=f"route-{result.sent}",
            caller=caller,
            on_done=lambda final: self._done(result, intended, final),
        )

    def _done(
        self, result: LoadResult, intended: float, final: query.Outcome
    ) -> None:
        seconds = self._fleet.clock.monotonic() - intended
        microseconds = max(1, round(seconds * 1e6))
        code = str(final.code)
        result.count_by_code[code] = result.count_by_code.get(code, 0) + 1
        coverage = final.coverage
        share = coverage.answered / coverage.total if coverage else 0.0
        result.done_at.append((intended, seconds, final.code, share))
        if coverage is not None and coverage.total:
            result.first_calls += coverage.total
        if final.code in _ANSWERS:
            result.answers += 1
            result.whole += share == 1.0
            result.coverage_sum += share
            result.coverage_min = min(result.coverage_min, share)
            result.latency.record_value(microseconds)
            return
        if not code.startswith(_REFUSALS):
            result.failed += 1
            return
        result.refusal.record_value(microseconds)
        if final.ran != base.Ran.NO:
            result.ran_but_refused += 1
