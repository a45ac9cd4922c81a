"""Mutants of production code, each of which the fault matrix must catch."""

from __future__ import annotations

import functools
import multiprocessing
import sys
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, NamedTuple
from unittest.mock import patch

from lentilshore_fleet import claims, configuration, leases, ledger, sessions
from lentilshore_kernel.types import Execution
from lentilshore_node.delivery import attempts, completion_runner
from lentilshore_node.peers import peer_messages, rollout_driver
from lentilshore_node.programs import background
from lentilshore_routing import catalog, placement, retries
from lentilshore_routing.rollouts import Verdict

from .matrix import SEED, Cell, run_cell


class Mutant(NamedTuple):
    """A deliberate fault in production code.

    :param name: what the mutant does wrong.
    :param invariant: the invariant whose check must catch it.
    :param patches: object, attribute and replacement; several where a second guard
        of the product would hide the first patch.
    :param cells: cells that reveal it; an empty kind is a run without a fault.
    """

    name: str
    invariant: str
    patches: tuple[tuple[Any, str, Any], ...]
    cells: tuple[Cell, ...]


async def _skip_drain(self: Any, *_: Any) -> bool:
    return True


async def _close_without_copies(self: Any, bill: Any) -> bool:
    self._pending.append(bill)
    return True


async def _grant_every_claim(
    self: Any, customer: str, key: str, body: bytes, attempt: str
) -> Any:
    return claims.Claim(claims.claim_key(customer, key), 1, attempt, "")


def _resume_from_start(original: Callable[..., Any]) -> Callable[..., Any]:
    def call(self: Any, offset: int) -> Any:
        return original(self, 0)

    return call


def _adopt_every_snapshot(self: Any, snapshot: Any) -> bool:
    self._install(snapshot)
    return True


def _expand_without_known_parts(original: Callable[..., Any]) -> Callable[..., Any]:
    async def load_snapshot(self: Any, head: Any, known: Any) -> Any:
        return await original(self, head, configuration.Snapshot(0, {}))

    return load_snapshot


def _ignore_draining(original: Callable[..., Any]) -> Callable[..., Any]:
    def update(self: Any, replicas: Any, nodes: Any = ()) -> None:
        original(self, [r._replace(draining=False) for r in replicas], nodes)

    return update


def _allow_every_retry(self: Any, *_: Any) -> None:
    return None


def _never_halt(*_: Any) -> Verdict:
    return Verdict(False, "rating", "", 0.0, 1.0)


def _same_fencing(**fields: Any) -> Any:
    return {**fields, "fencing": 1}


