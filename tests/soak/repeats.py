"""Requests that come again alike: some end replicas, the others are lookups."""

import time
from hashlib import sha256
from typing import NamedTuple

CRASHING_KINDS = ("safe", "once", "stream", "tail")
LOOKUP_KINDS = ("safe", "once", "stream")
LOOKUPS = 4
LOOKUP_GAP_S = 0.15
# Crashing requests come from this time after the first request on, one after the other.
FIRST_CRASHING_AFTER_S = 8.0
NEXT_CRASHING_AFTER_S = 2.0
CRASHING_GAP_S = 0.6
BODY_BYTES = (0, 60, 600, 20_000)


class Repeat(NamedTuple):
    """What all requests that are alike have in common.

    :param cause: name under which it ends replicas, empty for a sound one.
    :param line: first line of the request.
    :param prompt: header with the parts of the prompt, empty for none.
    """

    cause: str
    kind: str
    line: str
    customer: str
    body: bytes
    prompt: str = ""

    @property
    def identity(self):
        """What tells it from other requests."""
        return self.line, self.customer, sha256(self.body).hexdigest()


class Repeats:
    """Draws the requests of a run that come again.

    :param number: how many of them end replicas.
    :param customers: the customers.
    :param prompts: draws their prompts.
    """

    def __init__(self, random, number, customers, prompts):
        self._random = random
        self._customers = sorted(set(customers))
        self._prompts = prompts
        kinds = random.sample(CRASHING_KINDS, len(CRASHING_KINDS))
        self.crashing = [
            self._new(f"request-{n}", kinds[n % len(kinds)]) for n in range(number)
        ]
        self._lookups = [
            self._new("", random.choice(LOOKUP_KINDS), f"lookup-{n}")
            for n in range(LOOKUPS)
        ]
        for repeat in self.crashing:
            self._lookups += self._similar(repeat)
        self._next = {}

    def _new(self, cause, kind, name=""):
        prompt = ""
        if self._random.random() < 0.5:
            name = name or cause
            prompt = self._prompts.draw_sound().header(name)
        return Repeat(
            cause,
            kind,
            f"POST /{kind}/{name or cause}?again=1 HTTP/1.1",
            self._random.choice(self._customers),
            self._random.randbytes(self._random.choice(BODY_BYTES)),
            prompt,
        )

    def _similar(self, repeat):
        """Return sound requests that differ in one respect from a crashing one."""
        others = [name for name in self._customers if name != repeat.customer]
        sound = repeat._replace(cause="")
        prompt = repeat.prompt
        if prompt:
            prompt = self._prompts.draw_sound().header(f"other {repeat.cause}")
        return (
            sound._replace(line=repeat.line.replace("?", "/other?")),
            sound._replace(customer=self._random.choice(others)),
            sound._replace(body=repeat.body + b".", prompt=prompt),
        )

    def draw(self):
        """Return a request that is due, or None."""
        now = time.monotonic()
        if not self._next:
            self._next = {
                repeat: now + FIRST_CRASHING_AFTER_S + n * NEXT_CRASHING_AFTER_S
                for n, repeat in enumerate(self.crashing)
            } | dict.fromkeys(self._lookups, now)
        for repeat, due in self._next.items():
            if due <= now:
                gap_s = LOOKUP_GAP_S * len(self._lookups)
                if repeat.cause:
                    gap_s = CRASHING_GAP_S
                self._next[repeat] = now + self._random.expovariate(1 / gap_s)
                return repeat
        return None
