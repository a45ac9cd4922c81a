"""Checks the invariants against what was observed outside the nodes.

The check function ``check_NAME`` belongs to the invariant ``NAME``.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections import Counter, defaultdict
from typing import Any, NamedTuple

import msgspec

from .records import CallerRecord, History
from .world import ANSWER_TOKENS, expected_tokens, token_event

# Every reachable node must apply an accepted change within this time.
PROPAGATION_LIMIT_S = 7.0
# Nodes may still start requests at a leaving replica for this long.
LEAVING_GRACE_S = 5.0
ALLOWED_MODELS = {"archive": {"small", "large"}, "bureau": {"small"}}


class Violation(NamedTuple):
    """An invariant that did not hold.

    :param invariant: name of the invariant.
    :param detail: what violated it.
    """

    invariant: str
    detail: str


def check(history: History) -> list[Violation]:
    """Return every violation of every invariant."""
    checks = (
        check_allowed,
        check_withdrawn,
        check_sessions,
        check_bills,
        check_answers,
        check_not_run,
        check_at_most_once,
        check_leaving,
        check_stops,
        check_configuration,
        check_halts,
        check_leases,
    )
    return [
        Violation(function.__name__.removeprefix("check_"), detail)
        for function in checks
        for detail in function(history)
    ]


def check_allowed(history: History) -> list[str]:
    return [
        f"{run.request_id} of {run.customer} ran on {run.version}"
        for run in history.engine_runs
        if run.version.partition("@")[0] not in ALLOWED_MODELS[run.customer]
    ]


def check_withdrawn(history: History) -> list[str]:
    return [
        f"{run.request_id} started on {run.version} {run.at - removal.at:.1f} s "
        "after its withdrawal"
        for removal in history.withdrawals
        for run in history.engine_runs
        if run.version == removal.name
        and run.at > removal.at + PROPAGATION_LIMIT_S
        and not _was_isolated(history, run.node, run.at)
    ]


def check_sessions(history: History) -> list[str]:
    versions: dict[tuple[str, str], set[str]] = defaultdict(set)
    for record in history.caller_records:
        if record.finished and record.status == 200 and not record.service:
            key = (_session_name(record), record.headers["lentilshore-model"])
            versions[key].add(record.headers["lentilshore-version"])
    return [f"{key} ran on {sorted(v)}" for key, v in versions.items() if len(v) > 1]


def check_bills(history: History) -> list[str]:
    bills = _read_bills(history)
    problems = []
    by_request: dict[str, list[Any]] = defaultdict(list)
    for bill in bills.values():
        by_request[bill[1]].append(bill)
    for request_id, request_bills in by_request.items():
        if len(request_bills) > 1:
            problems.append(
                f"{request_id} has {len(request_bills)} bills, expected one"
            )
    runs = Counter(run.request_id for run in history.engine_runs)
    runs.update(run.request_id for run in history.service_runs)
    for request_id, request_bills in by_request.items():
        served = sum(line[5] in ("served", "escalated") for line in request_bills[0][4])
        if served > runs[request_id]:
            problems.append(
                f"{request_id} was billed for {served} runs, "
                f"expected at most {runs[request_id]}"
            )
    answered = [
        r for r in history.caller_records if _is_whole_answer(r) and r.request_id
    ]
    for record in answered:
        request_bills = by_request.get(record.headers["lentilshore-bill"], [])
        if not request_bills:
            problems.append(f"{record.request_id} was answered but not billed")
        elif not request_bills[0][3]:
            problems.append(
                f"{record.request_id} was answered but its bill is still open"
            )
        elif not record.service:
            problems += _check_tokens(record, request_bills[0])
    return problems + _check_totals(history, bills)


def check_answers(history: History) -> list[str]:
    problems = []
    for record in history.caller_records:
        if record.service or record.status != 200 or not record.finished:
            continue
        if record.disconnects_early:
            continue
        problems += _check_answer(record)
    return problems


def check_not_run(history: History) -> list[str]:
    ran = {run.request_id for run in history.engine_runs}
    ran.update(run.request_id for run in history.service_runs)
    problems = []
    for record in history.caller_records:
        if record.status < 400 or not record.finished:
            continue
        error = json.loads(record.body)["error"]
        if error["execution"] == "not_run" and record.request_id in ran:
            problems.append(f"{record.request_id} was refused as not run but ran")
    return problems


def check_at_most_once(history: History) -> list[str]:
    counts = Counter(run.idempotency_key for run in history.service_runs)
    return [
        f"idempotency key {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]


def check_leaving(history: History) -> list[str]:
    return [
        f"{run.request_id} started at {run.replica} {run.at - removal.at:.1f} s "
        "after the replica started to leave"
        for removal in history.departures
        for run in history.engine_runs
        if run.replica == removal.name
        and run.at > removal.at + LEAVING_GRACE_S
        and not _was_isolated(history, run.node, run.at)
    ]


def check_stops(history: History) -> list[str]:
    crashed_nodes = {name.rpartition(".")[0] for name in history.crashed_incarnations}
    return [
        f"request {record.prompt} at {record.node} was interrupted by a planned stop"
        for record in history.caller_records
        if record.interrupted
        and record.node in history.planned_stops
        and record.node not in crashed_nodes
        and not record.disconnects_early
    ]


def check_configuration(history: History) -> list[str]:
    problems = []
    last: dict[str, tuple[str, int]] = {}
    for sample in history.samples:
        incarnation, revision = last.get(sample.node, ("", 0))
        if incarnation == sample.incarnation and sample.revision < revision:
            problems.append(
                f"{sample.node} went back from revision {revision} to {sample.revision}"
            )
        last[sample.node] = (sample.incarnation, sample.revision)
    for at, revision in history.accepted_changes:
        for sample in history.samples:
            late = sample.at > at + PROPAGATION_LIMIT_S and sample.revision < revision
            starting = sample.revision == 0
            if late and not starting and not _was_sample_isolated(history, sample):
                problems.append(
                    f"{sample.node} is at revision {sample.revision} "
                    f"{sample.at - at:.1f} s "
                    f"after revision {revision} was accepted"
                )
                break
    return problems


def check_halts(history: History) -> list[str]:
    """Check that every roll-out of a bad version ended halted."""
    return [
        f"{name}: expected a halted roll-out, found {state}"
        for name, state in history.rollout_states
        if state != "halted"
    ]


def check_leases(history: History) -> list[str]:
    """Check that each change of the lease holder increased the fencing number."""
    problems = []
    values = history.object_values.get("leases/leader", [])
    for before, after in zip(values, values[1:], strict=False):
        changed = after["holder"] not in ("", before["holder"])
        if changed and after["fencing"] <= before["fencing"]:
            problems.append(
                f"{after['holder']} acquired the lease with a fencing number "
                f"that did not increase: {after['fencing']}"
            )
    return problems


def _was_isolated(history: History, node: str, at: float) -> bool:
    """Whether a node was isolated or unresponsive within the propagation limit."""
    return any(
        sample.node == node
        and sample.isolated
        and at - PROPAGATION_LIMIT_S <= sample.at <= at
        for sample in history.samples
    ) or _was_unresponsive(history, node, at)


def _was_sample_isolated(history: History, sample: Any) -> bool:
    return _was_isolated(history, sample.node, sample.at)


def _was_unresponsive(history: History, node: str, at: float) -> bool:
    """Return whether samples of a node are missing within the propagation limit.

    Such a node was paused or down, or has only just started.
    """
    times = [
        s.at
        for s in history.samples
        if s.node == node and at - PROPAGATION_LIMIT_S < s.at <= at
    ]
    expected = int(PROPAGATION_LIMIT_S / 0.5) - 2
    return len(times) < expected


def _session_name(record: CallerRecord) -> str:
    return record.prompt.rpartition("|")[2].partition("#")[0]


def _is_whole_answer(record: CallerRecord) -> bool:
    if record.status != 200 or not record.finished or record.disconnects_early:
        return False
    return not record.stream or record.body.endswith(b"data: [DONE]\n\n")


def _check_answer(record: CallerRecord) -> list[str]:
    version = (
        f"{record.headers['lentilshore-model']}@{record.headers['lentilshore-version']}"
    )
    tokens = expected_tokens(version, record.prompt)
    if not record.stream:
        text = json.loads(record.body)["choices"][0]["message"]["content"]
        wrong = text != " ".join(tokens)
        return [f"{record.request_id}: unexpected answer"] if wrong else []
    if b"event: error" in record.body:
        return []
    if not record.body.endswith(b"data: [DONE]\n\n"):
        return [
            f"{record.request_id}: stream ended without an end marker or error event"
        ]
    streamed = b"".join(token_event(i, t) for i, t in enumerate(tokens))
    whole_text = " ".join(tokens).encode()
    relayed = record.body.startswith(streamed + b"event: end")
    if not relayed and record.body.count(whole_text) != 1:
        return [f"{record.request_id}: unexpected streamed answer"]
    return []


def _check_tokens(record: CallerRecord, bill: Any) -> list[str]:
    outputs = sum(line[3] for line in bill[4] if line[5] != "escalated")
    if outputs != ANSWER_TOKENS:
        return [
            f"{record.request_id} was billed {outputs} output tokens, "
            f"expected {ANSWER_TOKENS}"
        ]
    return []


def _read_bills(history: History) -> dict[tuple[str, int], Any]:
    """Return the bills of all segments ever written.

    A closed bill replaces an open one of the same number.
    """
    bills: dict[tuple[str, int], Any] = {}
    for key, values in history.object_values.items():
        if not key.startswith("bills/"):
            continue
        for value in values:
            data = zlib.decompress(base64.b64decode(value["bills"]))
            for bill in msgspec.msgpack.decode(data):
                number = (value["incarnation"], bill[0])
                known = bills.get(number)
                if known is None or (bill[3] and not known[3]):
                    bills[number] = bill
    return bills


def _check_totals(history: History, bills: dict[tuple[str, int], Any]) -> list[str]:
    """Compare accounts plus segments not yet in them with the number of bills."""
    expected: Counter[str] = Counter()
    for bill in bills.values():
        expected[bill[2]] += 1
    counted: Counter[str] = Counter()
    covered: dict[str, list[list[int]]] = {}
    for key, value in history.objects.items():
        if key.startswith("accounts/"):
            covered[key.removeprefix("accounts/")] = value["covered"]
            for customer, total in value["customers"].items():
                counted[customer] += total["requests"]
    remaining = set()
    for key, value in history.objects.items():
        if not key.startswith("bills/"):
            continue
        for bill in msgspec.msgpack.decode(
            zlib.decompress(base64.b64decode(value["bills"]))
        ):
            ranges = covered.get(value["incarnation"], [])
            if not any(low <= bill[0] <= high for low, high in ranges):
                remaining.add((value["incarnation"], bill[0], bill[2]))
    for _, _, customer in remaining:
        counted[customer] += 1
    if counted != expected:
        return [f"accounts and segments count {dict(counted)}, bills {dict(expected)}"]
    return []
