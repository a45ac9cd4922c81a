"""Demonstration: sends a request along each path of a node that uses stand-ins."""

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
from lentilshore_node.clients.http_client import HttpAnswer, HttpClient
from lentilshore_node.programs.server import Node, running_node
from lentilshore_routing import hash_key

from .asgi import create_application, serving
from .engine import EngineOptions, EngineStandIn
from .platform import PlatformStandIn
from .service import ServiceStandIn

READY_TIMEOUT_S = 20.0
SEED = 7
CALLER_KEY = "demonstration-key"
EASY_PROMPT = "Is the tide table for Thursday posted?"
SKILL_BY_VERSION = {"small@1": 0.5, "large@1": 0.97, "large@2": 0.97}

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

    :param name: what the step shows.
    :param expected: outcome that the step must have.
    :param outcome: outcome that the step had.
    :param served_by: version and upstream that answered; the requested model or
        service if none did, ``-`` for a request without an identifier.
    :param cost: price of the request in micro-units of currency.
    """

    name: str
    expected: str
    outcome: str
    served_by: str
    cost: str

    @property
    def passed(self) -> bool:
        """Whether the outcome is the expected one."""
        return self.expected == self.outcome


class DemoCaller:
    """Sends requests to the node over real sockets.

    :param address: the node's caller listener.
    :param operator: operator connection, to look up how requests were served.
    """

    def __init__(self, address: Address, operator: OperatorClient) -> None:
        self._address = address
        self._operator = operator
        self._http = HttpClient()

    async def complete(self, prompt: str, **headers: str) -> HttpAnswer:
        """Request a completion from the cascade ``answers``."""
        return await self.post(
            "/v1/chat/completions", _completion_body("answers", prompt), **headers
        )

    async def post(self, path: str, body: Any, **headers: str) -> HttpAnswer:
        """Send a POST request.

        :param headers: headers, with underscores in place of hyphens in their names.
        """
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.send(path, body, fields)

    async def send(
        self, path: str, body: Any, headers: Mapping[str, str]
    ) -> HttpAnswer:
        """Send a POST request with the given headers.

        The API key is added unless the headers have an authorization.
        """
        fields = {"authorization": f"Bearer {CALLER_KEY}"} | dict(headers)
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self._http.request("POST", self._address, path, data, fields)

    async def get(self, path: str, headers: Mapping[str, str]) -> HttpAnswer:
        """Send a GET request, without the API key."""
        return await self._http.request("GET", self._address, path, None, headers)

    async def explain(self, answer: HttpAnswer) -> Any:
        """Return the explanation of a request, or None if it has no identifier."""
        request = answer.headers.get("lentilshore-request")
        return await self._operator.explain(request) if request else None

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()


StepFunction = Callable[[DemoCaller, OperatorClient], Awaitable[Step]]


async def show_cheap_answer(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Send a request that the cheap model answers with enough confidence."""
    answer = await caller.complete(EASY_PROMPT, lentilshore_quality_target="0.3")
    outcome = f"{answer.status} {answer.headers.get('lentilshore-model')}"
    return await _create_step("cheap answer", "200 small", outcome, answer, caller)


