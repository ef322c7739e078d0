"""Metrics page, rendered from plain counters at each scrape."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from trefoilpier import forward
from trefoilpier.tier import account_pages

if TYPE_CHECKING:
    import aioprometheus

_PREFIX = "trefoilpier_"


class TierMetrics:
    """Metrics of one VM in the Prometheus text format."""

    __slots__ = ("_engine_by_role", "_gauges")

    def __init__(
        self,
        *,
        engine_by_role: dict[str, forward.ForwardEngine],
        gauges: dict[str, Callable[[], float]],
    ) -> None:
        """Initialize the metrics.

        Args:
            engine_by_role: Forwarding engines by role.
            gauges: Functions that return further values, by metric name.
        """
        self._engine_by_role = engine_by_role
        self._gauges = gauges

    def render(self) -> bytes:
        """Return the text for one scrape."""
        # Imported at the first scrape, so that a restarted VM is ready sooner.
        import aioprometheus  # noqa: PLC0415

        registry = aioprometheus.Registry()

        def gauge(name: str, doc: str) -> "aioprometheus.Gauge":
            return aioprometheus.Gauge(_PREFIX + name, doc, registry=registry)

        requests_ended = gauge(
            "requests_total", "Ended requests by result code."
        )
        requests_active = gauge(
            "requests_in_flight", "Requests without a response."
        )
        leaf_sends = gauge("leaf_sends_total", "Requests sent to leafs.")
        extra_leaf_sends = gauge(
            "leaf_sends_extra_total", "Second sends among them."
        )
        buckets = gauge(
            "request_seconds_bucket", "Requests by latency, cumulative."
        )
        latency_sum = gauge("request_seconds_sum", "Sum of all latencies.")
        latency_count = gauge(
            "request_seconds_count", "Count of all latencies."
        )
        for role, engine in self._engine_by_role.items():
            for code, count in engine.count_by_outcome.items():
                requests_ended.set({"role": role, "code": str(code)}, count)
            requests_active.set({"role": role}, engine.in_flight)
            account_pages.add_metrics(gauge, engine.account_usage)
            leaf_sends.set({"role": role}, engine.sends)
            extra_leaf_sends.set({"role": role}, engine.sends_extra)
            histogram = engine.histogram
            cumulative_count = 0
            bounds = [*map(str, forward.BOUNDS_S), "+Inf"]
            for bound, count in zip(bounds, histogram.counts, strict=True):
                cumulative_count += count
                buckets.set({"role": role, "le": bound}, cumulative_count)
            latency_sum.set({"role": role}, histogram.total_s)
            latency_count.set({"role": role}, cumulative_count)
        for name, read_value in self._gauges.items():
            gauge(name, name.replace("_", " ")).set({}, read_value())
        content, _ = aioprometheus.render(registry, [])
        return content
