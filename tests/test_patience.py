"""How long replicas are waited for, by route and by what they do meanwhile."""

import pytest

from lentilshore_routing.patience import (
    PATIENCE_STEP_S,
    answer_wait_s,
    longer_wait_s,
    pause_wait_s,
)
from lentilshore_routing.routes import DeliveryMode, Route


def route(repeat, objective_s=1.0, pause_s=0.8):
    return Route(
        "r",
        "h",
        "/",
        repeat,
        25.0,
        objective_s,
        pause_s,
        1,
        3,
        False,
        (),
        (("s", 1.0),),
    )


@pytest.mark.parametrize(
    ("repeat", "objective_s", "usual_s", "last", "remaining_s", "wait_s"),
    [
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.0, False, 20.0, 1.0),
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.1, False, 20.0, 1.0),
        # All engines are loaded: another would be no quicker.
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.8, False, 20.0, 3.2),
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.8, False, 2.0, 2.0),
        (DeliveryMode.STREAM_RESUMABLE, 1.0, 0.0, True, 20.0, 20.0),
        (DeliveryMode.IDEMPOTENT, 0.125, 0.0, False, 1.5, 0.3125),
        (DeliveryMode.IDEMPOTENT, 0.01, 0.0, False, 1.5, 0.25),
        # What may not be repeated waits to the end.
        (DeliveryMode.ONCE, 0.125, 0.0, False, 1.5, 1.5),
        (DeliveryMode.STREAM_ONCE, 1.0, 0.0, False, 9.0, 9.0),
        (DeliveryMode.IDEMPOTENT, 0.125, 0.0, False, -1.0, 0.001),
    ],
)
def test_waits_for_an_answer(repeat, objective_s, usual_s, last, remaining_s, wait_s):
    found = answer_wait_s(route(repeat, objective_s), usual_s, last, remaining_s)
    assert found == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ("repeat", "last", "wait_s"),
    [
        (DeliveryMode.STREAM_RESUMABLE, False, 1.0),
        (DeliveryMode.STREAM_RESUMABLE, True, 9.0),
        (DeliveryMode.STREAM_ONCE, False, 9.0),
    ],
)
def test_waits_between_events(repeat, last, wait_s):
    assert pause_wait_s(route(repeat), last, 9.0) == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ("started", "waited_s", "more_s"),
    [
        (False, 1.0, PATIENCE_STEP_S),
        (False, 2.9, 0.1),
        (False, 3.0, 0.0),
        (True, 2.3, 0.1),
    ],
)
def test_a_replica_that_answers_others_gets_more_time(started, waited_s, more_s):
    found = longer_wait_s(route(DeliveryMode.STREAM_RESUMABLE), started, waited_s)
    assert found == pytest.approx(more_s)
