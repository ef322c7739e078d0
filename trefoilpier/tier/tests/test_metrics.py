"""Test of the metrics page."""

from standins import memory_tier
from trefoilpier.tier import metrics


def test_metrics_include_outcomes_and_latency_histogram():
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route())
    tier.add_leaf("s", "leaf0")
    for k in range(3):
        tier.send_request(f"q{k}")
        tier.clock.advance(0.2)
    tier_metrics = metrics.TierMetrics(
        engine_by_role={"gather": tier.engine},
        gauges={"config_version": lambda: 7},
    )
    text = tier_metrics.render().decode()
    assert 'trefoilpier_requests_total{code="TPR-1000",role="gather"} 3' in text
    assert 'le="+Inf",role="gather"} 3' in text
    assert "trefoilpier_config_version 7" in text
    assert 'trefoilpier_leaf_sends_total{role="gather"} 3' in text
