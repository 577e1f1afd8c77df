# The virtual environment is made anew whenever pyproject.toml changes.
PYTHON ?= python3
VENV ?= .venv
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format bench

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

setup: $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/filbertshelf demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: $(STAMP)
	$(VENV)/bin/python -m pytest -q

bench: $(STAMP)
	$(VENV)/bin/filbertshelf bench
