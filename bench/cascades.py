"""Cost at the quality target: the production policy, baselines and an oracle."""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lentilshore_kernel.types import parse_model_version
from lentilshore_routing import (
    Candidate,
    CascadePolicy,
    Cell,
    Features,
    QualityEstimates,
    Query,
    TriedAnswer,
    answer_cell,
    length_class,
)
from lentilshore_routing.cascade import FixedThresholdPolicy, create_calibrated_policy

from .traces import MODELS, TracedRequest, create_trace, price

RATED_SHARE = 0.2
RATING_LAG_REQUESTS = 400
WARM_UP_SHARE = 0.25
HOURS = 4
DEADLINE_S = 60.0
VERSIONS = tuple(parse_model_version(model.name) for model in MODELS)


class Served(NamedTuple):
    """One request as served."""

    request: TracedRequest
    cost: float
    good: bool


class CascadeFigures(NamedTuple):
    """Figures of one way to choose models.

    :param cost: mean price of a request.
    :param quality: share of good answers.
    :param shortfall: target minus quality, points of 100, of the worst customer
        and hour.
    """

    cost: float
    quality: float
    shortfall: float


def run_policy(
    trace: Sequence[TracedRequest],
    policy: CascadePolicy,
    estimates: QualityEstimates,
    seed: int,
) -> list[Served]:
    """Serve a trace with a policy, with ratings that come late and sparsely."""
    source = random.Random(seed)
    ratings: deque[tuple[int, Cell, bool]] = deque()
    served = []
    for number, request in enumerate(trace):
        while ratings and ratings[0][0] <= number:
            _, cell, good = ratings.popleft()
            estimates.rate(cell, good)
        query, candidates = describe(request)
        tried, cost = _serve(request, query, candidates, policy)
        for count in range(1, len(tried) + 1):
            estimates.observe(answer_cell(query, candidates, tried[:count]))
        cell = answer_cell(query, candidates, tried)
        good = request.outcomes[tried[-1].index].good
        if source.random() < RATED_SHARE:
            ratings.append((number + RATING_LAG_REQUESTS, cell, good))
        served.append(Served(request, cost, good))
    return served


def describe(request: TracedRequest) -> tuple[Query, list[Candidate]]:
    """Return what a policy knows of a request."""
    features = Features(request.kind.name, length_class(request.input_tokens))
    query = Query(request.customer, features, request.kind.target, DEADLINE_S)
    candidates = [
        Candidate(version, price(model, request), 1.0)
        for version, model in zip(VERSIONS, MODELS, strict=True)
    ]
    return query, candidates


def run_fixed(
    trace: Sequence[TracedRequest], choose: Callable[[TracedRequest], int]
) -> list[Served]:
    """Serve each request with one model."""
    served = []
    for request in trace:
        index = choose(request)
        good = request.outcomes[index].good
        served.append(Served(request, price(MODELS[index], request), good))
    return served


def run_perfect_gate(trace: Sequence[TracedRequest]) -> list[Served]:
    """Serve a trace by a cascade that sees whether each answer at hand is good.

    It knows nothing before an answer has come, like the router, but judges
    answers without error: no cascade that tries the cheapest first costs less.
    It escalates only as often as the target needs.
    """
    served = []
    gaps: dict[tuple[str, str], float] = defaultdict(float)
    for request in trace:
        key = (request.customer, request.kind.name)
        cost = price(MODELS[0], request)
        good = request.outcomes[0].good
        for index in (1, 2):
            if good or gaps[key] + request.kind.target <= 0:
                break
            cost += price(MODELS[index], request)
            good = request.outcomes[index].good
        gaps[key] += request.kind.target - good
        served.append(Served(request, cost, good))
    return served


def run_oracle(trace: Sequence[TracedRequest]) -> list[Served]:
    """Serve a trace at the least cost that meets each target, knowing all."""
    groups: dict[tuple[str, str], list[TracedRequest]] = defaultdict(list)
    for request in trace:
        groups[request.customer, request.kind.name].append(request)
    served = []
    for requests in groups.values():
        served += _serve_knowing(requests)
    return served


