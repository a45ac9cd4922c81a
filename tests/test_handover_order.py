"""Streams over scripted replicas that pause, break, reject and trickle at random."""

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lentilshore_routing.routes import DeliveryMode
from tests.scripted import answer
from tests.test_gateway import (
    REJECTED,
    SIGNED,
    Caller,
    GatewayHarness,
    chunk,
    event,
    route,
)

LAST_EVENT = 5
ATTEMPTS = 3
STREAM = route(DeliveryMode.STREAM_RESUMABLE, attempts=ATTEMPTS)

# Times at which a handover begins, is under way, and has ended.
pauses = st.sampled_from([0.0, 0.1, 0.6, 0.62, 0.7, 0.79, 0.8, 0.82, 1.0])
endings = st.sampled_from(["whole", "reset", "close", "hang", "partial"])


@st.composite
def replicas(draw):
    """Return how one replica handles a request."""
    kind = draw(st.sampled_from(["stream"] * 5 + ["reject", "fail", "reset", "none"]))
    if kind != "stream":
        return (kind, draw(pauses))
    count = draw(st.integers(0, LAST_EVENT))
    return (kind, draw(pauses), [draw(pauses) for _ in range(count)], draw(endings))


def script_of(behaviour):
    def script(fields):
        echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
        kind, delay_s, *rest = behaviour
        if kind == "reject":
            return [delay_s, answer(b"", "503 No", [REJECTED, echo])]
        if kind == "fail":
            return [delay_s, answer(b"e", "500 Error", [SIGNED, echo])]
        if kind == "reset":
            return [delay_s, "reset"]
        if kind == "none":
            return ["hang"]
        between, ending = rest
        head = answer(
            b"", "200 OK", [SIGNED, echo, "Transfer-Encoding: chunked"], False
        )
        steps = [delay_s, head]
        number = int(fields.get("last-event-id", 0))
        for pause_s in between:
            if number == LAST_EVENT:
                break
            number += 1
            steps += [pause_s, chunk(event(number))]
        if ending == "whole":
            rest_events = b"".join(event(n) for n in range(number + 1, LAST_EVENT + 1))
            return [
                *steps,
                *([chunk(rest_events)] if rest_events else []),
                b"0\r\n\r\n",
            ]
        if ending == "partial":
            return [*steps, chunk(b"id: 9\nda"), "close"]
        return [*steps, ending]

    return script


# Whatever replicas do, a caller gets each event once and in order, a stream that looks
# complete is complete, no more attempts run than the route allows, and every lease is
# released once.
@settings(
    max_examples=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(replicas(), min_size=1, max_size=5))
def test_each_event_comes_once_and_in_order(behaviours):
    scripts = [script_of(behaviour) for behaviour in behaviours]
    harness = GatewayHarness(scripts, STREAM)
    released = []

    async def act(harness, application, caller):
        placement = harness.context.placement
        release = placement.release
        placement.release = lambda lease, *rest: (
            released.append(lease),
            release(lease, *rest),
        )[1]
        await caller.send_to(application)
        await anyio.sleep(0.01)

    caller = harness.run(Caller(), act)
    whole = b"".join(event(n) for n in range(1, LAST_EVENT + 1))
    if caller.status == 200:
        assert whole.startswith(caller.body)
        assert caller.body.endswith(b"\n\n") or not caller.body
        assert not caller.complete or caller.body == whole
    else:
        assert caller.complete
    sent = [int(f.get("last-event-id", 0)) for _, f, _ in harness.server.requests]
    assert sent == sorted(sent)
    kinds = [behaviours[min(n, len(behaviours) - 1)][0] for n in range(len(sent))]
    assert len([kind for kind in kinds if kind != "reject"]) <= ATTEMPTS
    assert len({id(lease) for lease in released}) == len(released)
    names = ("i-1", "i-2")
    assert sum(harness.context.placement.in_flight(name) for name in names) == 0
