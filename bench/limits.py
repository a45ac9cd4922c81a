"""Retry amplification, fairness and quotas under outage, fan-out and partition."""

from __future__ import annotations

import random
from collections.abc import Sequence

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Execution, Priority
from lentilshore_routing import AdmissionQueue, Customer, QuotaLimiter, RetryPolicy
from lentilshore_routing.quota_shares import (
    NodeReport,
    ShareTable,
    allocate,
    node_shares,
)

NODES = 9
QUOTA_TOKENS_PER_S = 10_000.0
BURST_TOKENS = 20_000.0
PARTIAL_FAILURE_SHARE = 0.2
FAN_OUT_REQUESTS = 50
SERVICE_TIME_S = 0.1
CONCURRENT_REQUESTS = 40


def bench_limits(seeds: Sequence[int], length: int) -> dict[str, float]:
    """Return the figures of the limits, the worst over seeds.

    :param seeds: seeds of the runs.
    :param length: requests per retry run.
    """
    figures: dict[str, float] = {}
    for seed in seeds:
        for name, value in _bench_seed(seed, length).items():
            worst_is_lowest = name == "fairness_victim_goodput_ratio"
            worst = min if worst_is_lowest else max
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
    seed: int, length: int, failure_share: float, budgeted: bool
) -> float:
    """Return the attempts per request while a share of attempts fails.

    :param seed: seed of the failures.
    :param length: number of requests.
    :param failure_share: share of attempts that fail.
    :param budgeted: whether the retry budget limits retries, besides the limit of
        three per request.
    """
    rng = random.Random(seed)
    policy = RetryPolicy()
    attempts = 0
    for index in range(length):
        policy.record_first_attempt("m@1")
        attempts += 1
        retries = 0
        while rng.random() < failure_share and retries < 3:
            denial = policy.take(f"t{index}", "m@1", True, Execution.UNKNOWN)
            if budgeted and denial is not None:
                break
            retries += 1
            attempts += 1
    return attempts / length


def victim_goodput(seed: int, per_customer: bool) -> float:
    """Return the goodput of a customer beside one whose requests fan out 50 times.

    :param seed: seed of the load.
    :param per_customer: whether each customer has its own queue; else all share
        one.
    :returns: served requests of the well-behaved customer, relative to those
        served while the other customer sends none.
    """
    alone = _count_victim_served(seed, per_customer, fan_out=0)
    return _count_victim_served(seed, per_customer, fan_out=FAN_OUT_REQUESTS) / max(
        1, alone
    )


def overadmission(seed: int, shared: bool) -> float:
    """Return the ratio of admitted tokens to the quota during a partition.

    The nodes are partitioned from the platform. Meanwhile demand shifts between
    nodes, and one node is replaced.

    :param seed: seed of the demand.
    :param shared: whether the nodes divide the quota; else each has all of it.
    """
    rng = random.Random(seed)
    clock = FakeClock(0.0)
    quota = {"tokens_per_s": QUOTA_TOKENS_PER_S, "burst_tokens": BURST_TOKENS}
    customer = Customer("c", {"key_hashes": [], "models": [], "quota": quota})
    incarnations = [f"n{index}.1" for index in range(NODES)]
    limiters = {incarnation: QuotaLimiter(clock) for incarnation in incarnations}
    share_table = _create_settled_table(incarnations, rng)
    for incarnation, limiter in limiters.items():
        default, shares = node_shares(share_table, incarnation) if shared else (1.0, {})
        limiter.set_shares(default, shares)
    limiters["n0.2"] = QuotaLimiter(clock)
    if not shared:
        limiters["n0.2"].set_shares(1.0, {})
    admitted_tokens, seconds = 0, 60
    for _ in range(seconds * 100):
        clock.advance(0.01)
        for limiter in rng.sample(list(limiters.values()), 3):
            try:
                limiter.reserve(customer, "", f"t{rng.random()}", 500)
                admitted_tokens += 500
            except RefusalError:
                continue
    return admitted_tokens / (QUOTA_TOKENS_PER_S * seconds + BURST_TOKENS)


def _create_settled_table(
    incarnations: Sequence[str], rng: random.Random
) -> ShareTable:
    share_table = ShareTable(version=0, grants={})
    for _ in range(12):
        reports = {
            incarnation: NodeReport(
                share_table["version"], {"c": rng.uniform(0, 1_000)}
            )
            for incarnation in incarnations
        }
        share_table = allocate(share_table, reports, ())
    return share_table


def _count_victim_served(seed: int, per_customer: bool, fan_out: int) -> int:
    clock = FakeClock(0.0)
    rng = random.Random(seed)

    async def run() -> int:
        import anyio

        queue = AdmissionQueue(clock, CONCURRENT_REQUESTS, 400, 1.0)
        served = {"victim": 0, "greedy": 0}

        async def request(customer: str) -> None:
            queue_key = customer if per_customer else "all"
            try:
                async with queue.slot(queue_key, Priority.NORMAL, 1.0):
                    await clock.sleep(SERVICE_TIME_S)
                    served[customer] += 1
            except RefusalError:
                return

        async with anyio.create_task_group() as group:
            for _ in range(600):
                group.start_soon(request, "victim")
                for _ in range(fan_out if rng.random() < 0.3 else 0):
                    group.start_soon(request, "greedy")
                await clock.sleep(0.01)
        return served["victim"]

    return run_with_clock(clock, run)
