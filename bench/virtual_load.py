"""Open-loop load on a simulated fleet with a virtual clock."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from standins import fleet
from trefoilpier import base, query

_LATENCY_MAX_US = 60_000_000
_SIGNIFICANT_DIGITS = 3


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """Outcomes and latencies of one load run.

    Attributes:
        sent: Number of requests sent.
        latency: Histogram of microseconds from the scheduled send time to the
            outcome, of answers only.
        refusal_latency: The same histogram for refusals.
        count_by_code: Number of outcomes by result code.
        coverage_sum: Sum of the coverage of all answers.
        coverage_min: Lowest coverage of an answer.
        answers: Number of complete and partial answers.
        full_answers: Number of answers with full coverage.
        failed: Number of admitted requests that ended without an answer.
        refused_but_ran: Number of refusals reporting that the request ran or
            may have run.
        required_calls: Number of leaf calls that the admitted requests need
            without retries and hedges.
        leaf_calls: Number of leaf calls made.
        outcomes: Scheduled send time, latency in seconds, result code and
            coverage of each request.
    """

    sent: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, _LATENCY_MAX_US, _SIGNIFICANT_DIGITS
        )
    )
    refusal_latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, _LATENCY_MAX_US, _SIGNIFICANT_DIGITS
        )
    )
    count_by_code: dict[str, int] = field(default_factory=dict)
    coverage_sum: float = 0.0
    coverage_min: float = 1.0
    answers: int = 0
    full_answers: int = 0
    failed: int = 0
    refused_but_ran: int = 0
    required_calls: int = 0
    leaf_calls: int = 0
    outcomes: list[tuple[float, float, base.ResultCode, float]] = field(
        default_factory=list
    )

    def latency_percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the answers' latency, in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1000

    def refusal_percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the refusals' latency, in milliseconds."""
        return self.refusal_latency.get_value_at_percentile(percentile) / 1000

    @property
    def refused(self) -> int:
        """Number of requests refused at admission."""
        return self.refusal_latency.get_total_count()

    @property
    def extra_load(self) -> float:
        """Leaf calls beyond the required ones, as a share of those."""
        return self.leaf_calls / max(1, self.required_calls) - 1.0

    @property
    def coverage(self) -> float:
        """Mean coverage of the answers."""
        return self.coverage_sum / max(1, self.answers)

    @property
    def answered_share(self) -> float:
        """Answers as a share of the requests sent."""
        return self.answers / max(1, self.sent)


_REFUSAL_PREFIX = "TPR-3"
_ANSWERS = (base.ResultCode.COMPLETE, base.ResultCode.PARTIAL)


class VirtualLoad:
    """Open-loop load at random times, sent to the nodes in turn."""

    def __init__(
        self,
        *,
        target: fleet.Fleet,
        service: str,
        seed: int,
        body: bytes = b'{"text":"silk"}',
        callers: int = 20,
    ) -> None:
        """Prepare a load.

        Args:
            target: Fleet that receives the load.
            service: Name of the requested service.
            seed: Seed for the send times.
            body: Body of every request.
            callers: Number of callers, used in round-robin order.
        """
        self._fleet = target
        self._service = service
        self._random = random.Random(seed)
        self._body = body
        self._callers = callers
        group = target.config_set.service_by_name[service].shard_group
        self._shards = target.config_set.shard_group_by_name[group].shard_count

    def run(
        self,
        *,
        rate: float,
        seconds: float,
        drain: float = 3.0,
        events: list[tuple[float, Callable[[], None]]] | None = None,
        rate_at: Callable[[float], float] | None = None,
    ) -> LoadResult:
        """Run the load and return its result.

        Args:
            rate: Requests per second.
            seconds: Duration of sending, in seconds.
            drain: Seconds to wait for outcomes afterwards.
            events: Pairs of seconds after the start of the load and an action.
            rate_at: Function from the seconds since the start to the rate; if
                given, it replaces ``rate``.
        """
        clock = self._fleet.clock
        result = LoadResult()
        started_at = clock.monotonic()
        calls_before = self._leaf_calls()
        for at, action in events or []:
            clock.call_later(at, action)
        at = 0.0
        while True:
            current_rate = rate_at(at) if rate_at is not None else rate
            at += self._random.expovariate(current_rate)
            if at >= seconds:
                break
            clock.call_later(at, self._send, result, started_at + at)
        clock.advance(seconds + drain)
        result.leaf_calls = self._leaf_calls() - calls_before
        return result

    def _leaf_calls(self) -> int:
        return sum(host.calls for host in self._fleet.host_by_leaf.values())

    def _send(self, result: LoadResult, scheduled_at: float) -> None:
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
            on_done=lambda outcome: self._record_outcome(
                result, scheduled_at, outcome
            ),
        )

    def _record_outcome(
        self, result: LoadResult, scheduled_at: float, outcome: query.Outcome
    ) -> None:
        seconds = self._fleet.clock.monotonic() - scheduled_at
        microseconds = max(1, round(seconds * 1e6))
        code = str(outcome.code)
        result.count_by_code[code] = result.count_by_code.get(code, 0) + 1
        coverage = outcome.coverage
        share = coverage.answered / coverage.total if coverage else 0.0
        result.outcomes.append((scheduled_at, seconds, outcome.code, share))
        if coverage is not None and coverage.total:
            result.required_calls += coverage.total
        if outcome.code in _ANSWERS:
            result.answers += 1
            result.full_answers += share == 1.0
            result.coverage_sum += share
            result.coverage_min = min(result.coverage_min, share)
            result.latency.record_value(microseconds)
            return
        if not code.startswith(_REFUSAL_PREFIX):
            result.failed += 1
            return
        result.refusal_latency.record_value(microseconds)
        if outcome.ran != base.Ran.NO:
            result.refused_but_ran += 1
