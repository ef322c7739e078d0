"""Prometheus metrics, computed from the blackboard at each scrape."""

import aioprometheus

from trefoilpier import board

_GAUGE_HELP_TEXTS = (
    ("queries_in_flight", "Requests in flight."),
    ("sub_queries_in_flight", "Sub-queries in flight."),
    ("queries_answered_total", "Requests answered since the start."),
    ("queries_refused_total", "Requests refused since the start."),
    ("leaf_calls_total", "Leaf calls since the start."),
    ("leaf_calls_extra_total", "Hedges and retries among them."),
    ("config_version", "Configuration version in force."),
    ("config_version_heard", "Highest version heard of."),
    ("control_bytes_total", "Control traffic sent since the start."),
    ("nodes_live", "Entry VMs that take part in placement."),
    ("draining", "Whether the graceful shutdown has begun."),
)


class NodeMetrics:
    """Metrics of one node, read from the blackboard."""

    __slots__ = ("_board", "_gauge_by_name", "_leaf_gauge", "_registry")

    def __init__(self, *, blackboard: board.Board) -> None:
        self._board = blackboard
        self._registry = aioprometheus.Registry()
        self._gauge_by_name = {
            name: aioprometheus.Gauge(
                f"trefoilpier_{name}", help_text, registry=self._registry
            )
            for name, help_text in _GAUGE_HELP_TEXTS
        }
        self._leaf_gauge = aioprometheus.Gauge(
            "trefoilpier_leaves",
            "Held leaves by phase.",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format.

        >>> text = NodeMetrics(blackboard=board.Board(self_id="n")).render()
        >>> b"trefoilpier_leaf_calls_total 0" in text
        True
        """
        queries = self._board.queries
        values = (
            queries.in_flight,
            queries.sub_queries_in_flight,
            queries.answered,
            queries.refused,
            queries.leaf_calls,
            queries.leaf_calls_extra,
            self._board.config.version,
            self._board.config.highest_known_version,
            self._board.nodes.control_bytes,
            len(self._board.nodes.live_ids),
            int(self._board.drain.draining),
        )
        for (name, _), value in zip(_GAUGE_HELP_TEXTS, values, strict=True):
            self._gauge_by_name[name].set({}, value)
        for phase in board.LeafPhase:
            count = sum(
                1
                for state in self._board.leaves.state_by_id.values()
                if state.phase == phase
            )
            self._leaf_gauge.set({"phase": str(phase)}, count)
        text, _ = aioprometheus.render(self._registry, [])
        return text
