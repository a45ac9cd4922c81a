"""Replicas that say that they leave, or for how long they want no requests."""

from collections import defaultdict

from tests.soak.fleet import DRAIN_MS
from tests.soak.plan import Plan

SHED_SHARES = (0.05, 0.4)
RETRY_AFTER_SHARE = 0.3
UNREPORTED_SHARE = 0.5
# A gateway may still send for this time after a rejection, and two requests later.
NOTICE_S = 0.5
SENDS_AFTER_NOTICE = 2


class HintPlan(Plan):
    """Replicas that leave or reject, beside planned work and faults of the store."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        fleet.gives_hints = True
        self._actions = {
            self.break_replicas: 3,
            self.drain_replica: 3,
            self.disturb_store: 1,
            self.stop_gateways: 1,
            self.change_config: 1,
            self.reload_settings: 1,
        }

    async def _set_faults(self, replica, faults, state="ready"):
        # Some replicas leave without a report to the store.
        if state == "draining" and self._random.random() < UNREPORTED_SHARE:
            state = "leaving"
        await super()._set_faults(replica, faults, state)

    def _draw_faults(self):
        shed = self._random.uniform(*SHED_SHARES)
        return {"shed": shed, "retry_after": RETRY_AFTER_SHARE}


def hint_problems(callers, entries, is_excused):
    """Return a line for each hint of a replica that a gateway did not follow.

    :param entries: lines of the replicas about arrivals and hints.
    :param is_excused: whether a gateway restarted or was frozen in a span of time.
    """
    arrivals, told = defaultdict(list), set()
    for entry in entries:
        if entry["event"] == "arrival" and entry["id"] in callers.sent:
            sent = callers.sent[entry["id"]]
            arrivals[sent.gateway, entry["replica"]].append((entry["time"], sent))
    for entry in entries:
        sent = callers.sent.get(entry["id"])
        if sent is None or entry["event"] not in ("leaving", "retry_after"):
            continue
        pair = sent.gateway, entry["replica"]
        if entry["event"] == "retry_after":
            begin, end = entry["time"] + NOTICE_S, entry["time"] + entry["seconds"]
            late = [at for at, _ in arrivals[pair] if begin < at < end]
            if len(late) > SENDS_AFTER_NOTICE and not is_excused(
                sent.gateway, entry["time"], late[-1]
            ):
                yield (
                    f"BUDGET {pair}: {len(late)} requests after a rejection at "
                    f"{entry['time']:.3f} with Retry-After: {entry['seconds']:.1f}"
                )
            continue
        seen = callers.seen.get(sent.name)
        if seen is None or seen.status != 200 or pair in told:
            continue
        told.add(pair)
        since = seen.at + DRAIN_MS / 1000
        late = [at for at, request in arrivals[pair] if request.at > since]
        if late and not is_excused(sent.gateway, seen.at, late[0]):
            yield (
                f"DRAIN {pair}: {len(late)} requests from {late[0] - seen.at:.1f} s on "
                f"after an answer with Server-Leaving at {seen.at:.3f}"
            )
