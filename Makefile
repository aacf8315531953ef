# What is done often. `make run` is the demo, or with GW_CONFIG one gateway; see README.md.
PYTHON = .venv/bin/python

# Where the operators' kit lies: its files beside the sites are laid there, never committed.
KIT = ../given/kit

.PHONY: build test lint format run generate sites

build:
	test -d .venv || python3 -m venv .venv
	$(PYTHON) -m pip -q install -e '.[dev]'

test: build
	$(PYTHON) -m pytest -p no:cacheprovider

lint: build
	$(PYTHON) -m ruff check rackseam stackrouter tests
	$(PYTHON) -m ruff format --check rackseam stackrouter tests
	$(PYTHON) -m mypy
	.venv/bin/lint-imports

format: build
	$(PYTHON) -m ruff format rackseam stackrouter tests

run: build
	if [ -n "$$GW_CONFIG" ]; then exec $(PYTHON) -m stackrouter; else exec .venv/bin/stackrouter demo; fi

generate: build
	$(PYTHON) -m grpc_tools.protoc -I . --python_out=. --pyi_out=. stackrouter/trace/facts.proto stackrouter/edge/edge.proto stackrouter/controlplane/frames.proto

sites:
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
