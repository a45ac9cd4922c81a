"""Runs a subset of the fault matrix; ``make faults`` runs the whole."""

import pytest

from .faults.matrix import Cell, run_cell
from .faults.mutants import MUTANTS, is_caught
from .faults.scenarios import SCENARIOS

FAULT_KINDS = ("lost", "crash_after", "cut_both")
CELLS = [
    Cell(name, scenario.steps[0], kind)
    for name, scenario in SCENARIOS.items()
    for kind in FAULT_KINDS
]


@pytest.mark.parametrize("cell", CELLS, ids="-".join)
def test_invariants_hold_under_fault(cell):
    outcome = run_cell(cell)
    assert outcome.injections
    assert outcome.violations == []


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_invariants_hold_without_fault(scenario):
    outcome = run_cell(Cell(scenario, SCENARIOS[scenario].steps[0], ""))
    assert outcome.violations == []


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_checker_catches_mutant(mutant):
    assert is_caught(mutant)


def test_same_seed_reproduces_run():
    cell = Cell("request", "engine.complete", "crash")
    assert run_cell(cell) == run_cell(cell)
