"""Runs the fault matrix and prints it as a grid."""

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
from .scenarios import PATHS
from .world import KINDS, Armed, World, run_world

SEED = 20_261_203
CELL_LIMIT_S = 20


class Cell(NamedTuple):
    """One fault at one step of one path."""

    path: str
    step: str
    kind: str


class Outcome(NamedTuple):
    """What a cell's run showed.

    :param cell: the cell.
    :param struck: how often the fault struck.
    :param violations: invariants that did not hold.
    """

    cell: Cell
    struck: int
    violations: list[Violation]


def list_cells(paths: Sequence[str] = ()) -> list[Cell]:
    """Return every cell of the paths, of all paths if none is named."""
    return [
        Cell(name, step, kind)
        for name, path in PATHS.items()
        if not paths or name in paths
        for step in path.steps
        for kind in KINDS
    ]


def run_cell(cell: Cell, seed: int = SEED) -> Outcome:
    """Run one cell."""
    path = PATHS[cell.path]
    armed = Armed(path.node, cell.step, cell.kind) if cell.kind else None
    world = World(seed, armed)
    signal.signal(signal.SIGALRM, _raise_hang)
    signal.alarm(CELL_LIMIT_S)
    try:
        history = run_world(world, path.scenario)
    except BaseException as error:  # noqa: BLE001
        detail = "".join(traceback.format_exception(error))[-1500:]
        return Outcome(cell, world.struck, [Violation("run", detail)])
    finally:
        signal.alarm(0)
    return Outcome(cell, world.struck, check(history))


def _raise_hang(number: int, frame: object) -> None:
    raise TimeoutError(f"cell ran for more than {CELL_LIMIT_S} s")


def print_grid(outcomes: Sequence[Outcome]) -> None:
    """Print steps as rows and faults as columns."""
    found = {outcome.cell: outcome for outcome in outcomes}
    rows = sorted({(cell.path, cell.step) for cell in found})
    width = max(len(f"{path} {step}") for path, step in rows)
    print(" " * width, " ".join(f"{kind[:7]:>7}" for kind in KINDS))
    for path, step in rows:
        marks = [_mark(found.get(Cell(path, step, kind))) for kind in KINDS]
        name = f"{path} {step}"
        print(f"{name:<{width}}", " ".join(f"{mark:>7}" for mark in marks))


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
        if not outcome.struck:
            violations += 1
            print(f"{outcome.cell}: the fault never struck")
        for violation in outcome.violations:
            violations += 1
            print(f"{outcome.cell}: {violation.invariant}: {violation.detail}")
    print(f"seed {options.seed}")
    print(f"faults: {len(cells)} cells, {violations} violations")
    return 1 if violations else 0


def _mark(outcome: Outcome | None) -> str:
    if outcome is None:
        return "-"
    if not outcome.struck:
        return "unhit"
    return f"FAIL{len(outcome.violations)}" if outcome.violations else "ok"


if __name__ == "__main__":
    sys.exit(main())