async def show_escalation(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Send up to 40 requests, until the cascade escalates one to the large model."""
    for number in range(40):
        prompt = f"Reconcile the hull record of wreck {number} with both registers."
        answer = await caller.complete(prompt, lentilshore_quality_target="0.6")
        record = await caller.explain(answer)
        if [name.strip() for name in _attempted_models(record)] == ["small", "large"]:
            break
    outcome = f"{answer.status} {'then '.join(_attempted_models(record))}"
    expected = "200 small then large"
    return await _create_step("cascade escalates", expected, outcome, answer, caller)


async def show_streamed_answer(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Request a streamed answer and check that it ends with the final event."""
    body = _completion_body("large", EASY_PROMPT) | {"stream": True}
    answer = await caller.post("/v1/chat/completions", body)
    complete = answer.body.endswith(b"data: [DONE]\n\n")
    outcome = f"{answer.status} {'whole' if complete else 'cut'}"
    return await _create_step("streamed answer", "200 whole", outcome, answer, caller)


async def show_pinned_session(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Change the default version: an open session keeps its version."""
    first = await caller.post(
        "/v1/chat/completions", _completion_body("large", EASY_PROMPT)
    )
    session = first.headers["lentilshore-session"]
    await _update_record(operator, "model/large", {"default": "large@2"})
    second = await caller.post(
        "/v1/chat/completions",
        _completion_body("large", EASY_PROMPT),
        lentilshore_session=session,
    )
    other = await caller.post(
        "/v1/chat/completions", _completion_body("large", EASY_PROMPT)
    )
    versions = [a.headers.get("lentilshore-version") for a in (first, second, other)]
    outcome = f"kept {versions[1]}, new sessions {versions[2]}"
    expected = f"kept {versions[0]}, new sessions 2"
    return await _create_step("pinned session", expected, outcome, second, caller)


async def show_single_run(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Send a call that must not run twice, twice with one idempotency key."""
    headers = {"idempotency_key": "tag-417"}
    path = "/v1/services/register/tag"
    first = await caller.post(path, {"entry": 417}, **headers)
    second = await caller.post(path, {"entry": 417}, **headers)
    same = "same answer" if first.body == second.body else "another answer"
    outcome = f"{first.status} {second.status} {same}"
    return await _create_step(
        "call run once", "200 200 same answer", outcome, first, caller
    )


async def show_refusal(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Send a request with an unknown API key."""
    answer = await caller.complete(EASY_PROMPT, authorization="Bearer wrong")
    return await _create_step(
        "refusal",
        "401 unauthenticated not_run",
        _describe_refusal(answer),
        answer,
        caller,
    )


async def show_withdrawal(caller: DemoCaller, operator: OperatorClient) -> Step:
    """Withdraw the version of a session and send a request in that session."""
    first = await caller.post(
        "/v1/chat/completions", _completion_body("large", EASY_PROMPT)
    )
    session = first.headers["lentilshore-session"]
    version = f"large@{first.headers['lentilshore-version']}"
    await _update_record(operator, f"version/{version}", {"state": "withdrawn"})
    answer = await caller.post(
        "/v1/chat/completions",
        _completion_body("large", EASY_PROMPT),
        lentilshore_session=session,
    )
    return await _create_step(
        "withdrawn version",
        "410 version_withdrawn not_run",
        _describe_refusal(answer),
        answer,
        caller,
    )


STEPS: tuple[StepFunction, ...] = (
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

    :param verbose: whether to write the node's log to standard error.
    :returns: exit status, 0 if every step had the expected outcome, otherwise 1.
    """
    stop_logging = start_logging(sys.stderr) if verbose else None
    try:
        steps = anyio.run(_run_steps)
    finally:
        if stop_logging:
            stop_logging()
    _print_steps(steps)
    return 0 if all(step.passed for step in steps) else 1


async def _run_steps() -> list[Step]:
    async with (
        capnp.kj_loop(),
        running_demo_node() as node,
        connect(node.addresses.operator) as operator,
    ):
        revision = (await operator.read()).revision
        await operator.change("demonstration", revision, RECORDS)
        caller = DemoCaller(node.addresses.caller, operator)
        await wait_until_ready(node)
        steps = [await run_step(caller, operator) for run_step in STEPS]
        await caller.close()
        return steps


@asynccontextmanager
async def running_demo_node() -> AsyncIterator[Node]:
    """Run one node and its stand-ins in this process."""
    async with running_demo_node_with_standins() as (node, _, _):
        yield node


@asynccontextmanager
async def running_demo_node_with_standins() -> AsyncIterator[
    tuple[Node, EngineStandIn, ServiceStandIn]
]:
    """Run one node; also yield its engine and its service, to inject faults."""
    clock = SystemClock()
    platform = PlatformStandIn(clock)

    async def send_rating(request_id: str, good: bool) -> None:
        platform.add_rating(request_id, good)

    engine = EngineStandIn(clock, EngineOptions(SKILL_BY_VERSION), send_rating)
    service = ServiceStandIn(clock)
    async with (
        serving(create_application(platform.handle)) as platform_address,
        serving(create_application(engine.handle)) as engine_address,
        serving(create_application(service.handle)) as service_address,
    ):
        platform.set_instances(
            [
                _instance_entry(
                    "engine-1", "engine", engine_address, list(SKILL_BY_VERSION)
                ),
                _instance_entry("service-1", "service", service_address, ["register"]),
            ]
        )
        with tempfile.TemporaryDirectory() as directory:
            key_file = Path(directory, "session.key")
            key_file.write_text("demonstration session key")
            settings = _create_settings(platform_address, key_file)
            async with running_node(
                settings, load_plugins(), clock, random.Random(SEED)
            ) as node:
                yield node, engine, service


def _create_settings(platform: Address, key_file: Path) -> Settings:
    listener = {"host": "127.0.0.1", "port": 0}
    return Settings.model_validate(
        {
            "instance": "node-1",
            "data_centre": "brest-1",
            "caller": listener,
            "operator": listener,
            "peer": listener,
            "platform": {"host": platform.host, "port": platform.port},
            "session_keys": [{"id": "k1", "file": str(key_file)}],
            "drain_notice_s": 0.0,
        }
    )


def _instance_entry(name: str, role: str, address: Address, groups: list[str]) -> Any:
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
    """Wait until a node is ready and knows its upstreams.

    :raises TimeoutError: after ``READY_TIMEOUT_S``.
    """
    with anyio.fail_after(READY_TIMEOUT_S):
        while not (node.context.ready and node.context.placement.groups):
            await anyio.sleep(0.02)


async def _update_record(operator: OperatorClient, key: str, fields: Any) -> None:
    snapshot = await operator.read()
    record = snapshot.records.get(key, {}) | fields
    await operator.change(f"set-{key}", snapshot.revision, {key: record})


async def _create_step(
    name: str, expected: str, outcome: str, answer: HttpAnswer, caller: DemoCaller
) -> Step:
    record = await caller.explain(answer)
    served_by = record["served_by"] or record["asked"] if record else "-"
    cost = f"{record['cost']:.0f}" if record else "0"
    return Step(name, expected, outcome, served_by, cost)


def _attempted_models(record: Any) -> list[str]:
    if not record:
        return []
    names = [a["version"].partition("@")[0] for a in record["attempts"]]
    # Each name but the last ends with a space; the caller joins them with "then ".
    return [f"{name} " for name in names[:-1]] + names[-1:]


def _describe_refusal(answer: HttpAnswer) -> str:
    error = answer.json().get("error", {})
    return f"{answer.status} {error.get('type')} {error.get('execution')}"


def _completion_body(model: str, prompt: str) -> dict[str, Any]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": model, "messages": messages, "max_tokens": 24}


def _print_steps(steps: list[Step]) -> None:
    print(f"{'step':<20}{'outcome':<34}{'served by':<24}{'cost':>6}  result")
    for step in steps:
        result = "ok" if step.passed else f"FAILED, expected {step.expected}"
        print(
            f"{step.name:<20}{step.outcome:<34}{step.served_by:<24}"
            f"{step.cost:>6}  {result}"
        )
