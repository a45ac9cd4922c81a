"""Mutation tests of limits: each fault must break the limit, or its use."""

from unittest.mock import patch

import pytest

from lentilshore_node.delivery.answer_heads import AnswerHeads
from lentilshore_platform import translator
from lentilshore_routing import placement, replica_limits
from lentilshore_routing.replica_limits import ReplicaLimits
from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import route
from tests.test_limit_shares import LIMITED, MIN_USED_SHARE, World, demand, used_share
from tests.test_replica_limits import Fleet, plain


def keeps_a_limit(count=79, limit=2.6, is_new=False, seed=1):
    """The gateways of a fleet together keep to the limit of a replica."""
    world = World(count, demand(count, limit), seed, is_new)
    world.run(0.0 if is_new else 15.0)
    world.limited.limit = limit
    world.run(60.0)
    return world.limited.excess() <= 0


def keeps_a_higher_limit():
    """The gateways keep to a limit that is divided into many slots."""
    return keeps_a_limit(79, 12.5)


def keeps_a_limit_from_the_start():
    """Gateways that have just started keep to the limit."""
    return keeps_a_limit(340, 50.0, is_new=True)


def keeps_a_limit_without_a_list():
    """Gateways that do not know the list of gateways keep to the limit."""
    world = World(79, 4.0)
    for node in world.nodes.values():
        node.limits.set_nodes = lambda *_: None
    world.limited.limit = 2.6
    world.run(50.0)
    return world.limited.excess() <= 0


def keeps_a_limit_while_gateways_are_cut_off():
    """Gateways that hear from no other keep to the limit."""
    world = World(79, 4.0).run(15.0)
    world.limited.limit = 2.6
    world.run(20.0)
    for node in world.nodes.values():
        node.peers_reachable = False
    world.run(100.0)
    return world.limited.excess() <= 0


def keeps_a_limit_in_bursts(lull_s=100.0):
    """The gateways keep to the limit when all callers come at once after a lull."""
    world = World(79, 4.0).run(15.0)
    world.limited.limit = 2.6
    world.run(20.0)
    for _ in range(2):
        world.demand_per_s = 0.0
        world.run(lull_s)
        world.demand_per_s = 20.0
        world.run(15.0)
    return world.limited.excess() <= 0


def uses_a_limit():
    """The replica gets most of what it takes."""
    world = World(79, demand(79, 2.6)).run(15.0)
    world.limited.limit = 2.6
    return used_share(world.run(60.0), 50.0) >= MIN_USED_SHARE


def passes_shares_on():
    """The share of gateways that are gone passes on to others."""
    world = World(79, 2.0).run(15.0)
    world.limited.limit = 0.5
    world.run(20.0)
    for node in list(world.nodes.values()):
        if node.limits.own_rate(LIMITED):
            world.remove(node.name)
    world.run(100.0)
    return used_share(world, 60.0) >= MIN_USED_SHARE


def forgets_a_limit():
    """A limit that the replica no longer names is forgotten by all."""
    world = World(79, 2.0).run(15.0)
    world.limited.limit = 2.6
    world.run(20.0)
    world.limited.limit = None
    world.run(30.0)
    return not any(node.limits.limited for node in world.nodes.values())


def holds_to_a_limit_that_is_named_meanwhile():
    """An answer to an earlier request does not end a limit."""
    world = World(7, 2.0)
    limits = world.nodes["g-0"].limits
    sent_at = world.clock.monotonic()
    world.clock.advance(1.0)
    limits.observe(LIMITED, 2.6, sent_at)
    limits.observe(LIMITED, None, sent_at)
    return limits.limited == [LIMITED]


def serves_requests_within_the_limit():
    """Requests of callers keep to the limit."""
    fleet = Fleet(route(DeliveryMode.ONCE), plain).run(2.6)
    return fleet.replicas["i-1"].excess() <= 0


