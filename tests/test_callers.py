"""Checks of the callers' HTTP interface, with tables of injected faults."""

import anyio
import capnp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from lentilshore_ctl import connect
from lentilshore_standins import Fault, FaultKind
from lentilshore_standins.demo import (
    CALLER_KEY,
    RECORDS,
    DemoCaller,
    running_demo_node_with_standins,
    wait_until_ready,
)

scenarios("features/callers.feature")

COMPLETIONS = "/v1/chat/completions"
TAG = "/v1/services/register/tag"


class Story:
    """Runs the requests of one scenario with its injected faults."""

    def __init__(self):
        self.engine_faults = []
        self.service_faults = []
        self.ran = {}

    def run(self, *requests):
        return anyio.run(self._run, requests)

    async def _run(self, requests):
        async with (
            capnp.kj_loop(),
            running_demo_node_with_standins() as (node, engine, service),
            connect(node.addresses.operator) as operator,
        ):
            await operator.change("setup", 0, RECORDS)
            caller = DemoCaller(node.addresses.caller, operator)
            await wait_until_ready(node)
            for fault, count in self.engine_faults:
                engine.faults.add(fault, count)
            for fault, count in self.service_faults:
                service.faults.add(fault, count)
            answers = [await caller.send(*request) for request in requests]
            self.ran = dict(service.run_counts)
            await caller.close()
            return answers


def completion(**changes):
    messages = [{"role": "user", "content": "Is the tide table posted?"}]
    return {"model": "large", "messages": messages, "max_tokens": 8} | changes


INVALID_REQUESTS = {
    "an unknown API key": (COMPLETIONS, completion(), {"authorization": "Bearer no"}),
    "an unknown model": (COMPLETIONS, completion(model="none"), {}),
    "invalid JSON": (COMPLETIONS, b"{", {}),
    "a forged session token": (
        COMPLETIONS,
        completion(),
        {"lentilshore-session": "x.y"},
    ),
    "a deadline of 0 ms": (COMPLETIONS, completion(), {"lentilshore-deadline-ms": "0"}),
    "an oversized body": (COMPLETIONS, b" " * 4_200_000, {}),
    "an unknown path": ("/v1/none", {}, {}),
    "a tag without a key": (TAG, {"entry": 1}, {}),
}


@given("a node with stand-in upstreams", target_fixture="story")
def story():
    return Story()


@given(parsers.parse("the engine injects {fault} {count:d} times"))
def engine_fault(story, fault, count):
    story.engine_faults.append((Fault(FaultKind(fault), "complete"), count))


@given(parsers.parse("the service injects {fault} {count:d} times"))
def service_fault(story, fault, count):
    story.service_faults.append((Fault(FaultKind(fault), "call"), count))


@when(parsers.parse("a caller requests a {form} answer"), target_fixture="answers")
def request_answer(story, form):
    body = completion(stream=form == "streamed")
    return story.run((COMPLETIONS, body, {}))


@when("a caller posts a tag twice with one idempotency key", target_fixture="answers")
def post_tag_twice(story):
    request = (TAG, {"entry": 1}, {"idempotency-key": "t1"})
    return story.run(request, request)


@when(parsers.parse("a caller sends {name}"), target_fixture="answers")
def send_invalid_request(story, name):
    return story.run(INVALID_REQUESTS[name])


@then(parsers.parse("the answer has status {status:d} and outcome {outcome}"))
def check_outcome(answers, status, outcome):
    answer = answers[0]
    assert answer.status == status
    if outcome != "whole":
        assert f'"type":"{outcome}"'.encode() in answer.body
        assert b"data: [DONE]" not in answer.body
    elif answer.headers["content-type"] == "text/event-stream":
        assert answer.body.endswith(b"data: [DONE]\n\n")
        ids = [f"id: {n}\n".encode() for n in range(8)]
        assert [answer.body.count(b"\n" + i) for i in ids[1:]] == [1] * 7
    else:
        assert answer.json()["choices"]


@then(parsers.parse("the answers have statuses {first:d} and {second:d}"))
def check_statuses(answers, first, second):
    assert [answer.status for answer in answers] == [first, second]
    assert all(a.json()["error"]["execution"] == "unknown" for a in answers)


@then("the tag ran at most once")
def check_runs(story):
    assert all(count == 1 for count in story.ran.values())


@then(parsers.parse("the request is refused as not run with {status:d} and {reason}"))
def check_refusal(answers, status, reason):
    error = answers[0].json()["error"]
    assert (answers[0].status, error["type"]) == (status, reason)
    assert error["execution"] == "not_run"


def test_model_list_holds_only_allowed_models():
    async def run():
        async with (
            capnp.kj_loop(),
            running_demo_node_with_standins() as (node, _, _),
            connect(node.addresses.operator) as operator,
        ):
            hidden = {
                "customer/other": RECORDS["customer/archive"] | {"key_hashes": []}
            }
            await operator.change("setup", 0, RECORDS | hidden)
            await wait_until_ready(node)
            caller = DemoCaller(node.addresses.caller, operator)
            headers = {"authorization": f"Bearer {CALLER_KEY}"}
            answer = await caller.get("/v1/models", headers)
            await caller.close()
            return answer

    names = {item["id"] for item in anyio.run(run).json()["data"]}
    assert names == {"answers", "small", "large"}


@pytest.mark.parametrize("count", [6])
def test_stop_under_load_completes_all_requests(count):
    answers = []

    async def run():
        async with (
            capnp.kj_loop(),
            running_demo_node_with_standins() as (node, _, _),
            connect(node.addresses.operator) as operator,
        ):
            await operator.change("setup", 0, RECORDS)
            await wait_until_ready(node)
            caller = DemoCaller(node.addresses.caller, operator)

            async def send_request(number):
                body = completion(stream=number % 2 == 0, max_tokens=32)
                answers.append(await caller.send(COMPLETIONS, body, {}))

            async with anyio.create_task_group() as group:
                for number in range(count):
                    group.start_soon(send_request, number)
                while node.context.in_flight < count:
                    await anyio.sleep(0.001)
                node.stop()
            await caller.close()

    anyio.run(run)
    assert [answer.status for answer in answers] == [200] * count
    streams = [a for a in answers if a.body.startswith(b"id: ")]
    assert all(a.body.endswith(b"data: [DONE]\n\n") for a in streams)
