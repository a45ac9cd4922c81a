"""Timeouts of attempts, by route and by what the replica does meanwhile."""

import pytest

from lentilshore_routing.routes import DeliveryMode, Route
from lentilshore_routing.timeouts import (
    TIMEOUT_EXTENSION_STEP_S,
    answer_timeout_s,
    next_event_timeout_s,
    timeout_extension_s,
)


def route(delivery_mode, latency_objective_s=1.0, pause_objective_s=0.8):
    return Route(
        "r",
        "h",
        "/",
        delivery_mode,
        25.0,
        latency_objective_s,
        pause_objective_s,
        1,
        3,
        False,
        (),
        (("s", 1.0),),
    )


@pytest.mark.parametrize(
    (
        "delivery_mode",
        "latency_objective_s",
        "typical_latency_s",
        "last_attempt",
        "remaining_s",
        "timeout_s",
    ),
    [
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.0, False, 20.0, 1.0),
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.1, False, 20.0, 1.0),
        # All engines are loaded, so another one would be no faster.
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.8, False, 20.0, 3.2),
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.8, False, 2.0, 2.0),
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.0, True, 20.0, 20.0),
        (DeliveryMode.IDEMPOTENT, 0.125, 0.0, False, 1.5, 0.3125),
        (DeliveryMode.IDEMPOTENT, 0.01, 0.0, False, 1.5, 0.25),
        # Requests that must not be repeated wait until their deadline.
        (DeliveryMode.ONCE, 0.125, 0.0, False, 1.5, 1.5),
        (DeliveryMode.STREAM_ONCE, 1.0, 0.0, False, 9.0, 9.0),
        (DeliveryMode.IDEMPOTENT, 0.125, 0.0, False, -1.0, 0.001),
    ],
)
def test_timeout_of_an_answer(
    delivery_mode,
    latency_objective_s,
    typical_latency_s,
    last_attempt,
    remaining_s,
    timeout_s,
):
    found = answer_timeout_s(
        route(delivery_mode, latency_objective_s),
        typical_latency_s,
        last_attempt,
        remaining_s,
    )
    assert found == pytest.approx(timeout_s)


@pytest.mark.parametrize(
    ("delivery_mode", "last_attempt", "timeout_s"),
    [
        (DeliveryMode.STREAM_RESUMABLE, False, 1.0),
        (DeliveryMode.STREAM_RESUMABLE, True, 9.0),
        (DeliveryMode.STREAM_ONCE, False, 9.0),
    ],
)
def test_timeout_of_the_next_event(delivery_mode, last_attempt, timeout_s):
    assert next_event_timeout_s(
        route(delivery_mode), last_attempt, 9.0
    ) == pytest.approx(timeout_s)


@pytest.mark.parametrize(
    ("stream_started", "waited_s", "extension_s"),
    [
        (False, 1.0, TIMEOUT_EXTENSION_STEP_S),
        (False, 2.9, 0.1),
        (False, 3.0, 0.0),
        (True, 2.3, 0.1),
    ],
)
def test_a_replica_that_answers_other_requests_gets_an_extension(
    stream_started, waited_s, extension_s
):
    found = timeout_extension_s(
        route(DeliveryMode.STREAM_RESUMABLE), stream_started, waited_s
    )
    assert found == pytest.approx(extension_s)
