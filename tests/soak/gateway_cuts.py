"""Gateways cut off from all replicas, and a check of what their callers got."""

import asyncio
from typing import NamedTuple

from tests.soak.plan import Plan
from tests.soak.proxy import LinkFault

MIX = {"once": 6, "safe": 4, "stream": 2, "tail": 1}
CUT_S = (4.0, 9.0)
PAUSE_S = (0.5, 2.0)
# The rule counts first tries from this time after a cut began.
STABILITY_S = 3.0
SERVED_RATIO = 2 / 3
ALLOWED_FAILURES, ALLOWED_SHARE = 10, 1 / 50
MANNERS = {
    "hang": LinkFault(holds=("up", "down")),
    "reset": LinkFault(refuses=True),
    "refuse": LinkFault(refuses=True),
}


class Cut(NamedTuple):
    """Gateways that reached no replica for a time."""

    gateways: frozenset
    manner: str
    begin: float
    end: float


class GatewayCutPlan(Plan):
    """Gateways lose all replicas in series, beside other faults."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        self._actions = {
            self.stop_gateways: 2,
            self.kill_gateways: 1,
            self.reload_settings: 1,
            self.change_config: 2,
            self.withdraw_key: 1,
            self.disturb_store: 1,
            self.kill_replica: 1,
            self.drain_replica: 1,
        }
        self._gap_s = 2.0

    async def run_cuts(self, random, clock, lasts_s):
        """Cut gateways off, one set after the other.

        :param clock: returns seconds since the Unix epoch.
        """
        end = clock() + lasts_s
        while clock() < end:
            gateways = self._fleet.gateways
            count = random.choice((1, 1, 2, len(gateways) // 2, len(gateways) - 1))
            chosen = random.sample(gateways, max(1, count))
            manner = random.choice(list(MANNERS))
            names = frozenset(gateway.name for gateway in chosen)
            self._log(f"cut of {sorted(names)}: {manner}")
            begin = clock()
            faults = self._fleet.replica_link_faults
            faults |= {gateway.host: MANNERS[manner] for gateway in chosen}
            if manner == "reset":
                self._reset_connections(chosen)
            await asyncio.sleep(random.uniform(*CUT_S))
            faults.clear()
            self._fleet.gateway_cuts.append(Cut(names, manner, begin, clock()))
            self._log(f"cut of {sorted(names)} healed")
            await asyncio.sleep(random.uniform(*PAUSE_S))

    def _reset_connections(self, gateways):
        for name in self._fleet.replicas:
            for gateway in gateways:
                self._fleet.links[name].reset(gateway.host)


def recover_problems(callers, cuts, is_in_touch, withdrawn):
    """Return a line for each cut whose gateways served far worse than the others.

    :param is_in_touch: whether a gateway was undisturbed at a time, cuts aside.
    :param withdrawn: keys that were taken away.
    """
    for cut in cuts:
        here, elsewhere = [], []
        for name, sent in callers.sent.items():
            seen = callers.seen.get(name)
            if seen is None or seen.left:
                continue
            if not cut.begin + STABILITY_S <= sent.at <= cut.end:
                continue
            if sent.key in withdrawn or not is_in_touch(sent.gateway, sent.at):
                continue
            served = seen.status == 200 and seen.complete
            (here if sent.gateway in cut.gateways else elsewhere).append(served)
        if not here or not elsewhere:
            continue
        failed = here.count(False)
        share, usual = sum(here) / len(here), sum(elsewhere) / len(elsewhere)
        allowed = ALLOWED_FAILURES + ALLOWED_SHARE * len(here)
        if share < SERVED_RATIO * usual and failed > allowed:
            yield (
                f"RECOVER: {sum(here)} of {len(here)} served at {sorted(cut.gateways)} "
                f"({cut.manner}), {sum(elsewhere)} of {len(elsewhere)} elsewhere"
            )
