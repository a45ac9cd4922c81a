"""Real processes, killed, stopped and replaced under load for a minute.

Run by hand with ``make soak``; nothing may be lost or doubled.
"""

from __future__ import annotations

import base64
import itertools
import sys
import tempfile
import zlib
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import capnp
import msgspec
from bench.fleet import node_port, node_settings, start_nodes
from bench.processes import Process, instance_entry, node_command, start_standin

from lentilshore_ctl import connect
from lentilshore_kernel.types import Address
from lentilshore_node.http_client import (
    CallBrokenError,
    CallNotSentError,
    HttpAnswer,
    HttpClient,
)
from lentilshore_routing import hash_key

NODES = 7
SECONDS = 60.0
CALLERS = 12
DISTURB_S = 6.0
SETTLE_S = 60.0
TRIES = 40
TRY_AGAIN_S = 0.4
KEY = "soak"

RECORDS: dict[str, Any] = {
    "model/small": {"input_price": 1.0, "output_price": 2.0},
    "model/large": {"input_price": 9.0, "output_price": 18.0},
    "version/small@1": {"state": "active"},
    "version/large@1": {"state": "active"},
    "cascade/answers": {"models": ["small", "large"]},
    "service/register": {"operations": {"tag": {"repeatable": False}}},
    "customer/soak": {
        "key_hashes": [hash_key(KEY)],
        "models": ["small", "large"],
        "services": ["register"],
    },
}


class Seen(NamedTuple):
    """What the callers saw."""

    bills: list[str]
    problems: list[str]
    outcomes: Counter[str]


class Soak:
    """Load, disturbance and the check after them.

    :param platform: address of the platform.
    :param nodes: processes of the nodes, by number.
    :param directory: where settings are.
    """

    def __init__(
        self, platform: Address, nodes: list[Process], directory: Path
    ) -> None:
        self._platform = platform
        self._nodes = nodes
        self._directory = directory
        self._http = HttpClient()
        self._seen = Seen([], [], Counter())
        self._numbers = itertools.count()
        self._down: set[int] = set()

    async def run(self) -> Seen:
        """Load and disturb the nodes, then let them settle."""
        with anyio.move_on_after(SECONDS):
            async with anyio.create_task_group() as group:
                group.start_soon(self._disturb)
                with anyio.CancelScope(shield=True):
                    await self._load()
                group.cancel_scope.cancel()
        await anyio.sleep(SETTLE_S)
        return self._seen

    async def check(self) -> list[str]:
        """Return every problem found."""
        problems = list(self._seen.problems)
        answer = await self._get("/objects?prefix=bills%2F")
        bills: dict[tuple[str, int], str] = {}
        for item in answer.json():
            value = item["value"]
            data = zlib.decompress(base64.b64decode(value["bills"]))
            for bill in msgspec.msgpack.decode(data):
                bills[value["incarnation"], bill[0]] = bill[1]
        counted = Counter(bills.values())
        accounts = (await self._get("/objects?prefix=accounts%2F")).json()
        covered = {a["key"].partition("/")[2]: a["value"]["covered"] for a in accounts}
        for reference in set(self._seen.bills):
            owner, _, number = reference.rpartition("-")
            ranges = covered.get(owner, [])
            folded = any(low <= int(number) <= high for low, high in ranges)
            if counted[reference] + folded < 1:
                problems.append(f"{reference} was answered and not billed")
            if counted[reference] > 1:
                problems.append(f"{reference} has {counted[reference]} bills")
        return problems

    async def check_runs(self, service: Address) -> list[str]:
        """Return tags that ran more than once."""
        answer = await self._http.request("GET", service, "/counts")
        return [f"{key} ran {n} times" for key, n in answer.json().items() if n > 1]

    async def _load(self) -> None:
        with anyio.CancelScope() as scope:
            until = anyio.current_time() + SECONDS
            async with anyio.create_task_group() as group:
                for number in range(CALLERS):
                    group.start_soon(self._call_until, number, until)
            scope.cancel()

    async def _call_until(self, caller: int, until: float) -> None:
        while anyio.current_time() < until:
            number = next(self._numbers)
            if number % 4 == 0:
                await self._tag(number)
            else:
                await self._complete(number, stream=number % 2 == 0)

    async def _complete(self, number: int, stream: bool) -> None:
        body = {
            "model": "answers",
            "messages": [{"role": "user", "content": f"entry {number}"}],
            "max_tokens": 24,
            "stream": stream,
        }
        for attempt in range(TRIES):
            answer = await self._send(
                number + attempt, "/v1/chat/completions", body, {}
            )
            if answer is None or answer.status != 200:
                await anyio.sleep(TRY_AGAIN_S)
                continue
            if stream and not answer.body.endswith(b"data: [DONE]\n\n"):
                if b"event: error" not in answer.body:
                    self._seen.problems.append(f"{number}: cut without a mark")
                continue
            self._seen.outcomes["completed"] += 1
            self._seen.bills.append(answer.headers["lentilshore-bill"])
            return
        self._seen.problems.append(f"completion {number} was never served")

    async def _tag(self, number: int) -> None:
        headers = {"idempotency-key": f"tag-{number}"}
        for attempt in range(8):
            answer = await self._send(
                number + attempt, "/v1/services/register/tag", {"n": number}, headers
            )
            if answer is not None and answer.status == 200:
                self._seen.outcomes["tagged"] += 1
                self._seen.bills.append(answer.headers["lentilshore-bill"])
                return
            await anyio.sleep(TRY_AGAIN_S)
        self._seen.outcomes["tag unknown"] += 1

    async def _send(
        self, number: int, path: str, body: Any, headers: dict[str, str]
    ) -> HttpAnswer | None:
        up = [n for n in range(NODES) if n not in self._down]
        address = Address("127.0.0.1", node_port(up[number % len(up)]))
        fields = {"authorization": f"Bearer {KEY}"} | headers
        data = msgspec.json.encode(body)
        try:
            return await self._http.request("POST", address, path, data, fields)
        except CallNotSentError:
            return None
        except CallBrokenError:
            self._seen.outcomes["broken connection"] += 1
            return None

    async def _disturb(self) -> None:
        for step in itertools.count():
            await anyio.sleep(DISTURB_S)
            number = step % NODES
            self._down.add(number)
            process = self._nodes[number]
            if step % 2:
                process.kill()
                self._seen.outcomes["killed"] += 1
            else:
                status = await anyio.to_thread.run_sync(process.terminate)
                self._seen.outcomes[f"stopped with {status}"] += 1
                if status:
                    self._seen.problems.append(f"node {number} stopped with {status}")
            path = node_settings(self._directory, self._platform, number, NODES)
            self._nodes[number] = Process(node_command(path))
            await anyio.sleep(3.0)
            self._down.discard(number)

    async def _get(self, path: str) -> HttpAnswer:
        return await self._http.request("GET", self._platform, path)


