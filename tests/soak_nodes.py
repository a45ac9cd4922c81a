"""Soak test: node processes are killed, stopped and replaced under load for a minute.

``make soak-nodes`` runs it. No answer, bill or operation may be lost or duplicated.
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
from lentilshore_node.clients.http_client import HttpAnswer, HttpClient
from lentilshore_node.clients.http_connection import CallBrokenError, CallNotSentError
from lentilshore_routing import hash_key

NODE_COUNT = 7
LOAD_S = 60.0
CALLER_COUNT = 12
RESTART_INTERVAL_S = 6.0
SETTLE_S = 60.0
MAX_ATTEMPTS = 40
RETRY_INTERVAL_S = 0.4
CUSTOMER_KEY = "soak"

RECORDS: dict[str, Any] = {
    "model/small": {"input_price": 1.0, "output_price": 2.0},
    "model/large": {"input_price": 9.0, "output_price": 18.0},
    "version/small@1": {"state": "active"},
    "version/large@1": {"state": "active"},
    "cascade/answers": {"models": ["small", "large"]},
    "service/register": {"operations": {"tag": {"repeatable": False}}},
    "customer/soak": {
        "key_hashes": [hash_key(CUSTOMER_KEY)],
        "models": ["small", "large"],
        "services": ["register"],
    },
}


class LoadResult(NamedTuple):
    """What the callers observed.

    :param bill_ids: identifiers of the bills of all answers.
    :param problems: failures that callers must never see.
    :param outcomes: numbers of requests and node restarts by outcome.
    """

    bill_ids: list[str]
    problems: list[str]
    outcomes: Counter[str]


class Soak:
    """Sends requests while nodes are restarted, then checks bills and operations.

    :param platform: address of the platform.
    :param nodes: processes of the nodes, by number.
    :param directory: directory of the settings files.
    """

    def __init__(
        self, platform: Address, nodes: list[Process], directory: Path
    ) -> None:
        self._platform = platform
        self._nodes = nodes
        self._directory = directory
        self._http = HttpClient()
        self._result = LoadResult([], [], Counter())
        self._request_numbers = itertools.count()
        self._restarting: set[int] = set()

    async def run(self) -> LoadResult:
        """Send requests and restart nodes, then wait until the nodes settle."""
        with anyio.move_on_after(LOAD_S):
            async with anyio.create_task_group() as group:
                group.start_soon(self._restart_nodes)
                with anyio.CancelScope(shield=True):
                    await self._run_callers()
                group.cancel_scope.cancel()
        await anyio.sleep(SETTLE_S)
        return self._result

    async def check(self) -> list[str]:
        """Return the problems that callers observed and those of the bills."""
        problems = list(self._result.problems)
        answer = await self._get_from_platform("/objects?prefix=bills%2F")
        bills: dict[tuple[str, int], str] = {}
        for item in answer.json():
            value = item["value"]
            data = zlib.decompress(base64.b64decode(value["bills"]))
            for bill in msgspec.msgpack.decode(data):
                bills[value["incarnation"], bill[0]] = bill[1]
        bill_counts = Counter(bills.values())
        accounts = (await self._get_from_platform("/objects?prefix=accounts%2F")).json()
        covered = {a["key"].partition("/")[2]: a["value"]["covered"] for a in accounts}
        for bill_id in set(self._result.bill_ids):
            owner, _, number = bill_id.rpartition("-")
            ranges = covered.get(owner, [])
            folded = any(low <= int(number) <= high for low, high in ranges)
            if bill_counts[bill_id] + folded < 1:
                problems.append(f"{bill_id} was answered but not billed")
            if bill_counts[bill_id] > 1:
                problems.append(
                    f"{bill_id} has {bill_counts[bill_id]} bills, expected one"
                )
        return problems

    async def check_runs(self, service: Address) -> list[str]:
        """Return the operations that ran more than once.

        :param service: address of the service.
        """
        answer = await self._http.request("GET", service, "/counts")
        return [f"{key} ran {n} times" for key, n in answer.json().items() if n > 1]

    async def _run_callers(self) -> None:
        with anyio.CancelScope() as scope:
            end_time = anyio.current_time() + LOAD_S
            async with anyio.create_task_group() as group:
                for number in range(CALLER_COUNT):
                    group.start_soon(self._send_requests_until, number, end_time)
            scope.cancel()

    async def _send_requests_until(self, caller: int, end_time: float) -> None:
        while anyio.current_time() < end_time:
            number = next(self._request_numbers)
            if number % 4 == 0:
                await self._send_tag(number)
            else:
                await self._send_completion(number, stream=number % 2 == 0)

    async def _send_completion(self, number: int, stream: bool) -> None:
        body = {
            "model": "answers",
            "messages": [{"role": "user", "content": f"entry {number}"}],
            "max_tokens": 24,
            "stream": stream,
        }
        for attempt in range(MAX_ATTEMPTS):
            answer = await self._send_request(
                number + attempt, "/v1/chat/completions", body, {}
            )
            if answer is None or answer.status != 200:
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            if stream and not answer.body.endswith(b"data: [DONE]\n\n"):
                if b"event: error" not in answer.body:
                    self._result.problems.append(
                        f"{number}: stream ended without an end marker or error event"
                    )
                continue
            self._result.outcomes["completed"] += 1
            self._result.bill_ids.append(answer.headers["lentilshore-bill"])
            return
        self._result.problems.append(f"completion {number} failed in every attempt")

    async def _send_tag(self, number: int) -> None:
        headers = {"idempotency-key": f"tag-{number}"}
        for attempt in range(8):
            answer = await self._send_request(
                number + attempt, "/v1/services/register/tag", {"n": number}, headers
            )
            if answer is not None and answer.status == 200:
                self._result.outcomes["tagged"] += 1
                self._result.bill_ids.append(answer.headers["lentilshore-bill"])
                return
            await anyio.sleep(RETRY_INTERVAL_S)
        self._result.outcomes["tag unknown"] += 1

    async def _send_request(
        self, number: int, path: str, body: Any, headers: dict[str, str]
    ) -> HttpAnswer | None:
        serving = [n for n in range(NODE_COUNT) if n not in self._restarting]
        address = Address("127.0.0.1", node_port(serving[number % len(serving)]))
        fields = {"authorization": f"Bearer {CUSTOMER_KEY}"} | headers
        data = msgspec.json.encode(body)
        try:
            return await self._http.request("POST", address, path, data, fields)
        except CallNotSentError:
            return None
        except CallBrokenError:
            self._result.outcomes["broken connection"] += 1
            return None

    async def _restart_nodes(self) -> None:
        for step in itertools.count():
            await anyio.sleep(RESTART_INTERVAL_S)
            number = step % NODE_COUNT
            self._restarting.add(number)
            process = self._nodes[number]
            if step % 2:
                process.kill()
                self._result.outcomes["killed"] += 1
            else:
                status = await anyio.to_thread.run_sync(process.terminate)
                self._result.outcomes[f"stopped with {status}"] += 1
                if status:
                    self._result.problems.append(
                        f"node {number} stopped with exit status {status}"
                    )
            path = node_settings(self._directory, self._platform, number, NODE_COUNT)
            self._nodes[number] = Process(node_command(path))
            await anyio.sleep(3.0)
            self._restarting.discard(number)

    async def _get_from_platform(self, path: str) -> HttpAnswer:
        return await self._http.request("GET", self._platform, path)


def main() -> int:
    """Run the soak test.

    :returns: exit status, 0 if nothing was lost or duplicated.
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
        nodes = start_nodes(stack, directory, platform, NODE_COUNT)
        soak = Soak(platform, nodes, directory)
        try:
            problems = anyio.run(_run_soak, soak, platform, engines, service)
        finally:
            for process in nodes:
                process.kill()
    for problem in problems[:20]:
        print(problem)
    print(f"soak: {len(problems)} problems")
    return 1 if problems else 0


async def _run_soak(
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
    result = await soak.run()
    print(
        ", ".join(f"{name} {count}" for name, count in sorted(result.outcomes.items()))
    )
    return await soak.check() + await soak.check_runs(service)


if __name__ == "__main__":
    sys.exit(main())
