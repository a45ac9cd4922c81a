"""Parts of prompts that end replicas: the prompts, the faults and the checks."""

import time
from collections import Counter, defaultdict
from typing import NamedTuple

from tests.soak.callers import STREAMS
from tests.soak.fleet import AFTERMATH_S
from tests.soak.plan import Plan

MIX = {"once": 1, "safe": 1, "stream": 6, "tail": 2, "long": 2}
SECOND_PARTS = 60
HOT_SHARE = 0.2
# Crashing parts come from this time after the first request on, one after the other.
FIRST_PART_AFTER_S = 8.0
NEXT_PART_AFTER_S = 4.0
PART_GAP_S = 0.6
KNOWN_CRASHES = 5
SENDS_AFTER_KNOWN = 3
RECOVERY_S = 2 * AFTERMATH_S
COMPARED_REQUESTS = 20
KEPT_SHARE = 0.5
BLAMED = b"prompt_part_blamed"


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

    def draw(self):
        """Return the next prompt."""
        first = self._random.choice(self._firsts)
        second = self._seconds[0]
        if self._random.random() > HOT_SHARE:
            second = self._random.choice(self._seconds)
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
                    return Prompt(part, second, part)
                return Prompt(first, part, part)
        return Prompt(first, second)


class CrashPlan(Plan):
    """Planned work beside crashing parts, or else replicas killed at random."""

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        self._has_lasting_routes = True
        self._actions = {self.change_config: 2, self.reload_settings: 1}
        self._gap_s = 2.0
        if not fleet.crashing_parts:
            self._actions = {self.kill_replica: 1}


class CrashCheck:
    """Checks of what gateways did about crashing parts.

    :param callers: what callers sent and saw.
    :param entries: lines of the replicas about arrivals and crashes.
    :param in_touch: whether a gateway was in touch at a time.
    """

    def __init__(self, callers, entries, in_touch):
        self._callers = callers
        self._in_touch = in_touch
        self._arrivals = [e for e in entries if e["event"] == "arrival"]
        self._crashes = defaultdict(list)
        for entry in entries:
            if entry["event"] == "crash":
                self._crashes[entry["part"]].append(entry["time"])

    def problems(self):
        """Return a line for each broken promise."""
        for part, times in self._crashes.items():
            if len(times) >= KNOWN_CRASHES:
                yield from self._check_sends(part, times)
        if self._crashes:
            yield from self._check_sound_requests()

    def _check_sends(self, part, times):
        known_at = times[KNOWN_CRASHES - 1] + AFTERMATH_S
        sends = [
            f"{entry['id']} to {entry['replica']} by {sent.gateway}"
            for entry in self._arrivals
            if (sent := self._callers.sent.get(entry["id"]))
            and sent.prompt
            and sent.prompt.crashing == part
            and entry["time"] > known_at
            and self._in_touch(sent.gateway, entry["time"])
        ]
        if len(sends) > SENDS_AFTER_KNOWN:
            yield (
                f"BUDGET part {part}: {len(times)} replicas ended, sent {len(sends)} "
                f"times from {AFTERMATH_S:.0f} s after the fifth on: "
                + ", ".join(sends[:SENDS_AFTER_KNOWN])
            )

    def _check_sound_requests(self):
        """Compare how often streams begin before the first crash and after the fifth.

        With several crashing parts, all of them must be known.
        """
        known_at = max(t[:KNOWN_CRASHES][-1] for t in self._crashes.values())
        first_at = min(t[0] for t in self._crashes.values())
        last_at = max(
            s.at for s in self._callers.sent.values() if s.prompt and s.prompt.crashing
        )
        before, after = Counter(), Counter()
        for name, seen in self._callers.seen.items():
            sent = self._callers.sent[name]
            if sent.kind not in STREAMS or sent.prompt.crashing or seen.left:
                continue
            groups = ((sent.kind, sent.key), (sent.kind, sent.prompt.first))
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
