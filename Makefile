VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PACKAGES := kernel protocol routing fleet node ctl standins
MEMBERS := $(foreach name,$(PACKAGES),packages/$(name)) platform
PYPROJECTS := $(addsuffix /pyproject.toml,$(MEMBERS))

.PHONY: demo test lint format

$(STAMP): constraints.txt requirements-dev.txt $(PYPROJECTS)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-c constraints.txt -r requirements-dev.txt \
		$(foreach member,$(MEMBERS),-e ./$(member))
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/lentilshore demo

test: $(STAMP)
	$(PYTHON) -m pytest -n auto

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

.PHONY: faults faults-mutants
faults: $(STAMP)
	$(PYTHON) -m tests.faults.matrix

faults-mutants: $(STAMP)
	$(PYTHON) -m tests.faults.mutants

.PHONY: bench bench-quick bench-plot capacity
bench: $(STAMP)
	$(PYTHON) -m bench.run

bench-quick: $(STAMP)
	$(PYTHON) -m bench.run --quick

bench-plot: $(STAMP)
	$(PYTHON) -m bench.plot

capacity: $(STAMP)
	$(PYTHON) -m bench.capacity

.PHONY: soak soak-nodes
soak: $(STAMP)
	$(PYTHON) -m tests.soak --seeds 1-3

soak-nodes: $(STAMP)
	$(PYTHON) -m tests.soak_nodes
