PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SCENE ?= list
SEED ?= 1
DURATION ?= 0

.PHONY: setup test lint demo bench lock generated

setup: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--require-hashes -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/check_generated.py

demo: setup
	$(BIN)/python -m flamingolug_bench demo

bench: setup
	$(BIN)/python -m flamingolug_bench $(SCENE) --seed $(SEED) \
		--duration $(DURATION)

generated: setup
	$(BIN)/python tools/check_generated.py --write

lock: setup
	$(BIN)/python -m pip install --quiet uv
	$(BIN)/uv pip compile -q --generate-hashes --no-emit-index-url \
		--no-header requirements.in -o requirements.txt
	$(BIN)/uv pip compile -q --generate-hashes --no-emit-index-url \
		--no-header requirements-dev.in -o requirements-dev.txt
