"""Silences of sound replicas beside planned work, and the check of LOST for them."""

import asyncio
import time
from signal import SIGCONT, SIGSTOP

from tests.soak.callers import KINDS
from tests.soak.fleet import GRACE_S
from tests.soak.plan import Plan

LASTING_MIX = {"slow": 3, "slow-once": 1, "long": 3, "long-sized": 3, "long-tail": 1}
SILENCE_S = 1.2
# A replica is heard for this time between two silences.
HEARD_S = 1.0
MOST_SHED = 0.4
RETRY_BUDGETS = ((0.9, 52), (0.1, 3))
IDLE_TIMEOUTS_MS = (2000, 5000, 15_000)
USED_SHARE = 0.7
# A request may cross the close of its connection for this time.
CROSSING_S = 0.5


class SilencePlan(Plan):
    """Silences replicas, while gateways are stopped and settings change as planned."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        self._has_lasting_routes = True
        fleet.retry_budget = random.choice(RETRY_BUDGETS)
        self._heard_until = {}
        self._actions = {
            self.silence_replicas: 8,
            self.shed_requests: 2,
            self.change_config: 2,
            self.stop_gateways: 1,
            self.reload_settings: 1,
        }

    async def silence_replicas(self, lasts_s):
        """Pause replicas, alone or several at once, and wake them again."""
        share = self._random.choice((0.1, 0.5, 1.0))
        now = time.monotonic()
        silent = [
            replica
            for replica in self._some(self._live_replicas(), share)
            if self._heard_until.get(replica.name, 0.0) < now
        ]
        for replica in silent:
            self._heard_until[replica.name] = now + SILENCE_S + HEARD_S
            self._fleet.silences.add(replica.name, SILENCE_S)
            replica.child.send_signal(SIGSTOP)
        await asyncio.sleep(SILENCE_S)
        for replica in silent:
            replica.child.send_signal(SIGCONT)

    async def shed_requests(self, lasts_s):
        """Have all replicas reject a share of the requests as not run."""
        share = self._random.uniform(0.1, MOST_SHED)
        for replica in self._live_replicas():
            await self._set_faults(replica, {"shed": share})

    async def change_config(self, lasts_s):
        """Write a configuration, with another idle timeout."""
        self._idle_ms = self._random.choice(IDLE_TIMEOUTS_MS)
        await self.write_config()


def lost_problems(callers, runs, stops):
    """Return a line for each request that ended early though nothing broke it off.

    :param runs: runs by request.
    :param stops: times of the SIGTERMs by gateway.
    """
    for name, seen in callers.seen.items():
        sent = callers.sent[name]
        used_s, has_s = seen.at - sent.at, KINDS[sent.kind][2]
        closed = seen.status is None
        if seen.left or used_s >= USED_SHARE * has_s:
            continue
        failed = closed or (seen.status >= 500 and seen.status != 503)
        if seen.complete and not failed:
            continue
        ran = runs.get(name, [])
        if closed and not ran and used_s < CROSSING_S:
            continue
        if any(_is_out_of_grace(sent.at, seen.at, at) for at in stops[sent.gateway]):
            continue
        where = ", ".join(f"{r['replica']} at {r['time']:.3f}" for r in ran)
        how = "closed" if closed else f"{seen.status}"
        yield (
            f"LOST {name} ({sent.kind}) by {sent.gateway}: {how}, "
            f"{len(seen.body)} bytes, at {seen.at:.3f} after {used_s:.2f} of "
            f"{has_s:.0f} s; runs: {where or 'none'}"
        )


def _is_out_of_grace(sent_at, ended_at, stopped_at):
    """Return whether a request ended in the last sixth of its gateway's stop."""
    last_s = ended_at - stopped_at
    return sent_at <= stopped_at + 3.0 and GRACE_S * 5 / 6 <= last_s <= GRACE_S + 1.0
