"""The metrics page: plain counts, given to the library at each scrape."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from trefoilpier import forward

if TYPE_CHECKING:
    import aioprometheus

_PREFIX = "trefoilpier_"


class TierMetrics:
    """Renders the counts of one VM."""

    __slots__ = ("_engine_by_role", "_gauges")

    def __init__(
        self,
        *,
        engine_by_role: dict[str, forward.ForwardEngine],
        gauges: dict[str, Callable[[], float]],
    ) -> None:
        """Prepares the page.

        Args:
            engine_by_role: The engines, by what they do.
            gauges: Further values, by name.
        """
        self._engine_by_role = engine_by_role
        self._gauges = gauges

    def render(self) -> bytes:
        """Returns the text of one scrape."""
        # Imported at the first scrape: a VM that restarts serves sooner.
        import aioprometheus  # noqa: PLC0415

        registry = aioprometheus.Registry()

        def gauge(name: str, doc: str) -> "aioprometheus.Gauge":
            return aioprometheus.Gauge(_PREFIX + name, doc, registry=registry)

        ended = gauge("requests_total", "Ended requests by result code.")
        flying = gauge("requests_in_flight", "Requests without a response.")
        sends = gauge("leaf_sends_total", "Requests sent to leafs.")
        extra = gauge("leaf_sends_extra_total", "Second sends among them.")
        buckets = gauge(
            "request_seconds_bucket", "Requests by latency, cumulative."
        )
        total = gauge("request_seconds_sum", "Sum of all latencies.")
        count = gauge("request_seconds_count", "Count of all latencies.")
        for role, engine in self._engine_by_role.items():
            for code, number in engine.count_by_outcome.items():
                ended.set({"role": role, "code": str(code)}, number)
            flying.set({"role": role}, engine.in_flight)
            sends.set({"role": role}, engine.sends)
            extra.set({"role": role}, engine.sends_extra)
            histogram = engine.histogram
            below = 0
            bounds = [*map(str, forward.BOUNDS_S), "+Inf"]
            for bound, number in zip(bounds, histogram.counts, strict=True):
                below += number
                buckets.set({"role": role, "le": bound}, below)
            total.set({"role": role}, histogram.total_s)
            count.set({"role": role}, below)
        for name, read in self._gauges.items():
            gauge(name, name.replace("_", " ")).set({}, read())
        content, _ = aioprometheus.render(registry, [])
        return content
