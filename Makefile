# VENV can point at an existing environment; PYTHON is used to create a new one.
VENV ?= .venv
PYTHON ?= python3
RUN := $(VENV)/bin/python
# Tests run side by side on half of the processors; the features, which take half a
# minute each, are divided best by themselves.
TEST_JOBS ?= $(shell expr $$(nproc) / 2)

.PHONY: demo test lint format binary

$(VENV)/.installed: requirements.txt
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m pistachiolift --log-level ERROR demo

# The features start hundreds of processes, which would each compile the modules again
# where Python may not write them.
test: $(VENV)/.installed
	$(RUN) -m compileall -q pistachiolift
	$(RUN) -m pytest -n $(TEST_JOBS) --dist worksteal --ignore pistachiolift/tests
	$(RUN) -m pytest -n $(TEST_JOBS) --dist worksteal pistachiolift/tests

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check pistachiolift conftest.py
	$(VENV)/bin/ruff check pistachiolift conftest.py

format: $(VENV)/.installed
	$(VENV)/bin/ruff format pistachiolift
	$(VENV)/bin/ruff check --fix pistachiolift

# The file unpacks itself to SHIV_ROOT at its first start and runs in one process;
# on instances without disks, SHIV_ROOT is a memory file system.
binary: $(VENV)/.installed
	mkdir -p dist
	$(VENV)/bin/shiv --console-script pistachiolift --output-file dist/pistachiolift \
		--python "/usr/bin/env python3" --requirement requirements-runtime.txt .
