"""Duration of one routing decision with tables of the target size."""

from __future__ import annotations

import random
import time

from lentilshore_fleet import Session
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address, Priority
from lentilshore_node.delivery.requests import CompletionRequest, parse_headers
from lentilshore_node.delivery.version_options import list_version_options
from lentilshore_routing import (
    CascadeRequest,
    Catalog,
    Features,
    Placement,
    QualityEstimates,
    QuotaLimiter,
    Replica,
    hash_key,
)
from lentilshore_routing.cascade import create_calibrated_policy

REPLICAS = 3_700
MODELS = 5
NODES = 340
CUSTOMERS = 200


def bench_decisions(length: int) -> dict[str, float]:
    """Return the decision figures.

    :param length: number of decisions to time.
    """
    rng = random.Random(5)
    clock = FakeClock()
    catalog = Catalog(_create_entries(), 1)
    placement = Placement("n007", clock, rng)
    node_names = [f"n{number:03d}" for number in range(NODES)]
    update_started_at = time.perf_counter()
    placement.update(_create_replicas(), node_names)
    update_ms = (time.perf_counter() - update_started_at) * 1000
    quota = QuotaLimiter(clock)
    quota.set_shares(1.0, {})
    policy = create_calibrated_policy(QualityEstimates(), rng)
    headers = parse_headers({}, 30.0)
    durations_us = []
    for number in range(length):
        request = CompletionRequest(headers, "all", {}, False, 400, 200, "")
        prefix = f"p{rng.randrange(2_000)}" if number % 3 == 0 else ""
        api_key = f"key-{rng.randrange(CUSTOMERS)}"
        started_at = time.perf_counter()
        customer = catalog.authenticate(api_key)
        session = Session(f"s{number}", customer.name)
        options = list_version_options(catalog, customer, session, request)
        cascade_options = [option.cascade_option for option in options]
        cascade_request = CascadeRequest(customer.name, Features("draft", 1), 0.9, 30.0)
        index = policy.choose_first(cascade_request, cascade_options)
        reservation = quota.reserve(customer, "", f"t{number}", 600)
        version = str(cascade_options[index].version)
        lease = placement.choose(version, 600.0, prefix, Priority.NORMAL)
        durations_us.append((time.perf_counter() - started_at) * 1e6)
        placement.release(lease, False)
        quota.settle(reservation, 300)
    durations_us.sort()
    return {
        "decision_us_p50": durations_us[len(durations_us) // 2],
        "decision_us_p99": durations_us[int(len(durations_us) * 0.99)],
        "placement_update_ms_at_3700_replicas": update_ms,
    }


def _create_replicas() -> list[Replica]:
    return [
        Replica(
            f"r{number:04d}",
            "engine",
            Address("127.0.0.1", 1 + number),
            f"dc-{number % 10}",
            (f"m{number % MODELS}@1",),
        )
        for number in range(REPLICAS)
    ]


def _create_entries() -> dict[str, object]:
    entries: dict[str, object] = {"cascade/all": {"models": []}}
    for number in range(MODELS):
        price = 4.0**number
        entries[f"model/m{number}"] = {"input_price": price, "output_price": price}
        entries[f"version/m{number}@1"] = {"state": "active"}
        entries["cascade/all"]["models"].append(f"m{number}")
    models = [f"m{number}" for number in range(MODELS)]
    for number in range(CUSTOMERS):
        entries[f"customer/c{number}"] = {
            "key_hashes": [hash_key(f"key-{number}")],
            "models": models,
            "quota": {"tokens_per_s": 1e9, "burst_tokens": 1e9},
        }
    return entries
