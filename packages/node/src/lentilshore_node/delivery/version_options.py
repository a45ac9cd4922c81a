"""Selects the versions that may serve a request.

The customer's rights, the session's pinned versions and roll-outs decide.
"""

from __future__ import annotations

from typing import NamedTuple

from lentilshore_fleet import Session
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import ModelVersion, RefusalReason, parse_model_version
from lentilshore_routing import CascadeOption, Catalog, Customer

from .requests import CompletionRequest

# Generation speed of a model whose record names none.
DEFAULT_TOKENS_PER_S = 100.0
# Share of the maximum output that an answer is expected to use.
EXPECTED_OUTPUT_SHARE = 0.5


class VersionOption(NamedTuple):
    """A version that may serve a request.

    :param cascade_option: the version as the cascade policy sees it, with its
        expected cost and duration.
    :param in_rollout: whether the version is the candidate of a roll-out under way.
    :param pinned: whether the session or the request fixes this version.
    """

    cascade_option: CascadeOption
    in_rollout: bool
    pinned: bool


def list_version_options(
    catalog: Catalog, customer: Customer, session: Session, request: CompletionRequest
) -> list[VersionOption]:
    """Return the versions that may serve a request, cheapest first.

    :param catalog: configuration in force.
    :param customer: customer that sent the request.
    :param session: the session, new or continued.
    :param request: the request.
    :raises RefusalError: ``unknown_model``, ``version_forbidden`` or
        ``version_withdrawn``.
    """
    if "@" in request.model:
        choices = [_named_version(catalog, customer, request.model)]
    else:
        choices = [
            choice
            for model in catalog.allowed_models(customer, request.model)
            if (choice := _choose_version(catalog, customer, session, model))
            is not None
        ]
    if not choices:
        raise RefusalError(
            RefusalReason.VERSION_WITHDRAWN,
            detail=f"model or cascade {request.model!r} has no active version",
        )
    options = [_build_option(catalog, request, *choice) for choice in choices]
    return sorted(options, key=lambda option: option.cascade_option.cost)


def rollout_base_option(
    catalog: Catalog, request: CompletionRequest, option: VersionOption
) -> VersionOption | None:
    """Return the option that replaces a roll-out's candidate by its base version.

    :param option: an option whose version is the candidate of a roll-out.
    :returns: the option, or None if the base is not active.
    """
    rollout = catalog.record("rollout", option.cascade_option.version.model)
    base = parse_model_version(rollout["base"])
    if catalog.state(base) != "active":
        return None
    # The base is neither a roll-out's candidate nor pinned.
    return _build_option(catalog, request, base, False, False)


def _choose_version(
    catalog: Catalog, customer: Customer, session: Session, model: str
) -> tuple[ModelVersion, bool, bool] | None:
    """Return a version of a model, whether it is in a roll-out, and whether pinned."""
    pinned = session.pinned_version(model)
    if pinned is not None:
        pinned_choice = _pinned_version(catalog, customer, pinned)
        if pinned_choice is not None:
            return pinned_choice
    choice = catalog.choose_version(customer, model, session.identifier)
    return None if choice is None else (choice.version, choice.candidate, False)


def _pinned_version(
    catalog: Catalog, customer: Customer, pinned: ModelVersion
) -> tuple[ModelVersion, bool, bool] | None:
    """Return the session's version, as :func:`_choose_version` does.

    :returns: None if the session leaves a halted roll-out.
    """
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
    is_candidate = rollout is not None and rollout["candidate"] == str(pinned)
    halted = state == "halted" or (is_candidate and rollout["state"] == "halted")
    if halted and rollout is not None and rollout["halted_sessions"] == "move":
        return None
    in_rollout = is_candidate and rollout["state"] in ("running", "paused")
    return pinned, in_rollout, True


def _named_version(
    catalog: Catalog, customer: Customer, name: str
) -> tuple[ModelVersion, bool, bool]:
    """Return the version that a request names, as :func:`_choose_version` does."""
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
    is_candidate = rollout is not None and rollout["candidate"] == name
    if is_candidate and rollout["state"] in ("halted", "rolled_back"):
        raise RefusalError(
            RefusalReason.VERSION_WITHDRAWN,
            detail=f"roll-out of {name!r} is {rollout['state']}",
        )
    return version, is_candidate and rollout["state"] != "done", True


def _build_option(
    catalog: Catalog,
    request: CompletionRequest,
    version: ModelVersion,
    in_rollout: bool,
    pinned: bool,
) -> VersionOption:
    record = catalog.record("model", version.model) or {}
    expected_output_tokens = max(
        1, int(request.max_output_tokens * EXPECTED_OUTPUT_SHARE)
    )
    cost = catalog.price(version.model, request.input_tokens, expected_output_tokens)
    tokens_per_s = record.get("tokens_per_s", DEFAULT_TOKENS_PER_S)
    return VersionOption(
        CascadeOption(version, cost, expected_output_tokens / tokens_per_s),
        in_rollout,
        pinned,
    )
