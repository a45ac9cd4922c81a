"""Escalation under load: three models on engines that read prompts one after another.

The prompts are heavy-tailed, and an escalated request is read a second time. Policies
are compared with an oracle that knows which answers are right and how long each engine
is busy.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lentilshore_routing.first_event_times import FirstEventTimes
from lentilshore_routing.model_choice import CONFIDENCE_THRESHOLD, should_escalate

ENGINES = 6
# Seconds to read a token, by model, and the cost of each in any unit.
SECONDS_PER_TOKEN = {"small": 6e-6, "middle": 16e-6, "large": 60e-6}
MODEL_COSTS = {"small": 0.02, "middle": 0.14, "large": 0.28}
SMALL_RIGHT_SHARE = 0.55
LARGE_RIGHT_SHARE = 0.97
CONFIDENCE_NOISE = 0.35
OBJECTIVE_S = 2.0
LATE_ANSWER_VALUE = 0.3
MEDIAN_PROMPT_TOKENS = 6_000
PROMPT_SIGMA = 0.9
MAX_PROMPT_TOKENS = 40_000
# Load of the engines if every answer below the threshold were escalated: calm, busy,
# and twice what they can do.
LOADS = {"calm": 0.3, "busy": 0.8, "overload": 2.0}


class EscalationRequest(NamedTuple):
    """A request of the trace.

    :param arrives_at: time of arrival, seconds.
    :param tokens: tokens of the prompt.
    :param confidence: the small model's confidence, 0 to 100.
    :param small_right: whether the small model's answer is right.
    :param large_right: whether the large model's answer is right.
    """

    arrives_at: float
    tokens: float
    confidence: int
    small_right: bool
    large_right: bool


# Decides from a request, the small model's answer time and the wait of the engine that
# would read it again, in seconds, whether to escalate.
Policy = Callable[[EscalationRequest, float, float], bool]


def create_trace(seed: int, length: int, load: float) -> list[EscalationRequest]:
    """Return a trace whose arrivals load the engines to a share of their capacity."""
    rng = random.Random(seed)
    mean_tokens = MEDIAN_PROMPT_TOKENS * 1.4
    escalated_share = CONFIDENCE_THRESHOLD / 100
    seconds_each = mean_tokens * (
        SECONDS_PER_TOKEN["small"] + escalated_share * SECONDS_PER_TOKEN["large"]
    )
    now = 0.0
    trace = []
    for _ in range(length):
        now += rng.expovariate(load * ENGINES / seconds_each)
        tokens = min(
            MAX_PROMPT_TOKENS,
            MEDIAN_PROMPT_TOKENS * rng.lognormvariate(0, PROMPT_SIGMA),
        )
        small_right = rng.random() < SMALL_RIGHT_SHARE
        centre = 0.72 if small_right else 0.28
        confidence = round(100 * min(1, max(0, rng.gauss(centre, CONFIDENCE_NOISE))))
        large_right = rng.random() < LARGE_RIGHT_SHARE
        trace.append(
            EscalationRequest(now, tokens, confidence, small_right, large_right)
        )
    return trace


def run_policy(
    trace: Sequence[EscalationRequest], policy: Policy, times: FirstEventTimes
) -> float:
    """Return the value of the answers as a share of all right and on time.

    :param times: learns from the first events.
    """
    free_at = [0.0] * ENGINES
    value = 0.0
    for request in trace:
        answered_at = _read(free_at, request.arrives_at, request.tokens, "small", times)
        right = request.small_right
        wait_s = max(0.0, min(free_at) - answered_at)
        if policy(request, answered_at - request.arrives_at, wait_s):
            answered_at = _read(free_at, answered_at, request.tokens, "large", times)
            right = request.large_right
        on_time = answered_at - request.arrives_at <= OBJECTIVE_S
        value += right * (1.0 if on_time else LATE_ANSWER_VALUE)
    return value / len(trace)


def bench_escalations(seeds: Sequence[int], length: int) -> dict[str, float]:
    """Return each policy's value relative to the oracle's, by load.

    :param seeds: one trace a seed.
    :param length: requests per trace.
    """
    figures = {}
    for load_name, load in LOADS.items():
        traces = [create_trace(seed, length, load) for seed in seeds]
        oracle = _mean_value(traces, _create_oracle)
        for name, create in (
            ("learned", create_learned_policy),
            ("threshold", lambda _: escalate_below_threshold),
            ("never", lambda _: never_escalate),
        ):
            value = _mean_value(traces, create)
            figures[f"escalation_{name}_{load_name}_vs_oracle"] = value / oracle
    return figures


def _mean_value(
    traces: Sequence[Sequence[EscalationRequest]],
    create_policy: Callable[[FirstEventTimes], Policy],
) -> float:
    values = []
    for trace in traces:
        times = FirstEventTimes()
        values.append(run_policy(trace, create_policy(times), times))
    return sum(values) / len(values)


def _read(
    free_at: list[float], now: float, tokens: float, model: str, times: FirstEventTimes
) -> float:
    """Read a prompt at the engine that is free first; return when it has been read."""
    engine = min(range(ENGINES), key=lambda index: free_at[index])
    ready_at = max(now, free_at[engine]) + tokens * SECONDS_PER_TOKEN[model]
    free_at[engine] = ready_at
    times.record(model, tokens, ready_at - now)
    return ready_at


def create_learned_policy(times: FirstEventTimes) -> Policy:
    """Return the gateway's policy, which learns from the first events."""

    def policy(request: EscalationRequest, spent_s: float, _: float) -> bool:
        expected_s = times.expected_s("large", request.tokens, MODEL_COSTS)
        return should_escalate(request.confidence, expected_s, OBJECTIVE_S - spent_s)

    return policy


def _create_oracle(_: FirstEventTimes) -> Policy:
    def policy(request: EscalationRequest, spent_s: float, wait_s: float) -> bool:
        if request.small_right or not request.large_right:
            return False
        reading_s = request.tokens * SECONDS_PER_TOKEN["large"]
        return spent_s + wait_s + reading_s <= OBJECTIVE_S

    return policy


def escalate_below_threshold(request: EscalationRequest, *_: float) -> bool:
    """Escalate below a fixed confidence, whatever the load."""
    return request.confidence < CONFIDENCE_THRESHOLD


def never_escalate(*_: object) -> bool:
    """Keep every answer of the small model."""
    return False
