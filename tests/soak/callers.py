"""Callers that keep their connections, and what they saw."""

import asyncio
import hashlib
import time
from typing import NamedTuple

from tests.soak.wire import encode, encode_in_chunks, read_message, reset

HOST_HEADER = "soak.example"
ANSWER_SLACK_S = 3.0
RECONNECT_DELAY_S = 0.05
CHUNK_BYTES_LIMIT = 8000
PROMISE_STATUSES = (408, 421, 429, 503)
# Path prefix, whether a request may run more than once, and its deadline.
KINDS = {
    "once": ("/once/", False, 1.5),
    "safe": ("/safe/", True, 1.5),
    "stream": ("/stream/", True, 5.0),
    "tail": ("/tail/", False, 5.0),
    "slow": ("/slow/", True, 7.0),
    "slow-once": ("/slow-once/", False, 7.0),
    "long": ("/long/", True, 7.0),
    "long-sized": ("/long-sized/", True, 7.0),
    "long-tail": ("/long-tail/", False, 7.0),
}
STREAMS = ("stream", "tail", "long", "long-sized", "long-tail")
# Weights of the kinds of a run.
USUAL_MIX = {"once": 6, "safe": 3, "stream": 2, "tail": 1}


class Sent(NamedTuple):
    """A request that a caller has sent.

    :param key: the caller's key.
    :param customer: the customer that holds the key.
    :param repeat: what it has in common with others that are alike.
    """

    name: str
    kind: str
    gateway: str
    key: str
    customer: str
    line: str
    body_hash: str
    at: float
    prompt: tuple | None = None
    repeat: tuple | None = None

    @property
    def cause(self):
        """What in it ends replicas, empty for nothing."""
        if self.repeat is not None:
            return self.repeat.cause
        return self.prompt.crashing if self.prompt else ""


class Seen(NamedTuple):
    """How a request ended for its caller.

    :param status: status of the answer, None if the connection ended without one.
    """

    at: float
    status: int | None = None
    fields: dict = {}
    body: bytes = b""
    complete: bool = False
    left: bool = False


class Callers:
    """Callers that send requests one after another on connections that they keep.

    :param fleet: the gateways.
    :param keys: customers by key, changed while the callers run.
    :param mix: weights of the kinds of requests.
    :param prompts: draws the prompts of streams, if they are not the usual ones.
    :param repeats: draws the requests that come again, if there are any.
    """

    def __init__(self, fleet, keys, random, prefix, mix, prompts=None, repeats=None):
        self._fleet = fleet
        self._keys = keys
        self._random = random
        self._prefix = prefix
        self._mix = mix
        self._prompts = prompts
        self._repeats = repeats
        self._count = 0
        self.sent = {}
        self.seen = {}
        self.stopping = False

    async def run(self, number, pause_s):
        """Run callers until they are stopped."""
        async with asyncio.TaskGroup() as group:
            for _ in range(number):
                group.create_task(self._run_caller(pause_s))

    async def _run_caller(self, pause_s):
        while not self.stopping:
            gateway = self._random.choice(self._fleet.gateways)
            link = self._fleet.links[gateway.name]
            host, port = link.address.split(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                # Uses the connection until the gateway ends it.
                while not self.stopping and await self._exchange(
                    gateway.name, link, reader, writer
                ):
                    await asyncio.sleep(self._random.expovariate(1 / pause_s))
            finally:
                reset(writer)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _exchange(self, gateway, link, reader, writer):
        """Send a request and record its end; return whether to go on.

        A link accepts connections that its gateway refuses. No request was made then.
        """
        request, data, deadline_s = self._new_request(gateway)
        self.sent[request.name] = request
        gives_up_s = None
        if self._random.random() < 0.05:
            gives_up_s = self._random.uniform(0.01, 0.3)
        try:
            writer.write(data)
            async with asyncio.timeout(gives_up_s or deadline_s + ANSWER_SLACK_S):
                answer = await read_message(reader)
        except TimeoutError:
            self.seen[request.name] = Seen(time.time(), left=True)
            return False
        except (EOFError, OSError):
            if writer.get_extra_info("sockname") in link.refused:
                del self.sent[request.name]
                return False
            self.seen[request.name] = Seen(time.time())
            return False
        self.seen[request.name] = Seen(
            time.time(), answer.status, answer.fields, answer.body, answer.complete
        )
        return answer.complete and not answer.closes

    def _new_request(self, gateway):
        self._count += 1
        name = f"{self._prefix}-{self._count}"
        if self._repeats is not None and (repeat := self._repeats.draw()):
            return self._repeat_request(name, gateway, repeat)
        kind = self._random.choices(tuple(self._mix), tuple(self._mix.values()))[0]
        path, _, deadline_s = KINDS[kind]
        key, customer = self._random.choice(list(self._keys.items()))
        body = self._random.randbytes(self._random.choice((0, 60, 600, 20_000)))
        fields = self._fields(name, key, deadline_s)
        prompt = None
        if kind in STREAMS:
            fields["X-Token-Usage"] = "400,60"
            fields["X-Prompt-Prefix"] = f"{self._random.randrange(9):x}:300,{name}:100"
            if self._prompts is not None:
                prompt = self._prompts.draw()
                fields["X-Prompt-Prefix"] = prompt.header(name)
        line = f"POST {path}x?n={self._count} HTTP/1.1"
        digest = hashlib.sha256(body).hexdigest()
        now = time.time()
        sent = Sent(name, kind, gateway, key, customer, line, digest, now, prompt)
        return sent, self._encode(line, fields, body), deadline_s

    def _repeat_request(self, name, gateway, repeat):
        line, customer, digest = repeat.identity
        deadline_s = KINDS[repeat.kind][2]
        key = self._random.choice([k for k, c in self._keys.items() if c == customer])
        fields = self._fields(name, key, deadline_s)
        if repeat.kind in STREAMS:
            fields["X-Token-Usage"] = "400,60"
        if repeat.prompt:
            fields["X-Prompt-Prefix"] = repeat.prompt
        at = time.time()
        kind = repeat.kind
        sent = Sent(name, kind, gateway, key, customer, line, digest, at, None, repeat)
        return sent, self._encode(line, fields, repeat.body), deadline_s

    def _fields(self, name, key, deadline_s):
        return {
            "Host": HOST_HEADER,
            "X-Attempt-Id": name,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {key}",
            "Session": f"s{self._random.randrange(20)}",
        }

    def _encode(self, line, fields, body):
        if self._repeats is not None and self._random.random() < 0.5:
            size = self._random.randint(1, CHUNK_BYTES_LIMIT)
            return encode_in_chunks(line, fields, body, size)
        return encode(line, fields, body)
