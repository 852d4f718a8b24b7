# Every target does its own set-up on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test demo bench binary lint soak

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test,plot]'
	touch $(READY)

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy lycheetide

test: lint binary
	$(BIN)/pytest

demo: $(READY)
	$(BIN)/python -m standins.demo

bench: $(READY)
	$(BIN)/python -m benchmarks.policy
	$(BIN)/python -m benchmarks.control
	$(BIN)/python -m benchmarks.relay
	$(BIN)/python -m benchmarks.placement
	$(BIN)/python -m benchmarks.capacity --write

soak: $(READY)
	$(BIN)/python -m soak --seeds 10

SOURCES := $(shell find lycheetide tools -name '*.py' -o -name '*.toml')

binary: dist/lycheetide

dist/lycheetide: $(READY) $(SOURCES)
	$(BIN)/python -m tools.build
