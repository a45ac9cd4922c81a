"""Retries, fairness and quotas under outage, fan-out and partition."""

from __future__ import annotations

import random
from collections.abc import Sequence

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Execution, Priority
from lentilshore_routing import AdmissionQueue, Customer, QuotaLimiter, RetryPolicy
from lentilshore_routing.quota_shares import NodeReport, ShareTable, allocate, shares_of

NODES = 9
QUOTA_TOKENS_PER_S = 10_000.0
BURST_TOKENS = 20_000.0
PARTIAL_FAILURE_SHARE = 0.2
FAN_OUT = 50
SERVICE_S = 0.1
CONCURRENT = 40


def bench_limits(seeds: Sequence[int], length: int) -> dict[str, float]:
    """Return the keys of this part; the worst over seeds."""
    figures: dict[str, float] = {}
    for seed in seeds:
        for name, value in _bench_seed(seed, length).items():
            lowest = name == "fairness_victim_goodput_ratio"
            worst = min if lowest else max
            figures[name] = worst(figures.get(name, value), value)
    return figures


def _bench_seed(seed: int, length: int) -> dict[str, float]:
    full = retry_amplification(seed, length, 1.0, True)
    partial = retry_amplification(seed, length, PARTIAL_FAILURE_SHARE, True)
    return {
        "retry_amplification_ratio": max(full, partial),
        "retry_amplification_full_outage_ratio": full,
        "retry_amplification_partial_outage_ratio": partial,
        "unbudgeted_retry_amplification_ratio": retry_amplification(
            seed, length, 1.0, False
        ),
        "fairness_victim_goodput_ratio": victim_goodput(seed, True),
        "flat_limit_victim_goodput_ratio": victim_goodput(seed, False),
        "quota_overadmission_ratio": overadmission(seed, shared=True),
        "unshared_quota_overadmission_ratio": overadmission(seed, shared=False),
    }


def retry_amplification(
    seed: int, length: int, failing: float, budgeted: bool
) -> float:
    """Return attempts per request while a share of attempts fails."""
    source = random.Random(seed)
    policy = RetryPolicy()
    attempts = 0
    for number in range(length):
        policy.record_first_attempt("m@1")
        attempts += 1
        retries = 0
        while source.random() < failing and retries < 3:
            allowed = policy.allow(f"t{number}", "m@1", True, Execution.UNKNOWN)
            if budgeted and not allowed:
                break
            retries += 1
            attempts += 1
    return attempts / length


def victim_goodput(seed: int, layered: bool) -> float:
    """Return a well-behaved customer's goodput beside one that fans out 50 times.

    :param layered: whether limits know customers; else one queue for all.
    """
    alone = _victim_served(seed, layered, fan_out=0)
    return _victim_served(seed, layered, fan_out=FAN_OUT) / max(1, alone)


def overadmission(seed: int, shared: bool) -> float:
    """Return tokens admitted over quota by nodes partitioned from the platform.

    Demand shifts between nodes, and one node is replaced, during the partition.

    :param shared: whether nodes divide the quota; else each has it whole.
    """
    source = random.Random(seed)
    clock = FakeClock(0.0)
    quota = {"tokens_per_s": QUOTA_TOKENS_PER_S, "burst_tokens": BURST_TOKENS}
    customer = Customer("c", {"key_hashes": [], "models": [], "quota": quota})
    names = [f"n{number}.1" for number in range(NODES)]
    limiters = {name: QuotaLimiter(clock) for name in names}
    table = _settled_table(names, source)
    for name, limiter in limiters.items():
        default, shares = shares_of(table, name) if shared else (1.0, {})
        limiter.set_shares(default, shares)
    limiters["n0.2"] = QuotaLimiter(clock)
    if not shared:
        limiters["n0.2"].set_shares(1.0, {})
    admitted, seconds = 0, 60
    for _ in range(seconds * 100):
        clock.advance(0.01)
        for limiter in source.sample(list(limiters.values()), 3):
            try:
                limiter.reserve(customer, "", f"t{source.random()}", 500)
                admitted += 500
            except RefusalError:
                continue
    return admitted / (QUOTA_TOKENS_PER_S * seconds + BURST_TOKENS)


def _settled_table(names: Sequence[str], source: random.Random) -> ShareTable:
    table = ShareTable(version=0, grants={})
    for _ in range(12):
        reports = {
            name: NodeReport(table["version"], {"c": source.uniform(0, 1_000)})
            for name in names
        }
        table = allocate(table, reports, ())
    return table


def _victim_served(seed: int, layered: bool, fan_out: int) -> int:
    clock = FakeClock(0.0)
    source = random.Random(seed)

    async def run() -> int:
        import anyio

        queue = AdmissionQueue(clock, CONCURRENT, 400, 1.0)
        served = {"victim": 0, "greedy": 0}

        async def request(customer: str) -> None:
            name = customer if layered else "all"
            try:
                async with queue.slot(name, Priority.NORMAL, 1.0):
                    await clock.sleep(SERVICE_S)
                    served[customer] += 1
            except RefusalError:
                return

        async with anyio.create_task_group() as group:
            for _ in range(600):
                group.start_soon(request, "victim")
                for _ in range(fan_out if source.random() < 0.3 else 0):
                    group.start_soon(request, "greedy")
                await clock.sleep(0.01)
        return served["victim"]

    return run_with_clock(clock, run)
