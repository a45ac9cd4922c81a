"""Operators' API: each method is a plug-in of the group ``operators``."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

import msgspec

from lentilshore_fleet import Change, ConfigurationStore, Snapshot, read_totals
from lentilshore_fleet.configuration import Delta, apply_delta
from lentilshore_kernel import log_event
from lentilshore_kernel.exceptions import (
    ChangeInvalidError,
    PeerUnavailableError,
    RevisionConflictError,
    StoreAmbiguousError,
    StoreError,
)
from lentilshore_kernel.json import decode_json
from lentilshore_kernel.registry import Registry, plugin
from lentilshore_protocol import load_operator_schema
from lentilshore_routing.catalog import check_record, check_references
from lentilshore_routing.rollouts import evaluate_candidate

from ..peers.links import LinkManager
from ..peers.reports import merged_evidence
from ..state.context import NodeContext

WATCH_CHECK_INTERVAL_S = 0.05
WATCH_MAX_S = 60.0
METHODS = ("read", "change", "status", "watch", "explain", "bills", "rollout")
CHANGE_ID_LIMIT_CHARACTERS = 128


class OperatorContext(NamedTuple):
    """Context of an operator's session.

    :param node: the node.
    :param links: the node's links to other nodes.
    :param may_change: whether the session's key permits changes.
    """

    node: NodeContext
    links: LinkManager
    may_change: bool


class OperatorMethod(Protocol):
    """A method of the schema's ``Session`` interface."""

    def __call__(self, context: OperatorContext, params: Any) -> Awaitable[Any]:
        """Return the fields of the call's results as a dictionary.

        :param context: the session's context.
        :param params: parameters of the call.
        """


class OperatorServer(NamedTuple):
    """Creates the RPC object that operators call.

    :param node: the node.
    :param links: the node's links to other nodes.
    :param registry: registry of the methods.
    """

    node: NodeContext
    links: LinkManager
    registry: Registry

    def create_bootstrap(self) -> Any:
        """Return the RPC object for one connection."""
        schema = load_operator_schema()
        session_class = _create_session_class(schema, self.registry)
        server = self

        class LoginServer(schema.Operators.Server):  # type: ignore[misc]
            """Opens a session for a known key."""

            async def login(self, key: str, _context: Any, **_: Any) -> None:
                results = _context.results
                allowed, may_change = check_key(server.node, key)
                if not allowed:
                    log_event("operator_refused")
                    server.node.metrics.count("operator.refused")
                    results.failure = _failure("forbidden", "the key is not known")
                    return
                context = OperatorContext(server.node, server.links, may_change)
                results.session = session_class(context)
                results.mayChange = may_change

        return LoginServer()


def check_key(node: NodeContext, key: str) -> tuple[bool, bool]:
    """Check an operator's key.

    Without any key in the settings, every caller of the loopback listener may
    read and change.

    :param node: the node.
    :param key: the key as sent.
    :returns: whether the key may read, and whether it may change.
    """
    settings = node.settings
    if not settings.operator_keys and not settings.reader_keys:
        return True, True
    changing = _matches_any(settings.operator_keys, key)
    return changing or _matches_any(settings.reader_keys, key), changing


@plugin("operators", "read")
async def read_records(context: OperatorContext, params: Any) -> Any:
    """Return the configuration's records of a kind, or all if no kind is given."""
    snapshot = context.node.configuration.snapshot
    prefix = f"{params.kind}/" if params.kind else ""
    records = [
        {"key": key, "value": msgspec.json.encode(_redact(key, record))}
        for key, record in sorted(snapshot.entries.items())
        if key.startswith(prefix)
    ]
    return {"revision": snapshot.revision, "records": records}


@plugin("operators", "change")
async def change_records(context: OperatorContext, params: Any) -> Any:
    """Apply a change of configuration; the same change sent again is applied once."""
    if not context.may_change:
        return {"failure": _failure("forbidden", "the key permits reading only")}
    message = params.change
    try:
        change = _read_change(message)
        node = context.node
        await _check_change(node, change)
        store = ConfigurationStore(node.platform.store, node.clock)
        revision = await store.change(change)
    except ChangeInvalidError as error:
        return {"failure": _failure("invalid", str(error), error.problems)}
    except RevisionConflictError as error:
        failure = _failure("conflict", str(error))
        return {"failure": failure | {"currentRevision": error.current}}
    except StoreAmbiguousError as error:
        return {"failure": _failure("ambiguous", str(error))}
    except StoreError as error:
        return {"failure": _failure("unavailable", str(error))}
    log_event("configuration_changed", change=change.change_id, revision=revision)
    context.node.metrics.count("configuration.changed")
    await _adopt_change(context.node, store, revision)
    return {"revision": revision}


@plugin("operators", "status")
async def read_status(context: OperatorContext, params: Any) -> Any:
    """Return the status of the node and its view of the fleet."""
    node = context.node
    status = {
        "instance": str(node.incarnation),
        "data_centre": node.settings.data_centre,
        "ready": node.ready,
        "revision": node.configuration.revision,
        "configuration_age_s": node.configuration.age_s,
        "watcher": node.membership.is_watcher(),
        "in_flight": node.in_flight,
        "queued": node.queue.waiting,
        "unwritten_bills": node.ledger.unwritten_count,
        "uncopied_bills": node.ledger.uncopied_count,
        "copies_held_for": node.copies.owners,
        "ejected_upstreams": node.placement.ejected(),
        "links": [str(incarnation) for incarnation in context.links.connected],
        "members": [
            {
                "instance": str(member.incarnation),
                "data_centre": member.data_centre,
                "state": member.state.name.lower(),
            }
            for member in node.membership.members
        ],
        "counters": node.metrics.totals,
    }
    return {"record": msgspec.json.encode(status)}