def summarise(served: Sequence[Served]) -> CascadeFigures:
    """Return figures of the part of a run that follows the warm-up."""
    counted = served[int(len(served) * WARM_UP_SHARE) :]
    by_hour: dict[tuple[str, int], list[Served]] = defaultdict(list)
    for index, item in enumerate(counted):
        hour = index * HOURS // len(counted)
        by_hour[item.request.customer, hour].append(item)
    shortfalls = [
        100 * (_mean([i.request.kind.target for i in g]) - _mean([i.good for i in g]))
        for g in by_hour.values()
    ]
    return CascadeFigures(
        _mean([item.cost for item in counted]),
        _mean([item.good for item in counted]),
        max(0.0, max(shortfalls)),
    )


def bench_cascades(seeds: Sequence[int], length: int) -> dict[str, float]:
    """Return the keys of this part, averaged over seeds; the worst shortfall."""
    rows: dict[str, list[CascadeFigures]] = defaultdict(list)
    for seed in seeds:
        trace = create_trace(seed, length)
        source = random.Random(seed)
        estimates = QualityEstimates()
        policy = create_calibrated_policy(estimates, source)
        rows["router"].append(summarise(run_policy(trace, policy, estimates, seed)))
        fixed = FixedThresholdPolicy()
        served = run_policy(trace, fixed, QualityEstimates(), seed)
        rows["fixed_threshold"].append(summarise(served))
        rows["always_cheapest"].append(summarise(run_fixed(trace, lambda r: 0)))
        rows["always_costliest"].append(summarise(run_fixed(trace, lambda r: 2)))
        choices = random.Random(seed)
        rows["random"].append(
            summarise(run_fixed(trace, lambda r, c=choices: c.randrange(3)))
        )
        rows["perfect_gate"].append(summarise(run_perfect_gate(trace)))
        warm = int(length * WARM_UP_SHARE)
        rows["oracle"].append(_summarise_all(run_oracle(trace[warm:])))
    figures: dict[str, float] = {}
    for name, found in rows.items():
        figures[f"{name}_cost_per_request"] = _mean([f.cost for f in found])
        figures[f"{name}_quality_share"] = _mean([f.quality for f in found])
    cost = figures["router_cost_per_request"]
    figures["cost_vs_oracle_ratio"] = cost / figures["oracle_cost_per_request"]
    costly = figures["always_costliest_cost_per_request"]
    figures["cost_vs_always_costly_ratio"] = cost / costly
    shortfalls = [f.shortfall for f in rows["router"]]
    figures["quality_shortfall_points"] = max(shortfalls)
    gate = figures["perfect_gate_cost_per_request"]
    figures["perfect_gate_vs_oracle_ratio"] = gate / figures["oracle_cost_per_request"]
    ratios = [
        r.cost / o.cost for r, o in zip(rows["router"], rows["oracle"], strict=True)
    ]
    figures["cost_vs_oracle_ratio_spread"] = max(ratios) - min(ratios)
    return figures


def _serve(
    request: TracedRequest,
    query: Query,
    candidates: Sequence[Candidate],
    policy: CascadePolicy,
) -> tuple[list[TriedAnswer], float]:
    index: int | None = policy.first(query, candidates)
    tried: list[TriedAnswer] = []
    cost = 0.0
    while index is not None:
        tried.append(TriedAnswer(index, request.outcomes[index].confidence))
        cost += candidates[index].cost
        index = policy.escalate(query, candidates, tried)
    policy.record_accepted(query, candidates, tried)
    return tried, cost


def _serve_knowing(requests: Sequence[TracedRequest]) -> list[Served]:
    options = []
    for request in requests:
        prices = [price(model, request) for model in MODELS]
        good = [p for p, o in zip(prices, request.outcomes, strict=True) if o.good]
        options.append((request, prices[0], min(good, default=None)))
    needed = int(requests[0].kind.target * len(requests) + 0.999)
    options.sort(key=lambda o: float("inf") if o[2] is None else o[2] - o[1])
    served = []
    for number, (request, cheapest, good_price) in enumerate(options):
        if good_price is not None and (number < needed or good_price == cheapest):
            served.append(Served(request, good_price, True))
        else:
            served.append(Served(request, cheapest, False))
    return served


def _summarise_all(served: Sequence[Served]) -> CascadeFigures:
    return CascadeFigures(
        _mean([item.cost for item in served]),
        _mean([item.good for item in served]),
        0.0,
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0
