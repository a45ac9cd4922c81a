"""How long an attempt waits for its replica before another one is asked."""

from __future__ import annotations

from .routes import Repeat, Route

# Shares of the objective after which another replica is asked.
FIRST_EVENT_OBJECTIVE_FACTOR = 1.0
WHOLE_ANSWER_OBJECTIVE_FACTOR = 2.5
# Multiple of the usual time to an answer after which another replica is asked, so
# that replicas that are all loaded are not asked for the same work twice.
TYPICAL_LATENCY_FACTOR = 4.0
# Multiple of the timely pause after which a stream goes on elsewhere.
STREAM_PAUSE_FACTOR = 1.25
# While a replica answers others of this node, it is loaded and not silent: a stream
# waits for it up to these multiples, since another replica would read the prompt anew.
LOADED_FIRST_EVENT_FACTOR = 3.0
LOADED_PAUSE_FACTOR = 3.0
# Shortest and longest part of a wait, seconds: below it a wait tells nothing of the
# replica, and after it the replica is looked at again.
MIN_TIMEOUT_S = 0.25
TIMEOUT_EXTENSION_STEP_S = 0.25


def answer_timeout_s(
    route: Route, typical_latency_s: float, last_attempt: bool, remaining_s: float
) -> float:
    """Return how long to wait for an answer or its first event.

    :param typical_latency_s: usual time for work of this kind, 0 if not known.
    :param last_attempt: whether no other replica may be asked after this one.
    :param remaining_s: time left for the request, seconds.
    """
    remaining_s = max(0.001, remaining_s)
    if last_attempt or not route.repeat.repeatable:
        return remaining_s
    factor = (
        FIRST_EVENT_OBJECTIVE_FACTOR
        if route.repeat.streaming
        else WHOLE_ANSWER_OBJECTIVE_FACTOR
    )
    timeout_s = max(
        MIN_TIMEOUT_S,
        route.objective_s * factor,
        typical_latency_s * TYPICAL_LATENCY_FACTOR,
    )
    return min(remaining_s, timeout_s)


def next_event_timeout_s(route: Route, last_attempt: bool, remaining_s: float) -> float:
    """Return how long to wait for the next event of a stream."""
    remaining_s = max(0.001, remaining_s)
    if last_attempt or route.repeat is not Repeat.STREAM_RESUMABLE:
        return remaining_s
    return min(remaining_s, route.pause_s * STREAM_PAUSE_FACTOR)


def timeout_extension_s(route: Route, stream_started: bool, waited_s: float) -> float:
    """Return how much longer to wait for a replica that answers others.

    :param stream_started: whether the stream's first event has come.
    :param waited_s: time since the last sign of it, seconds.
    :returns: at most :data:`TIMEOUT_EXTENSION_STEP_S`; 0 or less to give up.
    """
    limit_s = route.objective_s * LOADED_FIRST_EVENT_FACTOR
    if stream_started:
        limit_s = route.pause_s * LOADED_PAUSE_FACTOR
    return min(TIMEOUT_EXTENSION_STEP_S, limit_s - waited_s)
