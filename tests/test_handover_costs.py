"""What tries to hand over a request cost when they lead to nothing."""

import eliot
import pytest

from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import Caller, GatewayHarness, route, signed
from tests.test_silent_replicas import NoRetries, rejected

IDEMPOTENT = route(DeliveryMode.IDEMPOTENT, latency_objective_s=0.1)


def late_answer(fields):
    return [1.2, *signed(b"whole")(fields)]


# A try that the retry budget denies sends nothing, so that it must use up nothing: a
# limit of a replica is kept for requests that are sent, and a prefix counts as cached
# only at a replica that was sent it.
def test_a_denied_try_uses_up_no_limit_of_a_replica():
    taken = []

    async def act(harness, application, caller):
        harness.context.retries._create_budget = NoRetries
        limits = harness.context.placement._limits
        take = limits.take
        limits.take = lambda name: (taken.append(name), take(name))[1]
        await caller.send_to(application)

    harness = GatewayHarness([late_answer], IDEMPOTENT)
    caller = harness.run(Caller(), act)
    assert caller.body == b"whole"
    assert len(taken) == len(harness.server.requests) == 1


# A replica that is ejected already is not ejected again at each try.
@pytest.mark.parametrize("surroundings", ["no_retries", "rejections"])
def test_a_silent_replica_is_reported_as_ejected_once(surroundings):
    lines = []

    async def act(harness, application, caller):
        if surroundings == "no_retries":
            harness.context.retries._create_budget = NoRetries
        eliot.add_destinations(lines.append)
        lines.clear()  # what earlier tests have logged
        try:
            await caller.send_to(application)
        finally:
            eliot.remove_destination(lines.append)

    harness = GatewayHarness([late_answer, rejected], IDEMPOTENT)
    harness.run(Caller(), act)
    ejected = [m["replica"] for m in lines if m["message_type"] == "replica_rested"]
    assert ejected == [harness.server.requests[0][1]["x-expect-instance"]]
