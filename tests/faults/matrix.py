"""Runs every fault at every step of every scenario and prints the results as a grid."""

from __future__ import annotations

import argparse
import functools
import multiprocessing
import signal
import sys
import traceback
from collections.abc import Sequence
from typing import NamedTuple

from .checker import Violation, check
from .scenarios import SCENARIOS
from .world import FAULT_KINDS, ArmedFault, World, run_world

SEED = 20_261_203
CELL_TIMEOUT_S = 20


class Cell(NamedTuple):
    """One fault at one step of one scenario.

    :param scenario: name of the scenario.
    :param step: name of the step.
    :param kind: kind of fault, empty for a run without one.
    """

    scenario: str
    step: str
    kind: str


class Outcome(NamedTuple):
    """Result of the run of a cell.

    :param cell: the cell.
    :param injections: how often the fault was injected.
    :param violations: invariants that did not hold.
    """

    cell: Cell
    injections: int
    violations: list[Violation]


def list_cells(scenario_names: Sequence[str] = ()) -> list[Cell]:
    """Return every cell of the named scenarios, of all scenarios if none is named."""
    return [
        Cell(name, step, kind)
        for name, scenario in SCENARIOS.items()
        if not scenario_names or name in scenario_names
        for step in scenario.steps
        for kind in FAULT_KINDS
    ]


def run_cell(cell: Cell, seed: int = SEED) -> Outcome:
    """Run one cell.

    An error or a timeout of the run counts as a violation of the invariant ``run``.
    """
    scenario = SCENARIOS[cell.scenario]
    armed_fault = ArmedFault(scenario.node, cell.step, cell.kind) if cell.kind else None
    world = World(seed, armed_fault)
    signal.signal(signal.SIGALRM, _raise_timeout)
    signal.alarm(CELL_TIMEOUT_S)
    try:
        history = run_world(world, scenario.run)
    except BaseException as error:  # noqa: BLE001
        detail = "".join(traceback.format_exception(error))[-1500:]
        return Outcome(cell, world.injections, [Violation("run", detail)])
    finally:
        signal.alarm(0)
    return Outcome(cell, world.injections, check(history))


def _raise_timeout(number: int, frame: object) -> None:
    raise TimeoutError(f"cell ran for more than {CELL_TIMEOUT_S} s")


def print_grid(outcomes: Sequence[Outcome]) -> None:
    """Print the outcomes with steps as rows and faults as columns."""
    outcome_by_cell = {outcome.cell: outcome for outcome in outcomes}
    rows = sorted({(cell.scenario, cell.step) for cell in outcome_by_cell})
    width = max(len(f"{scenario} {step}") for scenario, step in rows)
    print(" " * width, " ".join(f"{kind[:7]:>7}" for kind in FAULT_KINDS))
    for scenario, step in rows:
        texts = [
            _format_outcome(outcome_by_cell.get(Cell(scenario, step, kind)))
            for kind in FAULT_KINDS
        ]
        name = f"{scenario} {step}"
        print(f"{name:<{width}}", " ".join(f"{text:>7}" for text in texts))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the matrix.

    :returns: exit status, 0 if no invariant was violated.
    """
    parser = argparse.ArgumentParser(description="Run every fault at every step.")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    parser.add_argument("--path", action="append", default=[])
    options = parser.parse_args(arguments)
    cells = list_cells(options.path)
    with multiprocessing.Pool(options.jobs) as pool:
        run = functools.partial(run_cell, seed=options.seed)
        outcomes = pool.map(run, cells, chunksize=4)
    print_grid(outcomes)
    violations = 0
    for outcome in outcomes:
        if not outcome.injections:
            violations += 1
            print(f"{outcome.cell}: the fault was never injected")
        for violation in outcome.violations:
            violations += 1
            print(f"{outcome.cell}: {violation.invariant}: {violation.detail}")
    print(f"seed {options.seed}")
    print(f"faults: {len(cells)} cells, {violations} violations")
    return 1 if violations else 0


def _format_outcome(outcome: Outcome | None) -> str:
    if outcome is None:
        return "-"
    if not outcome.injections:
        return "unhit"
    return f"FAIL{len(outcome.violations)}" if outcome.violations else "ok"


if __name__ == "__main__":
    sys.exit(main())
