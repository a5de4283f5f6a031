PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test soak lint format deploy proto

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/lycheegauge local

test: $(STAMP)
	$(BIN)/python tests/runner.py

SEEDS ?= 10
FIRST_SEED ?= 1

soak: $(STAMP)
	$(BIN)/python tests/soak/run.py --seeds $(SEEDS) --first-seed $(FIRST_SEED)

lint: $(STAMP)
	$(BIN)/ruff format --check src platform tests benchmarks tools
	$(BIN)/ruff check src platform tests benchmarks tools
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python tools/check_imports.py src platform

format: $(STAMP)
	$(BIN)/ruff format src platform tests benchmarks tools
	$(BIN)/ruff check --fix src platform tests benchmarks tools

deploy: $(STAMP)
	sh -ec "$$($(PYTHON) -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
	PYTHONPATH=target/deps:src:platform $(PYTHON) -c 'import dialect, enginedialect; from lycheegauge.internal.daemons import control, engineagent, gateway'

proto: $(STAMP)
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python tools/generate_protocol.py
