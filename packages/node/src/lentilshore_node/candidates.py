"""Versions that may serve a request, given customer, session and roll-outs."""

from __future__ import annotations

from typing import NamedTuple

from lentilshore_fleet import Session
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import ModelVersion, RefusalReason, parse_model_version
from lentilshore_routing import Candidate, Catalog, Customer

from .requests import CompletionRequest

DEFAULT_TOKENS_PER_S = 100.0
EXPECTED_OUTPUT_SHARE = 0.5


class Option(NamedTuple):
    """A version that may serve a request.

    :param candidate: the version with its expected cost and time.
    :param rolling: whether it is the candidate of a roll-out.
    :param pinned: whether the session keeps it.
    """

    candidate: Candidate
    rolling: bool
    pinned: bool


def list_options(
    catalog: Catalog, customer: Customer, session: Session, request: CompletionRequest
) -> list[Option]:
    """Return the versions that may serve a request, cheap to costly.

    :param catalog: configuration in force.
    :param customer: who asks.
    :param session: the session, new or continued.
    :param request: the request.
    :raises RefusalError: ``unknown_model``, ``version_forbidden`` or
        ``version_withdrawn``.
    """
    if "@" in request.model:
        versions = [_named_version(catalog, customer, request.model)]
    else:
        versions = [
            choice
            for model in catalog.cascade(customer, request.model)
            if (choice := _choose(catalog, customer, session, model)) is not None
        ]
    if not versions:
        raise RefusalError(
            RefusalReason.VERSION_WITHDRAWN,
            detail=f"no version of {request.model!r} is active",
        )
    options = [_option(catalog, request, *choice) for choice in versions]
    return sorted(options, key=lambda option: option.candidate.cost)


def base_option(
    catalog: Catalog, request: CompletionRequest, option: Option
) -> Option | None:
    """Return the base version in place of a roll-out's candidate.

    :returns: None if the base is not active.
    """
    rollout = catalog.record("rollout", option.candidate.version.model)
    base = parse_model_version(rollout["base"])
    if catalog.state(base) != "active":
        return None
    return _option(catalog, request, base, False, False)


def _choose(
    catalog: Catalog, customer: Customer, session: Session, model: str
) -> tuple[ModelVersion, bool, bool] | None:
    pinned = session.pinned_version(model)
    if pinned is not None:
        kept = _keep(catalog, customer, pinned)
        if kept is not None:
            return kept
    choice = catalog.choose_version(customer, model, session.identifier)
    return None if choice is None else (choice.version, choice.candidate, False)


def _keep(
    catalog: Catalog, customer: Customer, pinned: ModelVersion
) -> tuple[ModelVersion, bool, bool] | None:
    state = catalog.state(pinned)
    if state == "withdrawn":
        raise RefusalError(
            RefusalReason.VERSION_WITHDRAWN,
            detail=f"the session's version {pinned} was withdrawn; start a new session",
        )
    if not catalog.allows(customer, pinned):
        raise RefusalError(
            RefusalReason.VERSION_FORBIDDEN,
            detail=f"customer {customer.name} may no longer use {pinned}",
        )
    rollout = catalog.record("rollout", pinned.model)
    rolling = rollout is not None and rollout["candidate"] == str(pinned)
    halted = state == "halted" or (rolling and rollout["state"] == "halted")
    if halted and rollout is not None and rollout["halted_sessions"] == "move":
        return None
    running = rolling and rollout["state"] in ("running", "paused")
    return pinned, running, True


def _named_version(
    catalog: Catalog, customer: Customer, name: str
) -> tuple[ModelVersion, bool, bool]:
    try:
        version = parse_model_version(name)
    except ValueError as error:
        raise RefusalError(RefusalReason.UNKNOWN_MODEL, detail=str(error)) from error
    state = catalog.state(version)
    if state == "unknown":
        raise RefusalError(
            RefusalReason.UNKNOWN_MODEL, detail=f"version {name!r} is not known"
        )
    if not catalog.allows(customer, version):
        raise RefusalError(
            RefusalReason.VERSION_FORBIDDEN,
            detail=f"customer {customer.name} may not use {name!r}",
        )
    if state != "active":
        raise RefusalError(
            RefusalReason.VERSION_WITHDRAWN, detail=f"version {name!r} is {state}"
        )
    rollout = catalog.record("rollout", version.model)
    rolling = rollout is not None and rollout["candidate"] == name
    if rolling and rollout["state"] in ("halted", "rolled_back"):
        raise RefusalError(
            RefusalReason.VERSION_WITHDRAWN,
            detail=f"roll-out of {name!r} is {rollout['state']}",
        )
    return version, rolling and rollout["state"] != "done", True


def _option(
    catalog: Catalog,
    request: CompletionRequest,
    version: ModelVersion,
    rolling: bool,
    pinned: bool,
) -> Option:
    record = catalog.record("model", version.model) or {}
    expected_output = max(1, int(request.output_tokens * EXPECTED_OUTPUT_SHARE))
    cost = catalog.price(version.model, request.input_tokens, expected_output)
    speed = record.get("tokens_per_s", DEFAULT_TOKENS_PER_S)
    return Option(Candidate(version, cost, expected_output / speed), rolling, pinned)
