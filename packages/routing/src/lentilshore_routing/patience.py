"""How long an attempt waits for its replica before another one is asked."""

from __future__ import annotations

from .routes import DeliveryMode, Route

# Shares of the objective after which another replica is asked.
FIRST_EVENT_SHARE = 1.0
PLAIN_ANSWER_SHARE = 2.5
# Multiple of the usual time to an answer after which another replica is asked, so
# that replicas that are all loaded are not asked for the same work twice.
USUAL_ANSWER_FACTOR = 4.0
# Multiple of the timely pause after which a stream goes on elsewhere.
PAUSE_FACTOR = 1.25
# While a replica answers others of this node, it is loaded and not silent: a stream
# waits for it up to these multiples, since another replica would read the prompt anew.
LOADED_FIRST_FACTOR = 3.0
LOADED_PAUSE_FACTOR = 3.0
# Shortest and longest part of a wait, seconds: below it a wait tells nothing of the
# replica, and after it the replica is looked at again.
WAIT_MINIMUM_S = 0.25
PATIENCE_STEP_S = 0.25


def answer_wait_s(
    route: Route, usual_s: float, last_run: bool, remaining_s: float
) -> float:
    """Return how long to wait for an answer or its first event.

    :param usual_s: usual time for work of this kind, 0 if not known.
    :param last_run: whether no other replica may be asked after this one.
    :param remaining_s: time left for the request, seconds.
    """
    remaining_s = max(0.001, remaining_s)
    if last_run or not route.delivery_mode.repeatable:
        return remaining_s
    share = FIRST_EVENT_SHARE if route.delivery_mode.streaming else PLAIN_ANSWER_SHARE
    wait_s = max(
        WAIT_MINIMUM_S, route.objective_s * share, usual_s * USUAL_ANSWER_FACTOR
    )
    return min(remaining_s, wait_s)


def pause_wait_s(route: Route, last_run: bool, remaining_s: float) -> float:
    """Return how long to wait for the next event of a stream."""
    remaining_s = max(0.001, remaining_s)
    if last_run or route.delivery_mode is not DeliveryMode.STREAM_RESUMABLE:
        return remaining_s
    return min(remaining_s, route.pause_s * PAUSE_FACTOR)


def longer_wait_s(route: Route, started: bool, waited_s: float) -> float:
    """Return how much longer to wait for a replica that answers others.

    :param started: whether the stream's first event has come.
    :param waited_s: time since the last sign of it, seconds.
    :returns: at most :data:`PATIENCE_STEP_S`; 0 or less to give up.
    """
    limit_s = route.objective_s * LOADED_FIRST_FACTOR
    if started:
        limit_s = route.pause_s * LOADED_PAUSE_FACTOR
    return min(PATIENCE_STEP_S, limit_s - waited_s)
