"""Timeouts of attempts, after which a request is sent to another replica."""

from __future__ import annotations

from .routes import DeliveryMode, Route

# Timeouts of a stream's first event and of a whole answer, as multiples of the route's
# latency objective.
FIRST_EVENT_OBJECTIVE_FACTOR = 1.0
WHOLE_ANSWER_OBJECTIVE_FACTOR = 2.5
# The timeout is at least this multiple of the typical latency, so that the same work
# is not sent to a second replica while all replicas are loaded.
TYPICAL_LATENCY_FACTOR = 4.0
# A stream is resumed at another replica after a pause of this multiple of the route's
# pause objective.
STREAM_PAUSE_FACTOR = 1.25
# A replica that still answers other requests of this node is loaded, not unresponsive.
# A stream waits for it up to these multiples of the route's latency objective and pause
# objective, since another replica would have to process the prompt again.
LOADED_FIRST_EVENT_FACTOR = 3.0
LOADED_PAUSE_FACTOR = 3.0
# A shorter timeout says nothing about the state of the replica.
MIN_TIMEOUT_S = 0.25
# Longest extension granted at a time; the replica is checked again after it.
TIMEOUT_EXTENSION_STEP_S = 0.25


def answer_timeout_s(
    route: Route, typical_latency_s: float, last_attempt: bool, remaining_s: float
) -> float:
    """Return the timeout of an answer or of its first event, in seconds.

    :param route: the route of the request.
    :param typical_latency_s: typical latency of this kind of work, seconds; 0 if
        unknown.
    :param last_attempt: whether no further attempt is allowed after this one.
    :param remaining_s: time left for the request, seconds.
    """
    remaining_s = max(0.001, remaining_s)
    if last_attempt or not route.delivery_mode.repeatable:
        return remaining_s
    factor = (
        FIRST_EVENT_OBJECTIVE_FACTOR
        if route.delivery_mode.streaming
        else WHOLE_ANSWER_OBJECTIVE_FACTOR
    )
    timeout_s = max(
        MIN_TIMEOUT_S,
        route.latency_objective_s * factor,
        typical_latency_s * TYPICAL_LATENCY_FACTOR,
    )
    return min(remaining_s, timeout_s)


def next_event_timeout_s(route: Route, last_attempt: bool, remaining_s: float) -> float:
    """Return the timeout of the next event of a stream, in seconds.

    The parameters are those of :func:`answer_timeout_s`.
    """
    remaining_s = max(0.001, remaining_s)
    if last_attempt or route.delivery_mode is not DeliveryMode.STREAM_RESUMABLE:
        return remaining_s
    return min(remaining_s, route.pause_objective_s * STREAM_PAUSE_FACTOR)


def timeout_extension_s(route: Route, stream_started: bool, waited_s: float) -> float:
    """Return the timeout extension for a replica that answers other requests.

    :param route: the route of the request.
    :param stream_started: whether the stream's first event has arrived.
    :param waited_s: time since the request was sent or the replica last sent data,
        seconds.
    :returns: seconds, at most :data:`TIMEOUT_EXTENSION_STEP_S`; 0 or less to end the
        attempt.
    """
    limit_s = route.latency_objective_s * LOADED_FIRST_EVENT_FACTOR
    if stream_started:
        limit_s = route.pause_objective_s * LOADED_PAUSE_FACTOR
    return min(TIMEOUT_EXTENSION_STEP_S, limit_s - waited_s)
