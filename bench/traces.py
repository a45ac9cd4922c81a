"""Seeded traces of requests, with the outcome of each model."""

from __future__ import annotations

import random
from typing import NamedTuple

from lentilshore_kernel.types import Priority

CUSTOMERS = tuple(f"customer-{number}" for number in range(10))
CUSTOMER_WEIGHTS = (30, 20, 12, 8, 7, 6, 6, 4, 4, 3)
TUNING_SEEDS = (11, 12, 13)
HOLDOUT_SEEDS = (91, 92, 93)


class Kind(NamedTuple):
    """A kind of request.

    :param name: name of the kind.
    :param weight: share of all requests.
    :param input_tokens: mean tokens of the prompt.
    :param output_tokens: mean tokens of the answer.
    :param difficulty: parameters of the beta distribution of difficulty.
    :param target: target share of good answers.
    :param priority: priority of its requests.
    """

    name: str
    weight: float
    input_tokens: int
    output_tokens: int
    difficulty: tuple[float, float]
    target: float
    priority: Priority


KINDS = (
    Kind("lookup", 0.5, 120, 30, (1.2, 6.0), 0.95, Priority.INTERACTIVE),
    Kind("draft", 0.3, 300, 250, (1.5, 4.0), 0.90, Priority.NORMAL),
    Kind("read", 0.2, 6_000, 400, (2.0, 4.0), 0.90, Priority.BATCH),
)


class Model(NamedTuple):
    """A model of the trace.

    :param name: name of its only version.
    :param input_price: price per token of the prompt.
    :param output_price: price per token of the answer.
    :param skill: difficulty below which its answers tend to be good.
    """

    name: str
    input_price: float
    output_price: float
    skill: float


MODELS = (
    Model("small@1", 1.0, 2.0, 0.42),
    Model("medium@1", 4.0, 8.0, 0.62),
    Model("large@1", 15.0, 30.0, 0.92),
)
SKILL_NOISE = 0.06
CONFIDENCE_NOISE = 0.07


class Outcome(NamedTuple):
    """Outcome of serving a request with one model.

    :param good: whether its answer is good.
    :param confidence: confidence that its engine reports.
    """

    good: bool
    confidence: float


class TracedRequest(NamedTuple):
    """A request of a trace.

    :param customer: name of the customer.
    :param kind: kind of the request.
    :param input_tokens: tokens of the prompt.
    :param output_tokens: tokens of the answer.
    :param outcomes: outcome with each model of :data:`MODELS`.
    """

    customer: str
    kind: Kind
    input_tokens: int
    output_tokens: int
    outcomes: tuple[Outcome, ...]


def create_trace(seed: int, length: int) -> list[TracedRequest]:
    """Return a trace.

    :param seed: seed of every random choice.
    :param length: number of requests.
    """
    rng = random.Random(seed)
    customers = rng.choices(CUSTOMERS, CUSTOMER_WEIGHTS, k=length)
    kinds = rng.choices(KINDS, [kind.weight for kind in KINDS], k=length)
    return [
        _create_request(rng, customer, kind)
        for customer, kind in zip(customers, kinds, strict=True)
    ]


def price(model: Model, request: TracedRequest) -> float:
    """Return the price of a model's answer to a request."""
    input_price = model.input_price * request.input_tokens
    return input_price + model.output_price * request.output_tokens


def _create_request(rng: random.Random, customer: str, kind: Kind) -> TracedRequest:
    difficulty = rng.betavariate(*kind.difficulty)
    outcomes = []
    for model in MODELS:
        margin = model.skill - difficulty + rng.gauss(0, SKILL_NOISE)
        confidence = 0.5 + 1.6 * (margin + rng.gauss(0, CONFIDENCE_NOISE))
        outcomes.append(Outcome(margin > 0, min(1.0, max(0.0, confidence))))
    return TracedRequest(
        customer,
        kind,
        max(8, int(rng.gauss(kind.input_tokens, kind.input_tokens / 5))),
        max(4, int(rng.gauss(kind.output_tokens, kind.output_tokens / 5))),
        tuple(outcomes),
    )
