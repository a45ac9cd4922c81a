"""Time and size of single operations on a node's tables, at a given size."""

from __future__ import annotations

import random
import statistics
import time
from typing import Any

import msgspec

from lentilshore_fleet import ConfigurationView, Snapshot
from lentilshore_fleet.configuration import Delta
from lentilshore_kernel.testing import FakeClock
from lentilshore_routing import Catalog, Placement

from .replicas import create_replicas

ROUNDS = 5


def measure_placement_ms(replicas: int) -> float:
    """Return the median time to apply an instance list, milliseconds."""
    listed = create_replicas(replicas, "m@1")
    durations = []
    for _ in range(ROUNDS):
        placement = Placement("n0", FakeClock(), random.Random(1))
        started_at = time.perf_counter()
        placement.update(listed, [f"n{index}" for index in range(340)])
        durations.append(time.perf_counter() - started_at)
    return 1000 * statistics.median(durations)


def measure_apply_ms(records: int) -> float:
    """Return the median time to apply one change, milliseconds."""
    view = ConfigurationView(FakeClock())
    view.on_change(lambda snapshot: Catalog(snapshot.entries, snapshot.revision))
    view.adopt(Snapshot(1, _create_entries(records)))
    durations = []
    for number in range(ROUNDS):
        delta = Delta(
            revision=2 + number,
            change=f"c{number}",
            updated={"model/m": {"input_price": 1.0, "output_price": float(number)}},
            removed=[],
        )
        started_at = time.perf_counter()
        view.apply(delta)
        durations.append(time.perf_counter() - started_at)
    return 1000 * statistics.median(durations)


def measure_entry_bytes(records: int) -> float:
    """Return the encoded size of a configuration, bytes."""
    return float(len(msgspec.json.encode(_create_entries(records))))


def _create_entries(records: int) -> dict[str, Any]:
    return {
        f"customer/c{index}": {
            "key_hashes": [f"{index:064x}"],
            "models": ["small", "medium", "large"],
            "quality_targets": {"lookup": 0.95, "draft": 0.9},
        }
        for index in range(records)
    }
