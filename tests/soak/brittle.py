"""Replicas that fall over when they have to reject requests, and a check of LIMIT."""

import asyncio
import math
from typing import NamedTuple

from tests.soak.plan import Plan

MIX = {"once": 6, "safe": 6, "stream": 2, "tail": 1}
# Callers pause for this share of the usual time, so that replicas are full.
PAUSE_SHARE = 0.3
REJECTIONS = (0, 1, 2, 2, 3, 5)
LASTS_S = (7.0, 11.0)
CALM_S = (0.5, 3.0)
# The replicas let fewer requests wait, and may fall over, from this time on.
STABILITY_S = 3.0
REAPPLY_INTERVAL_S = 0.2
ALLOWED_FALLS, ALLOWED_SHARE = 2, 0.1


class BrittleTime(NamedTuple):
    """Time in which the replicas of a service said that they bear few rejections."""

    service: str
    begin: float
    end: float
    replicas: int


class BrittlePlan(Plan):
    """Replicas are brittle by turns, beside planned work and lost gateways."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        self._actions = {
            self.stop_gateways: 2,
            self.kill_gateways: 1,
            self.pause_processes: 1,
            self.reload_settings: 1,
            self.change_config: 2,
            self.disturb_store: 1,
        }
        self._gap_s = 3.0

    async def pause_processes(self, lasts_s):
        """Pause gateways, not replicas, and wake them again."""
        paused = self._some(self._fleet.gateways, 0.3)
        for gateway in paused:
            self._note(gateway.name, lasts_s)
            gateway.pause()
        try:
            await asyncio.sleep(lasts_s)
        finally:
            for gateway in paused:
                gateway.wake()

    async def run_brittle(self, random, clock, lasts_s):
        """Have services be brittle, one time after the other.

        :param clock: returns seconds since the Unix epoch.
        """
        end = clock() + lasts_s
        while clock() < end:
            service = random.choice(("register", "register", "pool"))
            replicas = [r for r in self._live_replicas() if r.service == service]
            bears = random.choice(REJECTIONS)
            silent = random.random() < 0.2
            begin = clock()
            until = begin + random.uniform(*LASTS_S)
            self._log(f"{service} bears {bears}, told by {'one' if silent else 'all'}")
            await self._keep_brittle(replicas, bears, silent, begin, until, clock)
            for replica in replicas:
                if replica.child.running:
                    await self._set_faults(replica, {})
            self._fleet.brittle_times.append(
                BrittleTime(service, begin, clock(), len(replicas))
            )
            self._log(f"{service} is sound again")
            await asyncio.sleep(random.uniform(*CALM_S))

    async def _keep_brittle(self, replicas, bears, silent, begin, until, clock):
        """Set the fault again at replicas that have started anew."""
        applied = {}
        while clock() < until:
            for index, replica in enumerate(replicas):
                starts = len(replica.child.starts)
                started = replica.child.running and replica.child.started.is_set()
                if not started or applied.get(replica.name) == starts:
                    continue
                fault = {
                    "bears": bears,
                    "weak_at": begin + STABILITY_S,
                    "tells": not silent or index == 0,
                }
                try:
                    await self._set_faults(replica, fault)
                    applied[replica.name] = starts
                except (OSError, EOFError, TimeoutError):
                    continue
            await asyncio.sleep(REAPPLY_INTERVAL_S)


def fall_problems(entries, times, gateway_of, is_disturbed):
    """Return a line for each time in which replicas fell over too often.

    A fall counts if most of what was rejected came from undisturbed gateways.

    :param entries: lines of the replicas about falls, with the rejected requests.
    """
    for time in times:
        falls = [
            entry
            for entry in entries
            if entry["service"] == time.service
            and time.begin <= entry["time"] <= time.end
            and _is_blamed(entry, gateway_of, is_disturbed)
        ]
        allowed = math.floor(ALLOWED_FALLS + ALLOWED_SHARE * time.replicas)
        if len(falls) > allowed:
            where = ", ".join(f"{f['replica']} at {f['time']:.3f}" for f in falls)
            yield (
                f"LIMIT: replicas of {time.service} fell over {len(falls)} times, "
                f"allowed {allowed}: {where}"
            )


def _is_blamed(entry, gateway_of, is_disturbed):
    at = entry["time"]
    sound = [
        not is_disturbed({gateway_of(name)}, at - STABILITY_S, at)
        for name in entry["rejected"]
    ]
    return sum(sound) > len(sound) / 2
