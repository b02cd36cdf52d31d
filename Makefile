# Targets: install, run, test, lint, format, bench. VENV may name an existing
# environment, which is then used as it is.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed-$(shell sha256sum requirements.lock pyproject.toml 2>/dev/null | sha256sum | cut -c1-16)

.PHONY: install run test lint format bench clean

$(VENV)/bin/python:
	python3.11 -m venv $(VENV)

$(STAMP): | $(VENV)/bin/python
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

install: $(STAMP)

run: install
	$(PYTHON) examples/run_demo.py

test: install
	$(PYTHON) tools/run_tests.py

lint: install
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: install
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: install
	$(PYTHON) bench/run_all.py

clean:
	rm -rf $(VENV) build dist src/*.egg-info .ruff_cache .hypothesis