MUTANTS = (
    Mutant(
        "every customer may use every model",
        "allowed",
        (
            (catalog.Catalog, "_allows_model", lambda self, customer, model: True),
            (catalog.Catalog, "allows", lambda self, customer, version: True),
        ),
        (Cell("cascade", "engine.complete#1", ""),),
    ),
    Mutant(
        "withdrawn versions count as active",
        "withdrawn",
        ((catalog.Catalog, "state", lambda self, version: "active"),),
        (Cell("withdrawal", "get config/head", ""),),
    ),
    Mutant(
        "sessions are not pinned to versions",
        "sessions",
        ((sessions.Session, "pinned_version", lambda self, model: None),),
        (Cell("session", "engine.complete", ""),),
    ),
    Mutant(
        "bills are not copied",
        "bills",
        ((ledger.Ledger, "close", _close_without_copies),),
        (Cell("request", "peer.copy", "crash"), Cell("bill", "put bills", "crash")),
    ),
    Mutant(
        "open bills take precedence over closed ones",
        "bills",
        ((ledger, "prefer_final", lambda known, bill: known or bill),),
        (Cell("bill", "put bills", "crash"), Cell("request", "peer.copy", "crash")),
    ),
    Mutant(
        "streams resume from the start",
        "answers",
        (
            (
                completion_runner.CompletionRunner,
                "_engine_call",
                _resume_from_start(completion_runner.CompletionRunner._engine_call),
            ),
        ),
        (Cell("stream", "engine.token#3", "lost"),),
    ),
    Mutant(
        "every refusal states not_run",
        "not_run",
        (
            (
                attempts.ExecutionProof,
                "execution",
                property(lambda self: Execution.NOT_RUN),
            ),
        ),
        (Cell("single_run", "service.call", "lost"),),
    ),
    Mutant(
        "claims are always granted",
        "at_most_once",
        ((claims.ClaimStore, "acquire", _grant_every_claim),),
        (Cell("single_run", "service.call", ""),),
    ),
    Mutant(
        "every failed call is retried",
        "at_most_once",
        ((retries.RetryPolicy, "take", _allow_every_retry),),
        (Cell("single_run", "service.call", "lost"),),
    ),
    Mutant(
        "requests are sent to leaving replicas",
        "leaving",
        (
            (
                placement.Placement,
                "update",
                _ignore_draining(placement.Placement.update),
            ),
        ),
        (Cell("leaving", "watch instances", ""),),
    ),
    Mutant(
        "a planned stop does not wait for requests",
        "stops",
        ((background.BackgroundTasks, "drain", _skip_drain),),
        (Cell("stop", "engine.token#5", ""),),
    ),
    Mutant(
        "older configurations are adopted",
        "configuration",
        (
            (configuration.ConfigurationView, "adopt", _adopt_every_snapshot),
            (
                configuration.ConfigurationStore,
                "load_snapshot",
                _expand_without_known_parts(
                    configuration.ConfigurationStore.load_snapshot
                ),
            ),
        ),
        (
            Cell("configuration", "watch config/head#2", "stale"),
            Cell("configuration", "get config/head", "stale"),
        ),
    ),
    Mutant(
        "peers do not relay configuration",
        "configuration",
        ((peer_messages, "_missing_configuration", lambda context, revision: {}),),
        (Cell("configuration", "put config/head", ""),),
    ),
    Mutant(
        "roll-outs are never halted",
        "halts",
        ((rollout_driver, "evaluate_candidate", _never_halt),),
        (Cell("rollout", "put reports", ""),),
    ),
    Mutant(
        "fencing numbers do not increase",
        "leases",
        ((leases, "LeaseRecord", _same_fencing),),
        (Cell("lease", "put leases/leader", "crash"),),
    ),
)


def is_caught(mutant: Mutant, seed: int = SEED) -> bool:
    """Return whether its invariant's check catches a mutant in one of its cells."""
    with ExitStack() as stack:
        for target, attribute, replacement in mutant.patches:
            stack.enter_context(patch.object(target, attribute, replacement))
        for cell in mutant.cells:
            outcome = run_cell(cell, seed)
            if mutant.invariant in {v.invariant for v in outcome.violations}:
                return True
    return False


def passes_unpatched(mutant: Mutant, seed: int = SEED) -> bool:
    """Return whether the cells of a mutant pass with the unpatched code."""
    return all(not run_cell(cell, seed).violations for cell in mutant.cells)


def _run_mutant(index: int) -> tuple[bool, bool]:
    mutant = MUTANTS[index]
    return passes_unpatched(mutant), is_caught(mutant)


def main() -> int:
    """Run every mutant.

    :returns: exit status, 0 if all were caught and pass unpatched.
    """
    with multiprocessing.Pool() as pool:
        results = pool.map(
            functools.partial(_run_mutant), range(len(MUTANTS)), chunksize=1
        )
    caught = 0
    for mutant, (passed, found) in zip(MUTANTS, results, strict=True):
        state = "caught" if found and passed else "MISSED" if passed else "BROKEN"
        caught += found and passed
        print(f"{state:<8}{mutant.invariant:<16}{mutant.name}")
    print(f"mutants: {caught} of {len(MUTANTS)} caught")
    return 0 if caught == len(MUTANTS) else 1


if __name__ == "__main__":
    sys.exit(main())
