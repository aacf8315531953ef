# What is done often. `make run` needs GW_CONFIG; see README.md.
PYTHON = .venv/bin/python

.PHONY: build test lint format run

build:
	test -d .venv || python3 -m venv .venv
	$(PYTHON) -m pip -q install -e '.[dev]'

test: build
	$(PYTHON) -m pytest -p no:cacheprovider

lint: build
	$(PYTHON) -m ruff check rackseam stackrouter tests
	$(PYTHON) -m ruff format --check rackseam stackrouter tests
	$(PYTHON) -m mypy

format: build
	$(PYTHON) -m ruff format rackseam stackrouter tests

run: build
	$(PYTHON) -m stackrouter
