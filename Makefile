# Every target does its own set-up on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test demo bench binary lint plots

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test,plot]'
	touch $(READY)

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy lycheetide

test: lint
	$(BIN)/pytest

demo: $(READY)
	$(BIN)/python -m standins.demo