GUARANTEES = (
    keeps_a_limit,
    keeps_a_higher_limit,
    keeps_a_limit_from_the_start,
    keeps_a_limit_without_a_list,
    keeps_a_limit_while_gateways_are_cut_off,
    keeps_a_limit_in_bursts,
    uses_a_limit,
    passes_shares_on,
    forgets_a_limit,
    holds_to_a_limit_that_is_named_meanwhile,
    serves_requests_within_the_limit,
)


def whole_limit_each(self, replica, limit, now):
    return limit.limit_per_s


def every_slot(self, replica, limit, now):
    return limit.slots[: self._shared_slots(limit)]


def ends_at_once(self, replica, limit_per_s, sent_at):
    known = self._limits.get(replica)
    if limit_per_s is None and known is not None:
        known.limit_per_s = 0.0
        return True
    return OBSERVE(self, replica, limit_per_s, sent_at)


OBSERVE = ReplicaLimits.observe

MUTANTS = {
    "a bucket with the whole limit each": (
        keeps_a_limit,
        patch.object(ReplicaLimits, "_rate", whole_limit_each),
    ),
    "each gateway holds every slot": (
        keeps_a_limit,
        patch.object(ReplicaLimits, "_own_passing_slots", every_slot),
    ),
    "a slot for each gateway": (
        keeps_a_limit_in_bursts,
        patch.object(replica_limits, "EXTRA_SLOTS", 79),
    ),
    "three times the limit": (
        keeps_a_limit,
        patch.object(replica_limits, "SLOTS_SHARE", 3.0),
    ),
    "requests are not counted": (
        keeps_a_limit,
        patch.object(ReplicaLimits, "take", lambda *_: None),
    ),
    "requests are saved up for a minute": (
        keeps_a_limit_in_bursts,
        patch.object(replica_limits, "SAVED_REQUESTS_S", 60.0),
    ),
    "the limit is not asked about": (
        serves_requests_within_the_limit,
        patch.object(ReplicaLimits, "allows", lambda *_: True),
    ),
    "slots pass on before news arrives": (
        keeps_a_higher_limit,
        patch.object(replica_limits, "SLOT_TIMEOUT_S", 5.0),
    ),
    "slots pass on from before the start": (
        keeps_a_limit_from_the_start,
        patch.object(ReplicaLimits, "_settled_at", 0.0),
    ),
    "slots without a list of gateways": (
        keeps_a_limit_without_a_list,
        patch.object(replica_limits, "UNKNOWN_NODE_COUNT", 2),
    ),
    "slots pass on to gateways that are cut off": (
        keeps_a_limit_while_gateways_are_cut_off,
        patch.object(replica_limits, "MAX_CONTACT_AGE_S", 1e9),
    ),
    "limited replicas are not preferred": (
        uses_a_limit,
        patch.object(placement.ReplicaGroup, "named", lambda *_: []),
    ),
    "slots never pass on": (
        passes_shares_on,
        patch.object(replica_limits, "SLOT_TIMEOUT_S", 1e9),
    ),
    "gateways tell nothing": (
        forgets_a_limit,
        patch.object(ReplicaLimits, "tell", lambda _: []),
    ),
    "an earlier answer ends a limit": (
        holds_to_a_limit_that_is_named_meanwhile,
        patch.object(ReplicaLimits, "observe", ends_at_once),
    ),
    "the header is not read": (
        serves_requests_within_the_limit,
        patch.object(translator, "_read_decimal", lambda _: None),
    ),
    "answers are not looked at": (
        serves_requests_within_the_limit,
        patch.object(AnswerHeads, "_record_limit", lambda *_: None),
    ),
}


@pytest.mark.parametrize("guarantee", GUARANTEES, ids=lambda g: g.__name__)
def test_the_guarantee_holds_without_a_fault(guarantee):
    assert guarantee()


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_breaks_its_guarantee(name):
    guarantee, fault = MUTANTS[name]
    with fault:
        assert not guarantee()
