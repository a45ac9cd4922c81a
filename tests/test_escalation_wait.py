"""Answers of a smaller model while the replicas of a larger one can't be reached."""

import anyio
import pytest

from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import Caller, GatewayHarness, event, route, stream

CASCADE = route(DeliveryMode.STREAM_RESUMABLE, models=("s", "l"))


# An answer in hand was kept back for up to a second, until just before the caller's
# deadline, while the connection to a larger model's replica opened.
@pytest.mark.parametrize("deadline_ms", [600, 900, 1500])
def test_an_answer_in_hand_does_not_wait_for_a_connection(deadline_ms):
    released = []

    async def act(harness, application, caller):
        http, placement = harness.context.http, harness.context.placement
        connect, release = http._connect, placement.release

        async def hang_from_the_second(address, timeout_s):
            if harness.server.requests:
                await anyio.sleep(min(1.0, timeout_s))
            return await connect(address, timeout_s)

        http._connect = hang_from_the_second
        placement.release = lambda lease, *rest: (
            released.append(lease),
            release(lease, *rest),
        )[1]
        await caller.send_to(application)

    script = stream([1, 2], "whole", ["X-Confidence: 10"])
    harness = GatewayHarness([script], CASCADE)
    fields = [(b"x-model", b"*"), (b"x-deadline-ms", b"%d" % deadline_ms)]
    caller = harness.run(Caller(fields), act)
    assert (caller.status, caller.body) == (200, event(1) + event(2))
    assert caller.complete
    assert [f["x-model"] for _, f, _ in harness.server.requests] == ["s"]
    assert len(released) == 2
