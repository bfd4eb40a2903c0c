VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup test lint demo soak soak-platform bench bench-quick events mutants

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8

test: setup
	$(PYTHON) -m nose2

demo: setup
	$(PYTHON) -m demo

bench: setup
	$(PYTHON) -m bench.run

bench-quick: setup
	$(PYTHON) -m bench.run --quick

events: setup
	$(PYTHON) -m basilspindle.events.catalogue > docs/events.md

mutants: setup
	$(PYTHON) -m tests.mutants

soak: setup
	BASILSPINDLE_SOAK=1 $(PYTHON) -m nose2 \
		tests.test_cluster_interleaving tests.test_config_race \
		tests.test_fleet_interleaving tests.test_journal_interleaving \
		tests.test_policy_state

soak-platform: setup
	$(PYTHON) -m tests.soak_platform