def main() -> int:
    """Run the soak.

    :returns: exit status, 0 if nothing was lost or doubled.
    """
    with ExitStack() as stack:
        platform = start_standin(stack, "platform")
        versions = ("--version", "small@1=0.6", "--version", "large@1=0.97")
        engines = [
            start_standin(stack, "engine", *versions, "--platform", str(platform))
            for _ in range(2)
        ]
        service = start_standin(stack, "service")
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        nodes = start_nodes(stack, directory, platform, NODES)
        soak = Soak(platform, nodes, directory)
        try:
            problems = anyio.run(_run, soak, platform, engines, service)
        finally:
            for process in nodes:
                process.kill()
    for problem in problems[:20]:
        print(problem)
    print(f"soak: {len(problems)} problems")
    return 1 if problems else 0


async def _run(
    soak: Soak, platform: Address, engines: list[Address], service: Address
) -> list[str]:
    groups = ["small@1", "large@1"]
    listed = [
        instance_entry(f"e{n}", "engine", address, groups)
        for n, address in enumerate(engines)
    ]
    listed.append(instance_entry("s0", "service", service, ["register"]))
    http = HttpClient()
    await http.request("POST", platform, "/instances", msgspec.json.encode(listed))
    async with capnp.kj_loop():
        address = Address("127.0.0.1", node_port(0) + 1)
        async with connect(address) as operator:
            await operator.change("soak", 0, RECORDS)
    await anyio.sleep(4.0)
    seen = await soak.run()
    print(", ".join(f"{name} {count}" for name, count in sorted(seen.outcomes.items())))
    return await soak.check() + await soak.check_runs(service)


if __name__ == "__main__":
    sys.exit(main())
