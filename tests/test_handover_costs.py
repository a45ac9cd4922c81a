"""What tries to hand over a request cost when they lead to nothing."""

from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import Caller, GatewayHarness, route, signed
from tests.test_silent_replicas import NoRetries

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
