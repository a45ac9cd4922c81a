"""Cost and quality of the cascade policy, of baselines and of an oracle."""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lentilshore_kernel.types import parse_model_version
from lentilshore_routing import (
    CalibrationCell,
    CascadeOption,
    CascadePolicy,
    CascadeRequest,
    Features,
    QualityEstimates,
    TriedAnswer,
    calibration_cell,
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


class ServedRequest(NamedTuple):
    """A request with the outcome of serving it.

    :param request: the request.
    :param cost: price of all answers that were generated for it.
    :param good: whether the last answer was good.
    """

    request: TracedRequest
    cost: float
    good: bool


class CascadeFigures(NamedTuple):
    """Cost and quality of one policy.

    :param cost: mean price of a request.
    :param quality: share of good answers.
    :param shortfall: target minus quality of the worst customer and hour,
        percentage points.
    """

    cost: float
    quality: float
    shortfall: float


def run_policy(
    trace: Sequence[TracedRequest],
    policy: CascadePolicy,
    estimates: QualityEstimates,
    seed: int,
) -> list[ServedRequest]:
    """Serve a trace with a policy, with late and sparse ratings.

    :param trace: requests in order.
    :param policy: chooses the first model and escalates.
    :param estimates: updated with the ratings as they arrive.
    :param seed: seed of the choice of rated answers.
    """
    rng = random.Random(seed)
    ratings: deque[tuple[int, CalibrationCell, bool]] = deque()
    served = []
    for number, request in enumerate(trace):
        while ratings and ratings[0][0] <= number:
            _, cell, good = ratings.popleft()
            estimates.record_rating(cell, good)
        cascade_request, cascade_options = cascade_inputs(request)
        tried, cost = _serve(request, cascade_request, cascade_options, policy)
        for count in range(1, len(tried) + 1):
            estimates.record_answer(
                calibration_cell(cascade_request, cascade_options, tried[:count])
            )
        cell = calibration_cell(cascade_request, cascade_options, tried)
        good = request.outcomes[tried[-1].index].good
        if rng.random() < RATED_SHARE:
            ratings.append((number + RATING_LAG_REQUESTS, cell, good))
        served.append(ServedRequest(request, cost, good))
    return served


def cascade_inputs(
    request: TracedRequest,
) -> tuple[CascadeRequest, list[CascadeOption]]:
    """Return the cascade request and the options that a policy sees for a request."""
    features = Features(request.kind.name, length_class(request.input_tokens))
    cascade_request = CascadeRequest(
        request.customer, features, request.kind.target, DEADLINE_S
    )
    cascade_options = [
        CascadeOption(version, price(model, request), 1.0)
        for version, model in zip(VERSIONS, MODELS, strict=True)
    ]
    return cascade_request, cascade_options


def run_single_model(
    trace: Sequence[TracedRequest], choose: Callable[[TracedRequest], int]
) -> list[ServedRequest]:
    """Serve each request with a single model.

    :param trace: requests in order.
    :param choose: returns the index of the model in :data:`MODELS`.
    """
    served = []
    for request in trace:
        index = choose(request)
        good = request.outcomes[index].good
        served.append(ServedRequest(request, price(MODELS[index], request), good))
    return served


def run_perfect_gate(trace: Sequence[TracedRequest]) -> list[ServedRequest]:
    """Serve a trace with a cascade that judges each generated answer without error.

    Like the router, it knows nothing about an answer before it is generated. No
    cascade that starts with the cheapest model costs less. It escalates only as
    often as the target requires.
    """
    served = []
    good_answer_deficits: dict[tuple[str, str], float] = defaultdict(float)
    for request in trace:
        key = (request.customer, request.kind.name)
        cost = price(MODELS[0], request)
        good = request.outcomes[0].good
        for index in (1, 2):
            if good or good_answer_deficits[key] + request.kind.target <= 0:
                break
            cost += price(MODELS[index], request)
            good = request.outcomes[index].good
        good_answer_deficits[key] += request.kind.target - good
        served.append(ServedRequest(request, cost, good))
    return served


def run_oracle(trace: Sequence[TracedRequest]) -> list[ServedRequest]:
    """Serve a trace at the least cost that meets each target, outcomes known."""
    groups: dict[tuple[str, str], list[TracedRequest]] = defaultdict(list)
    for request in trace:
        groups[request.customer, request.kind.name].append(request)
    served = []
    for requests in groups.values():
        served += _serve_at_least_cost(requests)
    return served


def summarise(served: Sequence[ServedRequest]) -> CascadeFigures:
    """Return the figures of a run, without its warm-up."""
    counted = served[int(len(served) * WARM_UP_SHARE) :]
    by_hour: dict[tuple[str, int], list[ServedRequest]] = defaultdict(list)
    for index, item in enumerate(counted):
        hour = index * HOURS // len(counted)
        by_hour[item.request.customer, hour].append(item)
    shortfalls = [
        100
        * (
            _mean([i.request.kind.target for i in group])
            - _mean([i.good for i in group])
        )
        for group in by_hour.values()
    ]
    return CascadeFigures(
        _mean([item.cost for item in counted]),
        _mean([item.good for item in counted]),
        max(0.0, max(shortfalls)),
    )


def bench_cascades(seeds: Sequence[int], length: int) -> dict[str, float]:
    """Return the cascade figures, averaged over seeds.

    The shortfall is the largest over seeds.

    :param seeds: seeds of the traces.
    :param length: requests per trace.
    """
    figures_by_policy: dict[str, list[CascadeFigures]] = defaultdict(list)
    for seed in seeds:
        trace = create_trace(seed, length)
        rng = random.Random(seed)
        estimates = QualityEstimates()
        policy = create_calibrated_policy(estimates, rng)
        figures_by_policy["router"].append(
            summarise(run_policy(trace, policy, estimates, seed))
        )
        fixed = FixedThresholdPolicy()
        served = run_policy(trace, fixed, QualityEstimates(), seed)
        figures_by_policy["fixed_threshold"].append(summarise(served))
        figures_by_policy["always_cheapest"].append(
            summarise(run_single_model(trace, lambda r: 0))
        )
        figures_by_policy["always_costliest"].append(
            summarise(run_single_model(trace, lambda r: 2))
        )
        random_choices = random.Random(seed)
        figures_by_policy["random"].append(
            summarise(
                run_single_model(trace, lambda r, c=random_choices: c.randrange(3))
            )
        )
        figures_by_policy["perfect_gate"].append(summarise(run_perfect_gate(trace)))
        warm_up_count = int(length * WARM_UP_SHARE)
        figures_by_policy["oracle"].append(
            _summarise_all(run_oracle(trace[warm_up_count:]))
        )
    figures: dict[str, float] = {}
    for name, policy_figures in figures_by_policy.items():
        figures[f"{name}_cost_per_request"] = _mean([f.cost for f in policy_figures])
        figures[f"{name}_quality_share"] = _mean([f.quality for f in policy_figures])
    cost = figures["router_cost_per_request"]
    figures["cost_vs_oracle_ratio"] = cost / figures["oracle_cost_per_request"]
    always_costliest_cost = figures["always_costliest_cost_per_request"]
    figures["cost_vs_always_costly_ratio"] = cost / always_costliest_cost
    shortfalls = [f.shortfall for f in figures_by_policy["router"]]
    figures["quality_shortfall_points"] = max(shortfalls)
    perfect_gate_cost = figures["perfect_gate_cost_per_request"]
    figures["perfect_gate_vs_oracle_ratio"] = (
        perfect_gate_cost / figures["oracle_cost_per_request"]
    )
    ratios = [
        r.cost / o.cost
        for r, o in zip(
            figures_by_policy["router"], figures_by_policy["oracle"], strict=True
        )
    ]
    figures["cost_vs_oracle_ratio_spread"] = max(ratios) - min(ratios)
    return figures


def _serve(
    request: TracedRequest,
    cascade_request: CascadeRequest,
    cascade_options: Sequence[CascadeOption],
    policy: CascadePolicy,
) -> tuple[list[TriedAnswer], float]:
    index: int | None = policy.choose_first(cascade_request, cascade_options)
    tried: list[TriedAnswer] = []
    cost = 0.0
    while index is not None:
        tried.append(TriedAnswer(index, request.outcomes[index].confidence))
        cost += cascade_options[index].cost
        index = policy.escalate(cascade_request, cascade_options, tried)
    policy.record_accepted(cascade_request, cascade_options, tried)
    return tried, cost


def _serve_at_least_cost(requests: Sequence[TracedRequest]) -> list[ServedRequest]:
    priced = []
    for request in requests:
        prices = [price(model, request) for model in MODELS]
        good = [p for p, o in zip(prices, request.outcomes, strict=True) if o.good]
        priced.append((request, prices[0], min(good, default=None)))
    needed_good_answers = int(requests[0].kind.target * len(requests) + 0.999)
    # First the requests whose good answer costs least beyond the cheapest answer.
    priced.sort(key=lambda o: float("inf") if o[2] is None else o[2] - o[1])
    served = []
    for number, (request, cheapest, good_price) in enumerate(priced):
        if good_price is not None and (
            number < needed_good_answers or good_price == cheapest
        ):
            served.append(ServedRequest(request, good_price, True))
        else:
            served.append(ServedRequest(request, cheapest, False))
    return served


def _summarise_all(served: Sequence[ServedRequest]) -> CascadeFigures:
    """Return the figures of a whole run, with a shortfall of 0."""
    return CascadeFigures(
        _mean([item.cost for item in served]),
        _mean([item.good for item in served]),
        0.0,
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0
