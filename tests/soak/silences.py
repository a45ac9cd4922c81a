"""Silences of sound replicas beside planned work, alone and beside full replicas."""

import asyncio
import itertools
import time
from signal import SIGCONT, SIGSTOP

from tests.soak.plan import TIMEOUTS_MS, Plan

LASTING_MIX = {"slow": 3, "slow-once": 1, "long": 3, "long-sized": 3, "long-tail": 1}
HUSHED_MIX = {
    "once": 4,
    "safe": 3,
    "stream": 4,
    "tail": 1,
    "slow": 1,
    "long": 2,
    "long-sized": 2,
    "long-tail": 1,
}
# So few that one replica too many is soon seen.
HUSHED_ATTEMPTS = {"safe": 2, "stream": 2, "long": 1}
SILENCE_S = 1.2
# Time between the beginnings of two silences of one service's replicas.
HUSH_GAP_S = 6.0
# The configuration changes so long before.
CHANGE_LEAD_S = 0.6
HUSH_S = (1.0, 1.3)
HUSHED_SHARES = (1.0, 0.6)
UPGRADE_GAP_S = 0.5
# A replica is heard for this time between two silences.
HEARD_S = 1.0
MOST_SHED = 0.4
RETRY_BUDGETS = ((0.9, 52), (0.1, 3))
IDLE_TIMEOUTS_MS = (2000, 5000, 15_000)
FULL_GAP_S = 4.0
SILENT_SHARE = 0.4
# All replicas have room for this time between two silences.
ROOM_S = (0.3, 0.8)
# Replicas are full for this time after the silent ones have woken up.
FULL_AFTER_S = (0.3, 0.8)
FULL_PLACES = (1, 2, 3)


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
        await self._silence(silent)

    async def _silence(self, replicas, lasts_s=SILENCE_S):
        for replica in replicas:
            self._fleet.silences.add(replica.name, lasts_s)
            replica.child.send_signal(SIGSTOP)
        await asyncio.sleep(lasts_s)
        for replica in replicas:
            replica.child.send_signal(SIGCONT)
            # On a busy machine it has been silent for longer than planned.
            self._fleet.silences.add(replica.name)

    async def shed_requests(self, lasts_s):
        """Have all replicas reject a share of the requests as not run."""
        share = self._random.uniform(0.1, MOST_SHED)
        for replica in self._live_replicas():
            await self._set_faults(replica, {"shed": share})

    async def change_config(self, lasts_s):
        """Write a configuration, with another idle timeout."""
        self._idle_ms = self._random.choice(IDLE_TIMEOUTS_MS)
        await self.write_config()


class HushedPlan(SilencePlan):
    """Silences replicas of one service at once while the configuration changes.

    Gateways are stopped, and upgraded one after the other, and settings change
    meanwhile.

    :param upgrade_to: checkout to which the gateways are upgraded, None for none.
    """

    def __init__(self, fleet, keys, random, log, upgrade_to=None):
        super().__init__(fleet, keys, random, log)
        fleet.retry_budget = RETRY_BUDGETS[0]
        fleet.max_attempts |= HUSHED_ATTEMPTS
        self._upgrade_to = upgrade_to
        self._gap_s = FULL_GAP_S
        self._more_routes = False
        self._actions = {
            self.change_config: 1,
            self.stop_gateways: 1,
            self.reload_settings: 2,
        }

    async def run(self, lasts_s):
        """Begin planned work and silences for a time, then wait for their ends."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run(lasts_s))
            group.create_task(self._run_silences(time.monotonic() + lasts_s))
            if self._upgrade_to is not None:
                group.create_task(self._run_upgrade())

    async def _run_silences(self, end):
        changes = (self.change_config, self.change_timeouts, self.change_routes)
        for number in itertools.count():
            if time.monotonic() >= end:
                return
            began = time.monotonic()
            change = changes[number % len(changes)]
            self._log(f"{change.__name__}, then a silence")
            await change(0.0)
            await asyncio.sleep(CHANGE_LEAD_S)
            service = self._random.choice(("pool", "register"))
            live = [r for r in self._live_replicas() if r.service == service]
            share = HUSHED_SHARES[number % len(HUSHED_SHARES)]
            silent = self._random.sample(live, max(1, round(share * len(live))))
            self._log(f"silent: {[replica.name for replica in silent]}")
            await self._silence(silent, self._random.uniform(*HUSH_S))
            await asyncio.sleep(began + HUSH_GAP_S - time.monotonic())

    async def _run_upgrade(self):
        for gateway in self._fleet.gateways:
            self._log(f"upgrade of {gateway.name}")
            await self._fleet.upgrade_gateway(gateway, self._upgrade_to)
            await asyncio.sleep(UPGRADE_GAP_S)

    async def change_timeouts(self, lasts_s):
        """Write a configuration, with other timeouts of routes."""
        self._timeout_ms = self._random.choice(TIMEOUTS_MS)
        await self.write_config()

    async def change_routes(self, lasts_s):
        """Write a configuration with routes that nobody uses, or without them."""
        self._more_routes = not self._more_routes
        await self.write_config()

    def _routes(self):
        routes = super()._routes()
        if not self._more_routes:
            return routes
        unused = [
            route | {"name": f"{route['name']}-b", "path_prefix": f"/b{number}/"}
            for number, route in enumerate(routes)
        ]
        return routes + unused


class FullPlan(SilencePlan):
    """Silences replicas in turn while the others are full; then all have room again."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        fleet.retry_budget = RETRY_BUDGETS[0]
        self._gap_s = FULL_GAP_S
        self._actions = {
            self.change_config: 2,
            self.stop_gateways: 1,
            self.reload_settings: 1,
        }

    async def run(self, lasts_s):
        """Begin planned work and silences for a time, then wait for their ends."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run(lasts_s))
            group.create_task(self._run_silences(time.monotonic() + lasts_s))

    async def _run_silences(self, end):
        while time.monotonic() < end:
            live = self._live_replicas()
            silent = self._random.sample(live, max(1, round(SILENT_SHARE * len(live))))
            self._log(f"silent: {[replica.name for replica in silent]}")
            full_until = time.time()
            for replica in live:
                until = time.time() + SILENCE_S + self._random.uniform(*FULL_AFTER_S)
                full_until = max(full_until, until)
                places = self._random.choice(FULL_PLACES)
                await self._set_faults(replica, {"full_until": until, "places": places})
            await self._silence(silent)
            room_s = self._random.uniform(*ROOM_S)
            await asyncio.sleep(full_until + room_s - time.time())
