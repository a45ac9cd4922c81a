"""Retries of several gateways together while replicas reject all requests."""

import pytest

from tests.retry_storm import Storm


# Guards against BUDGET: tries after a pause, and tries that cost the budget nothing,
# must not add up to more arrivals than the fleet may make.
@pytest.mark.parametrize("gateway_count", [1, 6, 12])
@pytest.mark.parametrize("retry_ratio", [0.3, 0.9])
@pytest.mark.parametrize("kind", ["full", "silent_then_full", "spells", "refused"])
def test_a_storm_of_rejections_keeps_to_the_budget_of_the_fleet(
    kind, gateway_count, retry_ratio
):
    result = Storm(gateway_count, kind, seed=3, retry_ratio=retry_ratio).run()
    assert result.worst_share <= 1.0
