"""Requests that end replicas: the prompts, the faults and the checks."""

import asyncio
import time
from collections import Counter, defaultdict
from typing import NamedTuple

from tests.soak.fleet import AFTERMATH_S
from tests.soak.plan import Plan

PARTS_MIX = {"once": 1, "safe": 1, "stream": 6, "tail": 2, "long": 2}
REQUESTS_MIX = {"once": 3, "safe": 4, "stream": 3, "tail": 1, "long": 1}
SECOND_PARTS = 60
HOT_SHARE = 0.2
# Crashing parts come from this time after the first request on, one after the other.
FIRST_PART_AFTER_S = 8.0
NEXT_PART_AFTER_S = 4.0
PART_GAP_S = 0.6
KNOWN_CRASHES_OF_PART = 5
KNOWN_CRASHES_OF_REQUEST = 3
SENDS_AFTER_KNOWN = 3
# Replicas that may end under what is one request for its caller.
ENDED_BY_ONE = 2
RECOVERY_S = 2 * AFTERMATH_S
COMPARED_REQUESTS = 20
KEPT_SHARE = 0.5
BLAMED = (b"prompt_part_blamed", b"request_blamed")
CONFIG_APPLY_S = 2.0
LONGEST_REQUEST_S = 7.0


class Prompt(NamedTuple):
    """Parts of a prompt.

    :param crashing: the part that ends replicas, empty for none.
    """

    first: str
    second: str
    crashing: str = ""

    def header(self, name):
        """Return the prompt's header, with a last part of its own."""
        return f"{self.first}:300,{self.second}:200,{name.encode().hex()}:100"


class Prompts:
    """Draws the prompts of a run.

    :param crashing: parts that end replicas; each is a first or a second part.
    """

    def __init__(self, random, crashing):
        self._random = random
        self._firsts = [f"f{n:x}" for n in range(random.randint(3, 8))]
        self._seconds = [f"5ec{n:x}" for n in range(SECOND_PARTS)]
        self._crashing = crashing
        self._next = {}
        self._is_first = {part: random.random() < 0.3 for part in crashing}

    def draw_sound(self):
        """Return a prompt that ends no replicas."""
        first = self._random.choice(self._firsts)
        second = self._seconds[0]
        if self._random.random() > HOT_SHARE:
            second = self._random.choice(self._seconds)
        return Prompt(first, second)

    def draw(self):
        """Return the next prompt."""
        sound = self.draw_sound()
        now = time.monotonic()
        if not self._next:
            self._next = {
                part: now + FIRST_PART_AFTER_S + n * NEXT_PART_AFTER_S
                for n, part in enumerate(self._crashing)
            }
        for part, due in self._next.items():
            if due <= now:
                self._next[part] = now + self._random.expovariate(1 / PART_GAP_S)
                if self._is_first[part]:
                    return sound._replace(first=part, crashing=part)
                return sound._replace(second=part, crashing=part)
        return sound


class CrashPlan(Plan):
    """Planned work beside requests that crash, or else replicas killed at random."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        self._has_lasting_routes = True
        self._rolled = 0
        self._actions = {self.change_config: 2, self.reload_settings: 1}
        self._gap_s = 2.0
        if fleet.crashing_requests:
            self._actions[self.roll_key] = 2
        elif not fleet.crashing_parts:
            self._actions = {self.kill_replica: 1}

    async def roll_key(self, lasts_s):
        """Give a customer another key, and take the old one away when it is unused."""
        key = self._random.choice(list(self._keys))
        self._rolled += 1
        rolled = f"rolled-{self._rolled}"
        self._valid[rolled] = self._keys[key]
        await self.write_config()
        await asyncio.sleep(CONFIG_APPLY_S)
        if key not in self._keys:
            return
        self._keys[rolled] = self._keys.pop(key)
        await asyncio.sleep(LONGEST_REQUEST_S)
        del self._valid[key]
        await self.write_config()


class CrashCheck:
    """Checks of what gateways did about requests that end replicas.

    :param callers: what callers sent and saw.
    :param entries: lines of the replicas about arrivals and crashes.
    :param in_touch: whether a gateway was in touch at a time.
    """

    def __init__(self, callers, entries, in_touch):
        self._callers = callers
        self._in_touch = in_touch
        self._arrivals = [e for e in entries if e["event"] == "arrival"]
        self._crashes = [e for e in entries if e["event"] == "crash"]
        self._times = defaultdict(list)
        # Crashes after which a cause must be known.
        self._enough = {}
        for entry in self._crashes:
            cause = entry["cause"]
            self._times[cause].append(entry["time"])
            self._enough[cause] = KNOWN_CRASHES_OF_PART
            if entry["whole"]:
                self._enough[cause] = KNOWN_CRASHES_OF_REQUEST

    def problems(self):
        """Return a line for each broken promise."""
        for cause, times in self._times.items():
            if len(times) >= self._enough[cause]:
                yield from self._check_sends(cause, times)
        ended = Counter(crash["id"] for crash in self._crashes)
        for name, number in ended.items():
            if number > ENDED_BY_ONE:
                yield f"BUDGET {name}: {number} replicas ended under one request"
        if self._crashes:
            yield from self._check_sound_requests()

    def _check_sends(self, cause, times):
        enough = self._enough[cause]
        known_at = times[enough - 1] + AFTERMATH_S
        sends = [
            f"{entry['id']} to {entry['replica']} by {sent.gateway}"
            for entry in self._arrivals
            if (sent := self._callers.sent.get(entry["id"]))
            and sent.cause == cause
            and entry["time"] > known_at
            and self._in_touch(sent.gateway, entry["time"])
        ]
        if len(sends) > SENDS_AFTER_KNOWN:
            yield (
                f"BUDGET {cause}: {len(times)} replicas ended, sent {len(sends)} times "
                f"from {AFTERMATH_S:.0f} s after crash {enough} on: "
                + ", ".join(sends[:SENDS_AFTER_KNOWN])
            )

    def _check_sound_requests(self):
        """Compare how often answers begin before the first crash and once it is known.

        With several causes, all of them must be known.
        """
        known_at = max(
            times[: self._enough[cause]][-1] for cause, times in self._times.items()
        )
        first_at = min(times[0] for times in self._times.values())
        last_at = max(s.at for s in self._callers.sent.values() if s.cause)
        before, after = Counter(), Counter()
        for name, seen in self._callers.seen.items():
            sent = self._callers.sent[name]
            if sent.cause or seen.left:
                continue
            groups = [(sent.kind, sent.customer)]
            if sent.prompt is not None:
                groups.append((sent.kind, sent.prompt.first))
            if sent.repeat is not None:
                groups.append((sent.kind, "its like"))
            if seen.at < first_at:
                counted = before
            elif known_at + RECOVERY_S < sent.at < last_at:
                counted = after
            else:
                continue
            if self._in_touch(sent.gateway, sent.at):
                counted.update((group, seen.status == 200) for group in groups)
        for group in sorted({group for group, _ in before}):
            was, now = _begun_share(before, group), _begun_share(after, group)
            if was is not None and now is not None and now < KEPT_SHARE * was:
                kind, shared = group
                yield (
                    f"LOST {kind} with {shared}: {now:.2f} of the sound requests "
                    f"begin while crashing ones come, {was:.2f} before"
                )


def _begun_share(counted, group):
    begun, failed = counted[group, True], counted[group, False]
    if begun + failed < COMPARED_REQUESTS:
        return None
    return begun / (begun + failed)