@plugin("operators", "watch")
async def watch_revision(context: OperatorContext, params: Any) -> Any:
    """Wait until a newer revision is in force on this node, or for the timeout."""
    clock = context.node.clock
    deadline = clock.monotonic() + min(params.timeoutMs / 1000, WATCH_MAX_S)
    view = context.node.configuration
    while view.revision <= params.afterRevision and clock.monotonic() < deadline:
        await clock.sleep(WATCH_CHECK_INTERVAL_S)
    return {"revision": view.revision}


@plugin("operators", "explain")
async def explain_request(context: OperatorContext, params: Any) -> Any:
    """Return how a request was served, from this node or the one that served it."""
    request_id: str = params.request
    record = context.node.explanations.find(request_id)
    if record is not None:
        return {"record": msgspec.json.encode(record)}
    # A request's identifier begins with the incarnation that served it.
    owner = request_id.rpartition("-")[0]
    peer_record = await _fetch_explanation(context, owner, request_id)
    if peer_record:
        return {"record": peer_record}
    return {"failure": _failure("notFound", f"request {request_id!r} is not kept")}


@plugin("operators", "bills")
async def read_bills(context: OperatorContext, params: Any) -> Any:
    """Return totals of all bills in the store."""
    try:
        totals = await read_totals(context.node.platform.store)
    except StoreError as error:
        return {"failure": _failure("unavailable", str(error))}
    record = dict(totals) | {"unwritten_here": context.node.ledger.unwritten_count}
    return {"record": msgspec.json.encode(record)}


@plugin("operators", "rollout")
async def read_rollout(context: OperatorContext, params: Any) -> Any:
    """Return a roll-out's record, exposure and evidence."""
    node = context.node
    record = node.catalog.record("rollout", params.model)
    if record is None:
        return {"failure": _failure("notFound", f"no roll-out of {params.model!r}")}
    merged = node.documents.value("learned")
    outcomes = merged_evidence(merged) if merged else node.evidence
    verdict = evaluate_candidate(outcomes, record["base"], record["candidate"])
    tallies = outcomes.export(record["candidate"])["tallies"]
    answer = {
        "record": record,
        "evidence": verdict.explain(),
        "tallies": tallies,
        "answers": outcomes.tally(record["candidate"], "error").total,
        "ratings": outcomes.tally(record["candidate"], "rating").total,
        "ungraded_here": node.exposure.unrated_count(record["candidate"]),
    }
    return {"record": msgspec.json.encode(answer)}


def _create_session_class(schema: Any, registry: Registry) -> type:
    def initialize(self: Any, context: OperatorContext) -> None:
        self._context = context

    members: dict[str, Any] = {"__init__": initialize}
    for name in METHODS:
        members[f"{name}_context"] = _bind(registry.find("operators", name))
    return type("SessionServer", (schema.Session.Server,), members)


def _bind(method: OperatorMethod) -> Callable[[Any, Any], Awaitable[None]]:
    async def call(self: Any, context: Any) -> None:
        results = await method(self._context, context.params)
        for name, value in results.items():
            setattr(context.results, name, value)

    return call


def _read_change(message: Any) -> Change:
    if not 0 < len(message.change) <= CHANGE_ID_LIMIT_CHARACTERS:
        raise ChangeInvalidError(
            [f"change: expected 1 to {CHANGE_ID_LIMIT_CHARACTERS} characters"]
        )
    updated = {}
    for item in message.updated:
        try:
            updated[item.key] = decode_json(item.value)
        except msgspec.MsgspecError as error:
            raise ChangeInvalidError([f"{item.key}: {error}"]) from error
        check_record(item.key, updated[item.key])
    return Change(message.change, message.revision, updated, tuple(message.removed))


async def _check_change(node: NodeContext, change: Change) -> None:
    """Check the references of a change if its base revision is in force here.

    :raises ChangeInvalidError: if a reference is broken.
    """
    snapshot: Snapshot = node.configuration.snapshot
    if snapshot.revision != change.revision:
        return
    entries = dict(snapshot.entries)
    delta = Delta(
        revision=change.revision + 1,
        change=change.change_id,
        updated=dict(change.updated),
        removed=list(change.removed),
    )
    apply_delta(entries, delta)
    check_references(entries)


async def _adopt_change(
    node: NodeContext, store: ConfigurationStore, revision: int
) -> None:
    if node.configuration.revision >= revision:
        return
    try:
        node.configuration.adopt(await store.read(node.configuration.snapshot))
    except StoreError:
        return


async def _fetch_explanation(
    context: OperatorContext, owner: str, request_id: str
) -> bytes:
    member = context.node.membership.find(owner.rpartition(".")[0])
    if member is None or str(member.incarnation) != owner:
        return b""
    link = context.links.create_link(member.address)
    try:
        await link.connect()
        return await link.explain(request_id)
    except PeerUnavailableError:
        return b""
    finally:
        link.close()


def _matches_any(secrets: Any, key: str) -> bool:
    matches = False
    for secret in secrets:
        matches |= hmac.compare_digest(secret.read(), key.encode())
    return matches


def _redact(key: str, record: Any) -> Any:
    if not key.startswith("customer/"):
        return record
    hashes = [f"{text[:8]}..." for text in record["key_hashes"]]
    return record | {"key_hashes": hashes}


def _failure(kind: str, message: str, problems: list[str] | None = None) -> Any:
    return {"kind": kind, "message": message, "problems": problems or []}
