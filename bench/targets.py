"""Targets of the figures, by key."""

from __future__ import annotations

from typing import NamedTuple


class Target(NamedTuple):
    """Bound on a figure.

    :param bound: value of the bound.
    :param at_least: whether it is a lower bound; else it is an upper bound.
    """

    bound: float
    at_least: bool = False

    def is_met(self, value: float) -> bool:
        """Return whether a figure meets the target."""
        return value >= self.bound if self.at_least else value <= self.bound

    def __str__(self) -> str:
        return f"{'≥' if self.at_least else '≤'} {self.bound:g}"


TARGETS: dict[str, Target] = {
    "cost_vs_oracle_ratio": Target(1.10),
    "cost_vs_always_costly_ratio": Target(0.45),
    "quality_shortfall_points": Target(0.5),
    "exposure_vs_ideal_ratio": Target(1.5),
    "false_halt_share": Target(0.01),
    "ungraded_peak_requests": Target(50),
    "lookup_p99_under_long_reads_ratio": Target(1.3),
    "prefix_hit_ratio_vs_oracle": Target(0.90, True),
    "load_imbalance_p99_ratio": Target(1.25),
    "retry_amplification_ratio": Target(1.1),
    "fairness_victim_goodput_ratio": Target(0.95, True),
    "quota_overadmission_ratio": Target(1.0),
    "decision_us_p50": Target(100),
    "decision_us_p99": Target(400),
    "config_propagation_s_p99": Target(7.0),
    "config_propagation_s_p99_at_340": Target(7.0),
    "platform_reads_per_s_at_340_nodes": Target(200),
    "platform_writes_per_s_at_340_nodes": Target(100),
    "rejoin_peak_calls_per_s_at_340_nodes": Target(400),
    "control_bytes_per_s_per_node_at_340": Target(8192),
    "control_core_percent_at_340": Target(3.8),
    "control_rss_mb_at_340": Target(256),
    "added_first_token_ms_p50": Target(1.5),
    "added_first_token_ms_p99": Target(8),
    "added_intertoken_ms_p95": Target(5),
    "relay_tokens_per_s_per_core": Target(20_000, True),
    "relay_vs_plain_ratio": Target(2, True),
    "rss_mb_at_500_streams": Target(256),
}
