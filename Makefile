PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup demo test format lint fuzz soak bench bench-full binary ci

setup: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: setup
	$(BIN)/python -m wagtailspread.testing.demonstration

test: setup binary
	$(BIN)/python -m pytest

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 wagtailspread benchmarks
	$(BIN)/mypy

# Seconds of fuzzing, and the first seed.
SECONDS ?= 60
SEED ?= 1

fuzz: setup
	$(BIN)/python -m wagtailspread.testing.fuzzing --seconds $(SECONDS) --seed $(SEED)

# Number of seeds of the soak, and its other options.
COUNT ?= 1
SOAK ?=

soak: setup
	$(BIN)/python -m wagtailspread.platform.tests.soak --seed $(SEED) --count $(COUNT) --seconds $(SECONDS) $(SOAK)

bench: setup
	$(BIN)/python -m benchmarks

bench-full: setup
	$(BIN)/python -m benchmarks --full

# Dependencies of the one-file program; they change less often than the code.
build/site/.installed: requirements.txt | setup
	rm -rf build/site
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps --target build/site -r requirements.txt
	touch $@

binary: setup build/site/.installed
	rm -rf build/site/wagtailspread dist/wagtailspread
	cp -r wagtailspread build/site/
	mkdir -p dist
	$(BIN)/shiv --site-packages build/site -e wagtailspread.commands.program:main -o dist/wagtailspread -p '/usr/bin/env python3'
