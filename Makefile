PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test lint format dist venv

$(BIN)/heatherdyke: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

venv: $(BIN)/heatherdyke

demo: venv
	$(BIN)/heatherdyke demo

test: venv
	$(BIN)/python scripts/known_red.py show
	$(BIN)/python scripts/run_tests.py $$($(BIN)/python scripts/known_red.py deselect)

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 heatherdyke heatherdyke_bench heatherdyke_models scripts tests

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

dist: venv
	$(BIN)/python scripts/build_dist.py dist/heatherdyke
