"""Demonstration: one node with stand-ins, one request through every path."""

from __future__ import annotations

import random
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import capnp
import msgspec

from lentilshore_ctl import OperatorClient, connect
from lentilshore_kernel import Settings, SystemClock, load_plugins, start_logging
from lentilshore_kernel.types import Address
from lentilshore_node.http_client import HttpAnswer, HttpClient
from lentilshore_node.server import Node, running_node
from lentilshore_routing import hash_key

from .asgi import create_application, serving
from .engine import EngineOptions, EngineStandIn
from .platform import PlatformStandIn
from .service import ServiceStandIn

READY_TIMEOUT_S = 20.0
SEED = 7
CALLER_KEY = "demonstration-key"
EASY = "Is the tide table for Thursday posted?"
SKILLS = {"small@1": 0.5, "large@1": 0.97, "large@2": 0.97}

RECORDS: dict[str, Any] = {
    "model/small": {"input_price": 1.0, "output_price": 2.0},
    "model/large": {
        "input_price": 10.0,
        "output_price": 20.0,
        "default": "large@1",
    },
    "version/small@1": {"state": "active"},
    "version/large@1": {"state": "active"},
    "version/large@2": {"state": "active"},
    "cascade/answers": {"models": ["small", "large"]},
    "service/register": {"operations": {"tag": {"repeatable": False, "price": 5.0}}},
    "customer/archive": {
        "key_hashes": [hash_key(CALLER_KEY)],
        "models": ["small", "large"],
        "services": ["register"],
    },
}


class Step(NamedTuple):
    """One step of the demonstration.

    :param name: what is shown.
    :param expected: what must come of it.
    :param found: what came of it.
    :param served_by: version and upstream that answered.
    :param cost: price in micro-units of money.
    """

    name: str
    expected: str
    found: str
    served_by: str
    cost: str

    @property
    def passed(self) -> bool:
        """Whether it went as it should."""
        return self.expected == self.found


class DemoCaller:
    """Sends requests to the node over real sockets.

    :param address: the node's caller listener.
    :param operator: finds out what each request cost.
    """

    def __init__(self, address: Address, operator: OperatorClient) -> None:
        self._address = address
        self._operator = operator
        self._http = HttpClient()

    async def complete(self, prompt: str, **headers: str) -> HttpAnswer:
        """Ask for a completion."""
        return await self.post(
            "/v1/chat/completions", _completion("answers", prompt), **headers
        )

    async def post(self, path: str, body: Any, **headers: str) -> HttpAnswer:
        """Send a request."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.send(path, body, fields)

    async def send(
        self, path: str, body: Any, headers: Mapping[str, str]
    ) -> HttpAnswer:
        """Send a request with headers as they are, the key aside."""
        fields = {"authorization": f"Bearer {CALLER_KEY}"} | dict(headers)
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self._http.request("POST", self._address, path, data, fields)

    async def get(self, path: str, headers: Mapping[str, str]) -> HttpAnswer:
        """Read a path."""
        return await self._http.request("GET", self._address, path, None, headers)

    async def explain(self, answer: HttpAnswer) -> Any:
        """Return how a request was served, None for one that got no identifier."""
        request = answer.headers.get("lentilshore-request")
        return await self._operator.explain(request) if request else None

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()


Shown = Callable[[DemoCaller, OperatorClient], Awaitable[Step]]


async def show_cheap_answer(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A request that the cheap model answers well enough."""
    answer = await caller.complete(EASY, lentilshore_quality_target="0.3")
    found = f"{answer.status} {answer.headers.get('lentilshore-model')}"
    return await _step("cheap answer", "200 small", found, answer, caller)


