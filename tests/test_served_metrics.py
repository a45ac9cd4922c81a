import re
from pathlib import Path

import pytest

from lentilshore_kernel.metrics import (
    refusal_counter,
    retry_counter,
    state_change_counter,
)
from lentilshore_kernel.served_metrics import (
    COUNTERS,
    HISTOGRAMS,
    ServedMetrics,
    UnknownMetricError,
    render_metrics_reference,
)
from lentilshore_kernel.types import RefusalReason, RetryReason, StateChange

ROOT = Path(__file__).parent.parent
SOURCE_FILES = [
    *(ROOT / "packages/node/src/lentilshore_node").rglob("*.py"),
    *(ROOT / "platform/src/lentilshore_platform").glob("*.py"),
]
NODE = ROOT / "packages/node/src/lentilshore_node"
# Modules that run in a gateway, whose metrics are served and not sent.
GATEWAY_SOURCE = "\n".join(
    path.read_text()
    for path in [
        *NODE.glob("state/fleet_*.py"),
        *NODE.glob("callers/*gateway*.py"),
        NODE / "callers/caller_protocol.py",
        NODE / "delivery/delivery.py",
        *NODE.glob("peers/gateway_*.py"),
        NODE / "peers/relay.py",
        *(ROOT / "platform/src/lentilshore_platform").glob("*.py"),
    ]
)
COUNTED_NAMES = sorted(set(re.findall(r'count\("([^"{]+)"', GATEWAY_SOURCE)))
SOURCE = "\n".join(path.read_text() for path in SOURCE_FILES)


def test_counters_and_histograms_are_served():
    metrics = ServedMetrics()
    metrics.count("refusal.queue_full", 2)
    metrics.count("store.call.read.200")
    metrics.observe("request.first_s", 0.2)
    text = metrics.render()
    assert 'lentilshore_refusals_total{reason="queue_full"} 2.0' in text
    assert 'lentilshore_store_calls_total{call="read.200"} 1.0' in text
    assert 'lentilshore_first_event_seconds_bucket{le="0.25"} 1.0' in text


@pytest.mark.parametrize("name", ["unheard_of", "unheard.of", "refusal"])
def test_unknown_metric_name_is_an_error(name):
    with pytest.raises(UnknownMetricError):
        ServedMetrics().count(name)
    with pytest.raises(UnknownMetricError):
        ServedMetrics().observe(name, 1.0)


@pytest.mark.parametrize(
    "name",
    [
        *map(refusal_counter, RefusalReason),
        *map(retry_counter, RetryReason),
        *map(state_change_counter, StateChange),
        *(f"attempt.{reason.value}" for reason in RefusalReason),
    ],
)
def test_every_reason_and_state_change_has_a_metric_family(name):
    ServedMetrics().count(name)


@pytest.mark.parametrize("name", COUNTED_NAMES)
def test_every_counter_in_the_source_has_a_metric_family(name):
    ServedMetrics().count(name)


@pytest.mark.parametrize("change", StateChange)
def test_every_state_change_is_recorded_somewhere(change):
    assert f"StateChange.{change.name}" in SOURCE


@pytest.mark.parametrize("family", HISTOGRAMS)
def test_every_histogram_is_observed_somewhere(family):
    assert f'"{family.prefix}"' in SOURCE


@pytest.mark.parametrize("family", COUNTERS)
def test_every_counter_has_help(family):
    assert re.fullmatch(r"lentilshore_[a-z_]+", family.name)
    assert family.help_text


def test_metrics_page_is_current():
    assert (ROOT / "docs/METRICS.md").read_text() == render_metrics_reference()
