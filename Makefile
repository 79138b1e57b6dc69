# The virtual environment is rebuilt whenever the pinned dependencies change.
VENV ?= build/venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test format lint types unit demo demo-platform clean prove scenarios-live mutants slopes bench

test: lint types unit

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format redwingchute scripts
	$(BIN)/ruff check --fix redwingchute scripts

lint: $(STAMP)
	$(BIN)/ruff format --check redwingchute scripts
	$(BIN)/ruff check redwingchute scripts

types: $(STAMP)
	$(BIN)/mypy --cache-dir build/mypy

unit: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(BIN)/python scripts/run_tests.py

demo: $(STAMP)
	PATH=$(abspath $(BIN)):$$PATH sh scripts/demo.sh

demo-platform: $(STAMP)
	PATH=$(abspath $(BIN)):$$PATH sh scripts/demo_platform.sh

prove: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(BIN)/python scripts/prove.py

scenarios-live: $(STAMP)
	$(BIN)/python scripts/scenarios_live.py

mutants: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(BIN)/python scripts/mutants.py

slopes: $(STAMP)
	$(BIN)/python scripts/slopes.py

# Benchmarks of this machine; each writes one file of figures below build/.
bench: $(STAMP)
	$(BIN)/python -m redwingchute.bench.request_bench \
		--output build/request_bench.json
	$(BIN)/python -m redwingchute.bench.spend_bench \
		--output build/bench.json --seeds 2

clean:
	rm -rf build