async def show_escalation(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A request whose cheap answer is not confident enough."""
    for number in range(40):
        prompt = f"Reconcile the hull record of wreck {number} with both registers."
        answer = await caller.complete(prompt, lentilshore_quality_target="0.6")
        record = await caller.explain(answer)
        if [name.strip() for name in _models(record)] == ["small", "large"]:
            break
    found = f"{answer.status} {'then '.join(_models(record))}"
    expected = "200 small then large"
    return await _step("cascade escalates", expected, found, answer, caller)


async def show_streamed_answer(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A streamed answer that ends with the mark of a whole one."""
    body = _completion("large", EASY) | {"stream": True}
    answer = await caller.post("/v1/chat/completions", body)
    whole = answer.body.endswith(b"data: [DONE]\n\n")
    found = f"{answer.status} {'whole' if whole else 'cut'}"
    return await _step("streamed answer", "200 whole", found, answer, caller)


async def show_pinned_session(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A session that keeps its version after the default has changed."""
    first = await caller.post("/v1/chat/completions", _completion("large", EASY))
    session = first.headers["lentilshore-session"]
    await _change(operator, "model/large", {"default": "large@2"})
    second = await caller.post(
        "/v1/chat/completions", _completion("large", EASY), lentilshore_session=session
    )
    other = await caller.post("/v1/chat/completions", _completion("large", EASY))
    versions = [a.headers.get("lentilshore-version") for a in (first, second, other)]
    found = f"kept {versions[1]}, new sessions {versions[2]}"
    expected = f"kept {versions[0]}, new sessions 2"
    return await _step("pinned session", expected, found, second, caller)


async def show_single_run(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A call that may not be repeated, sent twice with one key."""
    key = {"idempotency_key": "tag-417"}
    path = "/v1/services/register/tag"
    first = await caller.post(path, {"entry": 417}, **key)
    second = await caller.post(path, {"entry": 417}, **key)
    same = "same answer" if first.body == second.body else "another answer"
    found = f"{first.status} {second.status} {same}"
    return await _step("call run once", "200 200 same answer", found, first, caller)


async def show_refusal(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A request with a key that is not known."""
    answer = await caller.complete(EASY, authorization="Bearer wrong")
    return await _step(
        "refusal", "401 unauthenticated not_run", _refusal(answer), answer, caller
    )


async def show_withdrawal(caller: DemoCaller, operator: OperatorClient) -> Step:
    """A session whose version is withdrawn."""
    first = await caller.post("/v1/chat/completions", _completion("large", EASY))
    session = first.headers["lentilshore-session"]
    version = f"large@{first.headers['lentilshore-version']}"
    await _change(operator, f"version/{version}", {"state": "withdrawn"})
    answer = await caller.post(
        "/v1/chat/completions", _completion("large", EASY), lentilshore_session=session
    )
    return await _step(
        "withdrawn version",
        "410 version_withdrawn not_run",
        _refusal(answer),
        answer,
        caller,
    )


STEPS: tuple[Shown, ...] = (
    show_cheap_answer,
    show_escalation,
    show_streamed_answer,
    show_pinned_session,
    show_single_run,
    show_refusal,
    show_withdrawal,
)


def run_demo(verbose: bool = False) -> int:
    """Run the demonstration and print what happened.

    :param verbose: whether to print the node's log as well.
    :returns: exit status, 0 if every step went as it should.
    """
    stop_logging = start_logging(sys.stderr) if verbose else None
    try:
        steps = anyio.run(_run)
    finally:
        if stop_logging:
            stop_logging()
    _print_steps(steps)
    return 0 if all(step.passed for step in steps) else 1


async def _run() -> list[Step]:
    async with (
        capnp.kj_loop(),
        running_demo_node() as node,
        connect(node.addresses.operator) as operator,
    ):
        revision = (await operator.read()).revision
        await operator.change("demonstration", revision, RECORDS)
        caller = DemoCaller(node.addresses.caller, operator)
        await wait_until_ready(node)
        steps = [await show(caller, operator) for show in STEPS]
        await caller.close()
        return steps


@asynccontextmanager
async def running_demo_node() -> AsyncIterator[Node]:
    """Run one node and every stand-in in this process."""
    async with running_demo_node_with_standins() as (node, _, _):
        yield node


@asynccontextmanager
async def running_demo_node_with_standins() -> AsyncIterator[
    tuple[Node, EngineStandIn, ServiceStandIn]
]:
    """Run one node; give out the stand-ins as well, to plan faults."""
    clock = SystemClock()
    platform = PlatformStandIn(clock)

    async def rate(request: str, good: bool) -> None:
        platform.add_rating(request, good)

    engine = EngineStandIn(clock, EngineOptions(SKILLS), rate)
    service = ServiceStandIn(clock)
    async with (
        serving(create_application(platform.handle)) as platform_address,
        serving(create_application(engine.handle)) as engine_address,
        serving(create_application(service.handle)) as service_address,
    ):
        platform.set_instances(
            [
                _instance("engine-1", "engine", engine_address, list(SKILLS)),
                _instance("service-1", "service", service_address, ["register"]),
            ]
        )
        with tempfile.TemporaryDirectory() as directory:
            key = Path(directory, "session.key")
            key.write_text("demonstration session key")
            settings = _settings(platform_address, key)
            async with running_node(
                settings, load_plugins(), clock, random.Random(SEED)
            ) as node:
                yield node, engine, service


def _settings(platform: Address, key: Path) -> Settings:
    listener = {"host": "127.0.0.1", "port": 0}
    return Settings.model_validate(
        {
            "instance": "node-1",
            "data_centre": "brest-1",
            "caller": listener,
            "operator": listener,
            "peer": listener,
            "platform": {"host": platform.host, "port": platform.port},
            "session_keys": [{"id": "k1", "file": str(key)}],
            "drain_notice_s": 0.0,
        }
    )


def _instance(name: str, role: str, address: Address, groups: list[str]) -> Any:
    return {
        "name": name,
        "role": role,
        "data_centre": "brest-1",
        "host": address.host,
        "port": address.port,
        "groups": groups,
        "state": "live",
    }


async def wait_until_ready(node: Node) -> None:
    """Wait until a node serves."""
    with anyio.fail_after(READY_TIMEOUT_S):
        while not (node.context.ready and node.context.placement.groups):
            await anyio.sleep(0.02)


async def _change(operator: OperatorClient, key: str, fields: Any) -> None:
    found = await operator.read()
    record = found.records.get(key, {}) | fields
    await operator.change(f"set-{key}", found.revision, {key: record})


async def _step(
    name: str, expected: str, found: str, answer: HttpAnswer, caller: DemoCaller
) -> Step:
    record = await caller.explain(answer)
    served_by = record["served_by"] or record["asked"] if record else "-"
    cost = f"{record['cost']:.0f}" if record else "0"
    return Step(name, expected, found, served_by, cost)


def _models(record: Any) -> list[str]:
    if not record:
        return []
    names = [a["version"].partition("@")[0] for a in record["attempts"]]
    return [f"{name} " for name in names[:-1]] + names[-1:]


def _refusal(answer: HttpAnswer) -> str:
    error = answer.json().get("error", {})
    return f"{answer.status} {error.get('type')} {error.get('execution')}"


def _completion(model: str, prompt: str) -> dict[str, Any]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": model, "messages": messages, "max_tokens": 24}


def _print_steps(steps: list[Step]) -> None:
    print(f"{'step':<20}{'outcome':<34}{'served by':<24}{'cost':>6}  result")
    for step in steps:
        result = "ok" if step.passed else f"FAILED, expected {step.expected}"
        print(
            f"{step.name:<20}{step.found:<34}{step.served_by:<24}"
            f"{step.cost:>6}  {result}"
        )
